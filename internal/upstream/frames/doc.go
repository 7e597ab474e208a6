// Package frames implements the worker side of the platform's binary protocol: the frame codec, and the pool of
// connections that multiplex attempts, cancellations and load commands. It owns those connections and the exchanges open
// on them. It does no I/O and reads no clock: package proxy calls it through the same interface as the pool of the Open
// Inference Protocol, and package eventloop implements its transport.
package frames
