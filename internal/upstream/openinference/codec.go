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

// digestField proves which replica answered (OCI distribution specification).
const digestField = "Docker-Content-Digest"

// passedFields are the fields of a worker's response that go on to the client.
var passedFields = []string{"Content-Type", "Content-Encoding", "Content-Language"}

const millisecondsPerSecond = 1000

// encodedHeadSize is room for the request line and the usual fields.
const encodedHeadSize = 256

// encodeRequest writes a POST request; via names the front end (RFC 9110 7.6.3).
func encodeRequest(target, addr, via string, fields []dispatch.Field, body []byte) []byte {
	var b bytes.Buffer
	b.Grow(encodedHeadSize + len(body))
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

// InferRequest encodes an attempt: POST /v2/models/{function}/infer, the CloudEvent's data passed through with its
// context attributes as ce- fields. Request-Timeout states the seconds after which nobody waits any more, rounded down. A
// version is asked for by its name in the path and by its digest in If-Match: a worker that holds another one under that
// name answers 412 and runs nothing.
func InferRequest(addr, via string, permit dispatch.SendPermit, a dispatch.Attempt) []byte {
	timeLeft := math.Floor(permit.TimeLeft()*millisecondsPerSecond) / millisecondsPerSecond
	fields := append([]dispatch.Field{{Name: "Request-Timeout", Value: strconv.FormatFloat(timeLeft, 'f', 3, 64)}},
		a.Fields...)
	if b := a.Binding; b.ID != "" {
		fields = append(fields, dispatch.Field{Name: "If-Match", Value: `"` + b.Digest + `"`})
		target := "/v2/models/" + url.PathEscape(b.Function) + "/versions/" + url.PathEscape(b.Version) + "/infer"
		return encodeRequest(target, addr, via, fields, a.Body)
	}
	return encodeRequest("/v2/models/"+url.PathEscape(a.Function)+"/infer", addr, via, fields, a.Body)
}

// ParseInferResponse reads how an attempt ended. 2xx is success. 404 states that the function is not loaded there, 412
// that another version is, 429 and 503 that the worker rejected the request: by each of these a worker promises that
// the request never ran. Any other status leaves open whether it did.
func ParseInferResponse(m *http1.Message) dispatch.WorkerReply {
	reply := dispatch.WorkerReply{
		Report: parseLoadReport(m.Header.Get("Endpoint-Load-Metrics")),
		Start:  parseStartType(strings.Join(m.Header.Values("Server-Timing"), ",")),
		Digest: m.Header.Get(digestField),
	}
	switch {
	case isSuccess(m.Status):
		reply.Outcome, reply.Body = control.Succeeded, m.Body
		for _, name := range passedFields {
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

// startTypes are the Server-Timing metrics (W3C Server Timing) by which a worker states how a request met its replica.
var startTypes = map[string]control.StartType{
	"warm": control.WarmStart, "load": control.ColdStart, "joined": control.JoinedColdStart,
	"load-failed": control.StartFailed,
}

func parseStartType(field string) control.StartType {
	for metric := range strings.SplitSeq(field, ",") {
		name, _, _ := strings.Cut(metric, ";")
		if start, ok := startTypes[strings.ToLower(strings.TrimSpace(name))]; ok {
			return start
		}
	}
	return control.StartUnknown
}
