// Package simadapter connects the simulator of the bench to package control over a text protocol: it turns lines of
// input into calls of a router and the router's decisions into lines of output, and decides nothing itself.
//
// It owns the instances of one process, one router each, and the lists of workers that they share. The program
// cmd/simadapter calls [Serve] on its standard input and output.
package simadapter
