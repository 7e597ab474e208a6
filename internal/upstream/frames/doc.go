// Package frames is the worker side of the platform's protocol: its frames, and the pool of connections that carry
// attempts, cancellations and load commands, several at a time on each. It owns the state of those connections and of
// the exchanges on them. It has no socket and no clock: package proxy calls it as it calls the pool of the Open
// Inference Protocol, and package eventloop carries its bytes.
package frames
