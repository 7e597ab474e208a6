package main

import "errors"

// Exit statuses of the process.
const (
	statusOK      = 0
	statusFailure = 1 // the command failed, a rule was violated, or cobra rejected the command line
	statusUsage   = 2 // a flag's value, a configuration or another input file is invalid
)

// exitError is an error that determines the exit status of the process. Any other error means statusFailure.
type exitError struct {
	status int
	err    error
}

// usageError wraps err so that the process exits with statusUsage.
func usageError(err error) error { return exitError{status: statusUsage, err: err} }

// Error returns the text of the wrapped error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e exitError) Unwrap() error { return e.err }

// exitStatus returns the exit status of the process for the error of its command.
func exitStatus(err error) int {
	var exitErr exitError
	switch {
	case err == nil:
		return statusOK
	case errors.As(err, &exitErr):
		return exitErr.status
	default:
		return statusFailure
	}
}
