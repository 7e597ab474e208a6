package openinference

import (
	"bytes"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

// digestField is the header field with the digest of the replica that responded (OCI distribution specification).
const digestField = "Docker-Content-Digest"

// forwardedFields are the header fields of a worker's response that are forwarded to the client.
var forwardedFields = []string{"Content-Type", "Content-Encoding", "Content-Language"}

const millisecondsPerSecond = 1000

// headerSizeHint is the capacity reserved for the request line and header.
const headerSizeHint = 256

// encodeRequest encodes a POST request. The parameter via is the front end's name in the Via field (RFC 9110, section
// 7.6.3).
func encodeRequest(target, addr, via string, fields []dispatch.Field, body []byte) []byte {
	var b bytes.Buffer
	b.Grow(headerSizeHint + len(body))
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nVia: 1.1 %s\r\nContent-Length: %d\r\n", target, addr, via, len(body))
	for _, f := range fields {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// InferRequest encodes an attempt as POST /v2/models/{function}/infer, with the CloudEvent's data as body and its context
// attributes as ce- fields. Request-Timeout is the time for which the client still waits, in seconds, rounded down to
// milliseconds. A function version is requested by name in the path and by digest in If-Match: a worker that has a
// different version under that name responds 412 and does not execute the request.
func InferRequest(addr, via string, permit dispatch.SendPermit, a dispatch.Attempt) []byte {
	timeLeft := math.Floor(float64(permit.TimeLeft()*millisecondsPerSecond)) / millisecondsPerSecond
	fields := append([]dispatch.Field{{Name: "Request-Timeout", Value: strconv.FormatFloat(timeLeft, 'f', 3, 64)}},
		a.Fields...)
	if b := a.Binding; b.ID != "" {
		fields = append(fields, dispatch.Field{Name: "If-Match", Value: `"` + b.Digest + `"`})
		target := "/v2/models/" + url.PathEscape(b.Function) + "/versions/" + url.PathEscape(b.Version) + "/infer"
		return encodeRequest(target, addr, via, fields, a.Body)
	}
	return encodeRequest("/v2/models/"+url.PathEscape(a.Function)+"/infer", addr, via, fields, a.Body)
}

// ParseInferResponse returns the result of an attempt. 2xx means success, 404 that the function is not loaded, 412 that a
// different version is loaded, and 429 and 503 that the worker rejected the request. With 404, 412, 429 and 503 the worker
// guarantees that it did not execute the request. With any other error status it may have executed it.
func ParseInferResponse(m *http1.Message) dispatch.WorkerReply {
	reply := dispatch.WorkerReply{
		Report: parseLoadReport(m.Header.Get("Endpoint-Load-Metrics")),
		Start:  parseStartType(strings.Join(m.Header.Values("Server-Timing"), ",")),
		Digest: m.Header.Get(digestField),
	}
	switch {
	case isSuccess(m.Status):
		reply.Outcome, reply.Body = control.Succeeded, m.Body
		for _, name := range forwardedFields {
			for _, value := range m.Header.Values(name) {
				reply.Fields = append(reply.Fields, dispatch.Field{Name: name, Value: value})
			}
		}
	case m.Status == 404 || m.Status == 412:
		reply.Outcome = control.ReplicaMissing
	case isRejection(m.Status):
		reply.Outcome = control.Rejected
	default:
		reply.Outcome = control.Failed
	}
	return reply
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

func isRejection(status int) bool { return status == 429 || status == 503 }

// startTypes maps the Server-Timing metrics (W3C Server Timing) that state whether a request found a loaded replica to
// start types.
var startTypes = map[string]control.StartType{
	"warm": control.WarmStart, "load": control.ColdStart, "joined": control.JoinedColdStart,
	"load-failed": control.StartFailed,
}

// parseStartType returns the start type of the first metric in a Server-Timing field that states one.
func parseStartType(field string) control.StartType {
	for metric := range strings.SplitSeq(field, ",") {
		name, _, _ := strings.Cut(metric, ";")
		if start, ok := startTypes[strings.ToLower(strings.TrimSpace(name))]; ok {
			return start
		}
	}
	return control.StartUnknown
}
