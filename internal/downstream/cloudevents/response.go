package cloudevents

import (
	"bytes"
	"fmt"
	"math"
	nethttp "net/http"
	"strconv"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// headerSizeHint is the capacity reserved for the status line and header.
const headerSizeHint = 160

// encodeResponse encodes a response. If closeAfter is set, it adds Connection: close.
func encodeResponse(status int, fields []dispatch.Field, body []byte, closeAfter bool) []byte {
	var b bytes.Buffer
	b.Grow(headerSizeHint + len(body))
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, nethttp.StatusText(status), len(body))
	for _, f := range fields {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// startMetrics maps start types to the Server-Timing metrics that state whether a request found a loaded replica.
var startMetrics = map[control.StartType]string{
	control.WarmStart: "warm", control.ColdStart: "load",
	control.JoinedColdStart: "joined",
}

// proxyErrorTypes maps causes to the proxy error types of RFC 9209, section 2.3. Some causes have no proxy error type.
var proxyErrorTypes = map[dispatch.Cause]string{
	dispatch.CauseDeadlineExceeded: "http_response_timeout", dispatch.CauseConnectionLost: "connection_terminated",
	dispatch.CauseWorkerUnreachable: "destination_unavailable", dispatch.CauseWorkerFull: "connection_limit_reached",
	dispatch.CauseNoCapacity: "destination_unavailable", dispatch.CauseWorkerFailed: "http_protocol_error",
	dispatch.CauseLoadFailed: "destination_not_found",
}

// encodeFinalResponse encodes a final response. The status is 200 if the request succeeded, 503 with Retry-After if it was
// rejected, and 502, 504 or 422 if it failed. The proxy name identifies this front end in Proxy-Status.
func encodeFinalResponse(r *dispatch.Response, proxyName string, closeAfter bool) []byte {
	fields := finalHeaderFields(r)
	if r.Kind == dispatch.Succeeded {
		return encodeResponse(nethttp.StatusOK, append(fields, r.Fields...), r.Body, closeAfter)
	}
	fields = append(fields, dispatch.Field{Name: "Proxy-Status", Value: proxyStatus(r.Cause, proxyName)})
	status, detail := finalStatus(r)
	attempts, retryAfter := r.Attempts, r.RetryAfter // copies, so that r does not escape to the heap
	details := problemDetails{
		Detail: detail, Cause: r.Cause.String(), Outcome: r.Kind.String(), Attempts: &attempts,
		Event: &problemEvent{Source: r.Identity.Source, ID: r.Identity.ID}, Worker: r.Worker,
	}
	if r.Kind == dispatch.Rejected {
		details.RetryAfter = &retryAfter
		seconds := strconv.Itoa(int(math.Ceil(float64(retryAfter))))
		fields = append(fields, dispatch.Field{Name: "Retry-After", Value: seconds})
	}
	return encodeProblem(status, problemType(r.Kind.String()), details, fields, closeAfter)
}

// finalHeaderFields returns the header fields common to all final responses.
func finalHeaderFields(r *dispatch.Response) []dispatch.Field {
	timing := fmt.Sprintf("total;dur=%.1f", r.Elapsed*1000)
	if metric, ok := startMetrics[r.Start]; ok && r.Kind == dispatch.Succeeded {
		timing = metric + ", " + timing
	}
	fields := []dispatch.Field{{Name: "Server-Timing", Value: timing}}
	if b := r.Binding; b.ID != "" { // state the version for every outcome
		fields[0].Value = fmt.Sprintf("%s, version;desc=%q", timing, b.Version)
		fields = append(fields, dispatch.Field{Name: "Docker-Content-Digest", Value: b.Digest})
	}
	if r.Replayed {
		fields = append(fields, dispatch.Field{Name: "Idempotent-Replayed", Value: "true"})
	}
	return fields
}

// proxyStatus returns the value of the Proxy-Status field (RFC 9209).
func proxyStatus(cause dispatch.Cause, proxyName string) string {
	if errorType := proxyErrorTypes[cause]; errorType != "" {
		return fmt.Sprintf("%s; error=%s; details=%q", proxyName, errorType, cause)
	}
	return fmt.Sprintf("%s; details=%q", proxyName, cause)
}

// finalStatus returns the status and detail message of the response to a request that did not succeed.
func finalStatus(r *dispatch.Response) (status int, detail string) {
	const failedDetail = "The event was given up; nothing is promised of what it did."
	switch {
	case r.Kind == dispatch.Rejected:
		return nethttp.StatusServiceUnavailable, "The event was not handled; sending it again is harmless."
	case r.Cause == dispatch.CauseDeadlineExceeded:
		return nethttp.StatusGatewayTimeout, failedDetail
	case r.Cause == dispatch.CauseNoVersion:
		return nethttp.StatusUnprocessableEntity,
			fmt.Sprintf("The reference %.100q names no version that may run events of type %.100q.", r.Function, r.Class)
	case r.Cause == dispatch.CauseUnknownClass: // a client error: the request was not dispatched
		return nethttp.StatusUnprocessableEntity, fmt.Sprintf("The configuration names no event type %.100q.", r.Class)
	}
	return nethttp.StatusBadGateway, failedDetail
}
