// Package openinference implements the worker side of the Open Inference Protocol v2 over HTTP/1.1: its requests and
// responses with the model repository extension, load reports (ORCA) and Server-Timing, and a connection pool with one
// request at a time on each connection. It owns these connections and their open exchanges. It performs no I/O and reads
// no clock: package proxy calls it through the same interface as the pool of the platform's frame protocol, and package
// eventloop reads and writes the sockets.
package openinference
