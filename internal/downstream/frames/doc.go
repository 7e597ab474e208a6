// Package frames is the client side of the platform's protocol: its frames, and the state of one client connection. It
// owns the requests open on a connection and the bytes that wait to be sent on it. It has no socket and no clock: package
// proxy feeds bytes into a Session and handles its requests, and package eventloop carries the bytes.
package frames
