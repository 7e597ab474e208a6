// Package openinference is the worker side of the Open Inference Protocol v2 over HTTP/1.1: requests and responses with
// the repository extension, load reports (ORCA) and Server-Timing, and the pool of connections that carry one request
// at a time each. It owns the state of those connections and of the exchanges on them. It has no socket and no clock:
// package proxy calls it, and package eventloop carries its bytes.
package openinference
