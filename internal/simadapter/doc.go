// Package simadapter lets the bench's simulator drive the routers of package control over a line protocol. It decodes input
// lines into calls of a router and encodes the router's decisions as output lines. It makes no routing decisions itself.
//
// The package owns the instances of a process, each of which has a router, and the worker lists that they share. The program
// cmd/simadapter calls [Serve] with its standard input and output.
package simadapter
