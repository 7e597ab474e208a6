package simadapter

import (
	"errors"
	"fmt"
)

// Errors that [Serve] returns wrapped in a [LineError].
var (
	// ErrTruncated means that the input ended within a line or a batch.
	ErrTruncated = errors.New("input truncated")
	// ErrMissing means that a required field is missing or empty.
	ErrMissing = errors.New("missing")
)

// LineError describes an invalid line of input.
type LineError struct {
	Line  int    // starting at 1
	Field string // empty if the error is not about a field
	Err   error
}

// Error implements the error interface.
func (e *LineError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Err)
	}
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Err)
}

// Unwrap returns the underlying error.
func (e *LineError) Unwrap() error { return e.Err }
