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

// Message is a complete request or response, or a request head that waits for 100 Continue.
type Message struct {
	Method, Target string // set for requests
	Status         int    // set for responses
	Header         nethttp.Header
	Body           []byte
	Close          bool // the sender closes the connection after the message
	ExpectContinue bool // the client waits for 100 Continue before it sends Body
}

// ProtocolError reports a violation of the protocol or of Limits, after which the stream cannot be read any further.
type ProtocolError struct {
	Status int // status of the response that a server sends before it closes the connection
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
