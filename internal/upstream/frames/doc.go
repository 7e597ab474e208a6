// Package frames is the worker side of the platform's protocol: its frames, and the pool of connections that carry
// attempts, cancellations and load commands, several at a time on each connection. It owns those connections and the
// exchanges open on them. It has no socket and no clock: package proxy calls it through the same interface as the pool of
// the Open Inference Protocol, and package eventloop carries its bytes.
package frames
