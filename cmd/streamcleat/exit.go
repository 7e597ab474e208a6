package main

import "errors"

// Exit statuses of the process.
const (
	statusOK      = 0
	statusFailure = 1 // the command failed, a rule did not hold, or cobra rejected the command line
	statusUsage   = 2 // a flag's value, a configuration or another input file can't be used
)

// exitError is an error with the status that the process ends with. An error without one ends it with statusFailure.
type exitError struct {
	status int
	err    error
}

// usageError is an error of a flag's value or of an input file.
func usageError(err error) error { return exitError{status: statusUsage, err: err} }

// Error returns the text of the wrapped error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e exitError) Unwrap() error { return e.err }

// exitStatus returns the status that the process ends with after err.
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
