package http1

import (
	"fmt"
	nethttp "net/http"
)

// Limits are the maximum sizes of one message in bytes.
type Limits struct {
	Head int // start line and header fields with their line terminators
	Body int // content after transfer decoding
}

// Message is one complete request or response.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Header         nethttp.Header
	Body           []byte
	Close          bool // the sender closes the connection after the message
	ExpectContinue bool // the client waits for 100 Continue before it sends Body
}

// ProtocolError reports a violation of the protocol or of Limits, after which the stream cannot be read any further.
type ProtocolError struct {
	Status int // of the response that a server sends before it closes the connection
	Reason string
}

// Error implements error.
func (e *ProtocolError) Error() string { return e.Reason }

func newProtocolErrorf(status int, format string, args ...any) *ProtocolError {
	return &ProtocolError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

func badRequestf(format string, args ...any) *ProtocolError {
	return newProtocolErrorf(nethttp.StatusBadRequest, format, args...)
}
