package http1

import (
	"fmt"
	nethttp "net/http"
)

// Limits bound one message, in bytes.
type Limits struct {
	Head int // start line and header fields with their line ends
	Body int // content after the transfer coding is taken off
}

// Message is one complete request or response.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Header         nethttp.Header
	Body           []byte
	Close          bool // the sender closes the connection after it
	ExpectContinue bool // a request that waits for 100 Continue; Body follows
}

// ProtocolError is why a stream can't be read any further. Status is what a server answers a request with before it
// closes the connection.
type ProtocolError struct {
	Status int
	Reason string
}

func (e *ProtocolError) Error() string { return e.Reason }

func protocolErrorf(status int, format string, args ...any) *ProtocolError {
	return &ProtocolError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

func badRequestf(format string, args ...any) *ProtocolError {
	return protocolErrorf(nethttp.StatusBadRequest, format, args...)
}
