// Package simadapter connects the bench's simulator to package control over a line protocol: it decodes input lines into
// calls of a router and encodes the router's decisions as output lines. It makes no decisions itself.
//
// It owns the instances of a process, each with a router, and the worker lists that they share. The program cmd/simadapter
// calls [Serve] with its standard input and output.
package simadapter
