// Package frames implements the client side of the platform's frame protocol: the encoding of its frames and the state of
// one client connection. It owns the open requests of a connection and its unsent output. It performs no I/O and reads no
// clock: package proxy passes received bytes to a Session and handles its requests, and package eventloop reads and writes
// the sockets.
package frames
