// Package logkey names the keys of log records, so that one thing has the same key wherever it is logged. It has no
// dependencies: every package that logs may import it.
package logkey

// Keys of log records.
const (
	RequestID = "request_id" // identity of a request: source#id
	Worker    = "worker"     // ID of a worker
	Function  = "function"   // name of a function
	Attempt   = "attempt"    // number of an attempt, 0 for the first
	Cause     = "cause"      // why a request ended as it did
	Error     = "error"      // an error's text
)
