// Package cloudevents implements the client side of CloudEvents over HTTP/1.1: the parsing of events, the encoding of
// responses and the state of one client connection. It owns the pending requests of a connection and its unsent output. It
// performs no I/O and reads no clock: package proxy passes received bytes to a Session and handles its requests, and
// package eventloop reads and writes the sockets.
package cloudevents
