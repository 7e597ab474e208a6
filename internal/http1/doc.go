// Package http1 frames HTTP/1.1 messages (RFC 9112): it finds the end of each message in a byte stream and returns the
// complete message. A Framer owns the bytes of the incomplete message of one direction of a connection. It performs no I/O
// and reads no clock: the sessions of package cloudevents and the connections of package openinference pass it the bytes
// that they receive.
package http1
