// Package cloudevents is the client side of CloudEvents over HTTP/1.1: the state of one client connection, CloudEvents in and final responses out. It
// owns the requests of a connection that wait for their responses, and the bytes that wait to be sent. It has no socket
// and no clock: package proxy feeds a Session with bytes and takes its requests, package eventloop carries the bytes.
package cloudevents
