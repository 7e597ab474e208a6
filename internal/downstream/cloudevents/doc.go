// Package cloudevents is the client side of CloudEvents over HTTP/1.1: the parsing of events, the encoding of responses
// and the state of one client connection. It owns the requests of a connection that wait for their responses, and the
// bytes that wait to be sent on it. It has no socket and no clock: package proxy feeds bytes into a Session and handles
// its requests, and package eventloop carries the bytes.
package cloudevents
