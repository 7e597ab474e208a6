package simadapter

import (
	"errors"
	"fmt"
)

// Faults of a line that a caller may test for; each comes wrapped in a [LineError].
var (
	// ErrTruncated tells that the input ended within a line or a batch.
	ErrTruncated = errors.New("input cut off in mid-batch")
	// ErrMissing tells that a field is missing or empty.
	ErrMissing = errors.New("missing")
)

// LineError tells what is wrong with a line of input.
type LineError struct {
	Line  int    // counted from 1
	Field string // "": the line as a whole
	Err   error
}

// Error names the line and the field.
func (e *LineError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Err)
	}
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Err)
}

// Unwrap returns the fault itself.
func (e *LineError) Unwrap() error { return e.Err }
