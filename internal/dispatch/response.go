package dispatch

import (
	"streamcleat/control"
	"streamcleat/internal/units"
)

// ResponseKind is the result of a request for its client.
type ResponseKind uint8

// The kinds of final responses.
const (
	Succeeded ResponseKind = iota // a worker executed it
	Rejected                      // safe to retry: the client may do so after Response.RetryAfter
	Failed                        // not to be retried: it was possibly executed, or can't be served at all
)

// String returns the kind's name on the wire, in records and in metrics. The names are part of these formats and differ
// from those of the constants.
func (k ResponseKind) String() string { return [...]string{"handled", "deferred", "dead-lettered"}[k] }

// Response is the final response to a request.
type Response struct {
	Kind         ResponseKind
	Cause        Cause
	RetryAfter   units.Seconds // seconds after which the client may retry a rejected request
	Worker       string        // of the last attempt
	Start        control.StartType
	Replayed     bool // already delivered to another waiter of the same identity
	Attempts     int
	Fields       []Field
	Body         []byte
	Identity     Identity
	Elapsed      units.Seconds // seconds from admission to the end of the request
	Class        string
	Function     string
	Tenant       string
	Binding      Binding // zero where the function has no versions
	AwaitsRecord bool    // must not be sent until its record is durable
}

// Cause is the reason for a final response.
type Cause uint8

// The causes.
const (
	CauseResponded         Cause = iota
	CauseNoCapacity              // no worker had capacity in time
	CauseDeadlineExceeded        // the client's deadline passed
	CauseWorkerFailed            // the last worker replied with an error
	CauseConnectionLost          // the connection to the last worker was lost during the attempt
	CauseWorkerUnreachable       // no connection to a worker could be opened
	CauseWorkerFull              // the last worker rejected it
	CauseLoadFailed              // the function could not be loaded
	CauseResponseExpired         // its response is no longer cached, and it must not be executed again
	CauseShuttingDown            // the front end shuts down
	CauseUnknownClass            // the configuration has no such request class
	CauseTooManyOpen             // the limit of open requests is reached
	CauseRestarted               // possibly executed before the front end restarted
	CauseNotStored               // a record that must be durable could not be stored
	CauseNoVersion               // the function reference resolves to no version that is allowed to run
	CauseDigestMismatch          // the worker ran a version other than the bound one
	CauseDuplicate               // a request of the same identity is open, and joining is not allowed
)

// causeTexts holds the names of the causes on the wire, in records and in metrics. They are part of these formats and
// differ from those of the constants.
var causeTexts = [...]string{
	CauseResponded:         "answered",
	CauseNoCapacity:        "no-room",
	CauseDeadlineExceeded:  "time-up",
	CauseWorkerFailed:      "worker-failed",
	CauseConnectionLost:    "worker-broke",
	CauseWorkerUnreachable: "worker-gone",
	CauseWorkerFull:        "worker-full",
	CauseLoadFailed:        "load-failed",
	CauseResponseExpired:   "forgotten",
	CauseShuttingDown:      "stopping",
	CauseUnknownClass:      "unknown-type",
	CauseTooManyOpen:       "overflow",
	CauseRestarted:         "restarted",
	CauseNotStored:         "not-kept",
	CauseNoVersion:         "no-version",
	CauseDigestMismatch:    "wrong-digest",
	CauseDuplicate:         "duplicate",
}

// String returns the cause's name on the wire, in records and in metrics.
func (c Cause) String() string { return causeTexts[c] }
