// Package upstream speaks to workers: the Open Inference Protocol v2 over HTTP/1.1 with its repository extension,
// load reports (ORCA) and Server-Timing in answers, the list of workers (Prometheus file service discovery), and
// the state of the connections to them. It has no socket and no clock; netloop carries its bytes.
package upstream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

func request(target, addr, via string, fields []dispatch.Field, body []byte) []byte {
	var b bytes.Buffer
	b.Grow(256 + len(body))
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

// InferRequest writes a launch: POST /v2/models/{function}/infer, the event's content passed through with its context
// attributes as ce- fields. Request-Timeout tells the seconds after which nobody waits any more; via names the front
// end (RFC 9110 7.6.3). A version is asked for by its name in the path and by its digest in If-Match: a worker that
// holds another one under that name answers 412 and runs nothing.
func InferRequest(addr, via string, l dispatch.Attempt) []byte {
	fields := append([]dispatch.Field{{Name: "Request-Timeout", Value: strconv.FormatFloat(l.Timeout, 'f', 3, 64)}},
		l.Fields...)
	if b := l.Binding; b.ID != "" {
		fields = append(fields, dispatch.Field{Name: "If-Match", Value: `"` + b.Digest + `"`})
		return request("/v2/models/"+url.PathEscape(b.Function)+"/versions/"+url.PathEscape(b.Version)+"/infer", addr, via, fields, l.Body)
	}
	return request("/v2/models/"+url.PathEscape(l.Function)+"/infer", addr, via, fields, l.Body)
}

// LoadRequest writes a load order of the repository extension; the number of copies is a load parameter. An order for none
// lets idle copies go.
func LoadRequest(addr, via string, o dispatch.LoadCommand) []byte {
	if o.Replicas == 0 {
		name, _, _ := strings.Cut(o.Function, "@")
		return request("/v2/repository/models/"+url.PathEscape(name)+"/unload", addr, via, nil, nil)
	}
	parameters, name := map[string]any{"copies": o.Replicas}, o.Function
	if b := o.Binding; b.ID != "" {
		parameters["version"], parameters["digest"], name = b.Version, b.Digest, b.Function
	}
	body, _ := json.Marshal(map[string]any{"parameters": parameters})
	return request("/v2/repository/models/"+url.PathEscape(name)+"/load", addr, via,
		[]dispatch.Field{{Name: "Content-Type", Value: "application/json"}}, body)
}

const digestField = "Docker-Content-Digest"

// passed names what of a worker's answer goes on to the client beside ce- fields.
var passed = []string{"Content-Type", "Content-Encoding", "Content-Language"}

// ParseInferResponse reads how a launch ended. 2xx handled it. 404 tells that the function is not loaded there, 412 that another
// version is, 429 and 503 that the worker turned it away: of these a worker promises that the event never ran. Else
// it may have. Docker-Content-Digest proves which copy ran (OCI distribution specification).
func ParseInferResponse(m *http1.Message) dispatch.WorkerReply {
	r := dispatch.WorkerReply{Report: report(m.Header.Get("Endpoint-Load-Metrics")),
		Start:  warmth(strings.Join(m.Header.Values("Server-Timing"), ",")),
		Digest: m.Header.Get(digestField)}
	switch {
	case m.Status >= 200 && m.Status < 300:
		r.Outcome, r.Body = control.Succeeded, m.Body
		for _, name := range passed {
			for _, v := range m.Header.Values(name) {
				r.Fields = append(r.Fields, dispatch.Field{Name: name, Value: v})
			}
		}
	case m.Status == 404 || m.Status == 412:
		r.Outcome = control.ReplicaMissing
	case m.Status == 429 || m.Status == 503:
		r.Outcome = control.Rejected
	default:
		r.Outcome = control.Failed
	}
	return r
}

// ParseLoadResponse reads how a load order ended and how many copies stand. Where a digest was asked for, copies of another one,
// or of none that is proven, don't count.
func ParseLoadResponse(m *http1.Message, digest string) (control.Outcome, int) {
	switch {
	case m.Status >= 200 && m.Status < 300 && digest != "" && m.Header.Get(digestField) != digest:
		return control.Failed, 0
	case m.Status >= 200 && m.Status < 300:
		var said struct {
			Parameters struct {
				Copies *int `json:"copies"`
			} `json:"parameters"`
		}
		if json.Unmarshal(m.Body, &said) == nil && said.Parameters.Copies != nil {
			return control.Succeeded, max(*said.Parameters.Copies, 0)
		}
		return control.Succeeded, 1 // the protocol's plain answer says only that it is loaded
	case m.Status == 429 || m.Status == 503:
		return control.Rejected, 0
	}
	return control.Failed, 0
}

// timings are the Server-Timing metrics (W3C Server Timing) by which a worker tells how an event met its copy.
var timings = map[string]control.StartType{
	"warm": control.WarmStart, "load": control.ColdStart, "joined": control.JoinedColdStart,
	"load-failed": control.StartFailed,
}

func warmth(field string) control.StartType {
	for _, metric := range strings.Split(field, ",") {
		name, _, _ := strings.Cut(metric, ";")
		if w, ok := timings[strings.ToLower(strings.TrimSpace(name))]; ok {
			return w
		}
	}
	return control.StartUnknown
}

// report reads an ORCA load report in its TEXT or JSON form; figures that are missing or no numbers say nothing.
func report(field string) (r control.LoadReport) {
	form, rest, _ := strings.Cut(strings.TrimSpace(field), " ")
	take := func(name string, v float64) {
		switch strings.TrimPrefix(name, "named_metrics.") {
		case "running":
			r.Running, r.Known = max(v, 0), true
		case "waiting":
			r.Waiting, r.Known = max(v, 0), true
		}
	}
	switch form {
	case "TEXT":
		for _, pair := range strings.Split(rest, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if v, err := strconv.ParseFloat(value, 64); err == nil && v < 1e9 {
				take(name, v)
			}
		}
	case "JSON":
		var said struct {
			Named map[string]float64 `json:"named_metrics"`
		}
		if json.Unmarshal([]byte(rest), &said) == nil {
			for _, name := range []string{"running", "waiting"} {
				if v, ok := said.Named[name]; ok && v < 1e9 {
					take(name, v)
				}
			}
		}
	}
	return r
}
