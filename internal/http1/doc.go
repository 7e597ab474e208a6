// Package http1 frames HTTP/1.1 messages (RFC 9112): it finds where each message of a byte stream ends and returns it
// whole. It owns the bytes of the incomplete message of one direction of one connection. It has no socket and no clock;
// the sessions of package cloudevents and the connections of package openinference feed it.
package http1
