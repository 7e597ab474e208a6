package main

import "errors"

// Exit statuses of the process.
const (
	statusOK      = 0
	statusFailure = 1 // the command failed, a rule was violated, or cobra rejected the command line
	statusUsage   = 2 // a flag's value, a configuration or another input file is invalid
)

// exitError is an error with the exit status of the process. Other errors have statusFailure.
type exitError struct {
	status int
	err    error
}

// usageError returns err with the exit status for an invalid flag value or input file.
func usageError(err error) error { return exitError{status: statusUsage, err: err} }

// Error returns the text of the wrapped error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e exitError) Unwrap() error { return e.err }

// exitStatus returns the exit status of the process after err.
func exitStatus(err error) int {
	var withStatus exitError
	switch {
	case err == nil:
		return statusOK
	case errors.As(err, &withStatus):
		return withStatus.status
	default:
		return statusFailure
	}
}
