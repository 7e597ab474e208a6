package frames

import (
	"math"
	"strconv"

	"streamcleat/internal/dispatch"
)

// responseCode is the result code of a response or readiness frame.
type responseCode byte

const (
	codeSucceeded responseCode = 0
	codeRejected  responseCode = 8
	codeFailed    responseCode = 13
)

// fieldRetryAfter is the name of the field of a rejection that holds the Retry-After in milliseconds.
const fieldRetryAfter = "holdoff"

// appendResponse appends a response or readiness frame with a response code, fields and a body.
func appendResponse(b []byte, kind frameType, stream uint32, code responseCode, fields []Field, body []byte) []byte {
	b, start := beginFrame(b, kind, stream)
	b = appendFields(append(b, byte(code)), fields)
	return endFrame(append(b, body...), start)
}

// appendFinalResponse appends the final response to the request on a stream.
func appendFinalResponse(b []byte, stream uint32, r *dispatch.Response) []byte {
	switch r.Kind {
	case dispatch.Succeeded:
		return appendResponse(b, frameResponse, stream, codeSucceeded, nil, r.Body)
	case dispatch.Rejected:
		var fields []Field
		if ms := math.Round(float64(r.RetryAfter * 1000)); ms > 0 {
			fields = []Field{{fieldRetryAfter, strconv.FormatFloat(ms, 'f', 0, 64)}}
		}
		return appendResponse(b, frameResponse, stream, codeRejected, fields, []byte(r.Cause.String()))
	default:
		return appendResponse(b, frameResponse, stream, codeFailed, nil, []byte(r.Cause.String()))
	}
}
