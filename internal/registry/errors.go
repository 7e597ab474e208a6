package registry

import (
	"errors"
	"fmt"
)

var (
	// ErrUnknown means that no function, version or alias has the given name or digest.
	ErrUnknown = errors.New("not in the registry")
	// ErrWithdrawn means that a version has been withdrawn and must no longer run.
	ErrWithdrawn = errors.New("withdrawn")
	// ErrEmptyEntry is returned for an entry without a change.
	ErrEmptyEntry = errors.New("entry contains no change")
)

// ReferenceError reports a syntax error in a reference.
type ReferenceError struct {
	Text string
	Err  error
}

// Error returns the reference and what is wrong with it.
func (e *ReferenceError) Error() string { return fmt.Sprintf("reference %q: %v", e.Text, e.Err) }

// Unwrap returns the underlying error.
func (e *ReferenceError) Unwrap() error { return e.Err }

// ChangeError reports why a change was rejected.
type ChangeError struct {
	Change   string // kind of change: publish, alias or rollout
	Function string
	Name     string // of the version or alias
	Err      error
}

// Error returns what was to be changed and why it was rejected.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("%s %s:%s: %v", e.Change, e.Function, e.Name, e.Err)
}

// Unwrap returns the reason for the rejection.
func (e *ChangeError) Unwrap() error { return e.Err }

// Values of ChangeError.Change.
const (
	changePublish = "publish"
	changeAlias   = "alias"
	changeRollout = "rollout"
)

func unknownFunctionError(name string) error { return fmt.Errorf("function %s: %w", name, ErrUnknown) }
