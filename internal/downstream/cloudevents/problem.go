package cloudevents

import (
	"encoding/json"
	"fmt"
	nethttp "net/http"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
	"streamcleat/internal/units"
)

// problemType is the last component of a problem's type URI.
type problemType string

const (
	problemInvalidRequest    problemType = "invalid-request"
	problemInvalidEvent      problemType = "invalid-event"
	problemInvalidPreference problemType = "invalid-preference"
	problemUnsupportedFormat problemType = "unsupported-format"
	problemNotFound          problemType = "not-found"
	problemMethod            problemType = "method"
	problemPipeline          problemType = "pipeline"
)

const problemURIPrefix = "urn:streamcleat:problem:"

// requestError reports a request that is not accepted, with the status and problem type of its response. Its text is sent
// to the client.
type requestError struct {
	status  int
	problem problemType
	detail  string
}

func (e *requestError) Error() string { return e.detail }

func requestErrorf(status int, problem problemType, format string, args ...any) *requestError {
	return &requestError{status: status, problem: problem, detail: fmt.Sprintf(format, args...)}
}

func invalidEventf(format string, args ...any) *requestError {
	return requestErrorf(nethttp.StatusBadRequest, problemInvalidEvent, format, args...)
}

// problemDetails is the body of an error response (RFC 9457). Members are in alphabetical order of their JSON names. The
// optional members describe the result of a request that was dispatched.
type problemDetails struct {
	Cause      string         `json:"cause,omitempty"`
	Detail     string         `json:"detail"`
	Event      *problemEvent  `json:"event,omitempty"`
	Attempts   *int           `json:"launches,omitempty"`
	Outcome    string         `json:"outcome,omitempty"`
	RetryAfter *units.Seconds `json:"retry-after,omitempty"`
	Status     int            `json:"status"`
	Title      string         `json:"title"`
	Type       string         `json:"type"`
	Worker     string         `json:"worker,omitempty"`
}

// problemEvent identifies the event to which a problem applies.
type problemEvent struct {
	ID     string `json:"id"`
	Source string `json:"source"`
}

// encodeProblem encodes an error response. It sets the status, title and type of details.
func encodeProblem(status int, problem problemType, details problemDetails, fields []dispatch.Field, closeAfter bool) []byte {
	details.Status, details.Title, details.Type = status, nethttp.StatusText(status), problemURIPrefix+string(problem)
	body, _ := json.Marshal(details) // strings and finite numbers never fail
	fields = append([]dispatch.Field{{Name: "Content-Type", Value: "application/problem+json"}}, fields...)
	return encodeResponse(status, fields, append(body, '\n'), closeAfter)
}

// newRequestTimeoutError returns the error for a request that was not complete within limit seconds.
func newRequestTimeoutError(limit float64) error {
	return &http1.ProtocolError{
		Status: nethttp.StatusRequestTimeout,
		Reason: fmt.Sprintf("the request was not whole after %v s", limit),
	}
}
