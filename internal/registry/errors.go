package registry

import (
	"errors"
	"fmt"
)

var (
	// ErrUnknown reports that a reference names nothing.
	ErrUnknown = errors.New("not in the registry")
	// ErrWithdrawn reports that a version must not run any more.
	ErrWithdrawn = errors.New("withdrawn")
	// ErrEmptyEntry reports an entry without a change.
	ErrEmptyEntry = errors.New("an entry that changes nothing")
)

// ReferenceError reports a reference that can't be read.
type ReferenceError struct {
	Text string
	Err  error
}

// Error names the reference and its fault.
func (e *ReferenceError) Error() string { return fmt.Sprintf("reference %q: %v", e.Text, e.Err) }

// Unwrap returns the fault.
func (e *ReferenceError) Unwrap() error { return e.Err }

// ChangeError reports a change that is rejected.
type ChangeError struct {
	Change   string // publish, alias or rollout
	Function string
	Name     string // of the version or alias
	Err      error
}

// Error names what was to be changed and why it is rejected.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("%s %s:%s: %v", e.Change, e.Function, e.Name, e.Err)
}

// Unwrap returns why the change is rejected.
func (e *ChangeError) Unwrap() error { return e.Err }

// Changes that a ChangeError names.
const (
	changePublish = "publish"
	changeAlias   = "alias"
	changeRollout = "rollout"
)

func unknownFunction(name string) error { return fmt.Errorf("function %s: %w", name, ErrUnknown) }
