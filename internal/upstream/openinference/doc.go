// Package openinference is the worker side of the Open Inference Protocol v2 over HTTP/1.1: requests and responses with
// the model repository extension, load reports (ORCA) and Server-Timing, and the pool of connections that carry one
// request at a time each. It owns those connections and the exchanges open on them. It has no socket and no clock:
// package proxy calls it through the same interface as the pool of the platform's frames, and package eventloop carries
// its bytes.
package openinference
