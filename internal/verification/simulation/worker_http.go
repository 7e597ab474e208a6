package simulation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"streamcleat/internal/http1"
	"streamcleat/internal/verification/fakes"
)

// messageLimits limits the size of HTTP messages at workers, clients and the recorders of attempts.
var messageLimits = http1.Limits{Head: 1 << 16, Body: 1 << 20}

// responder sends the response to a request from a front end.
type responder struct {
	worker *worker
	end    *endpoint
}

// send sends a response. header consists of additional header fields, each terminated by CRLF.
func (r responder) send(status int, header string, body any) {
	w := r.worker
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // messages can always be encoded
	}
	report := fmt.Sprintf("TEXT named_metrics.running=%d, named_metrics.waiting=%d", w.active, len(w.queue))
	out := fmt.Appendf(nil, "HTTP/1.1 %d x\r\nContent-Length: %d\r\nContent-Type: application/json\r\nEndpoint-Load-Metrics: %s\r\n%s\r\n%s",
		status, len(text), report, header, text)
	if w.drawFault(FaultTruncateResponses) && status == http.StatusOK {
		r.end.write(out[:w.rng.IntN(len(out))])
		r.end.close()
		return
	}
	r.end.write(out)
}

func (r responder) fail(status int, text string) { r.send(status, "", fakes.ErrorMessage{Error: text}) }

// serve serves a request. If it is an inference request, it is returned, so that the caller can remove it from the queue when
// the connection closes.
func (w *worker) serve(e *endpoint, m *http1.Message) *workerRequest {
	path := splitPath(m.Target)
	respond := responder{w, e}
	isRepository := len(path) == 5 && path[1] == "repository"
	switch {
	case len(path) >= 4 && path[0] == "v2" && path[1] == "models" && path[len(path)-1] == "infer":
		return w.serveInfer(respond, m, path[2])
	case isRepository && path[4] == "load":
		var command fakes.LoadRequest
		_ = json.Unmarshal(m.Body, &command) // without a body, the command is for one replica
		w.serveLoad(respond, w.replicas.Lookup(path[3], command.Parameters.Digest), max(command.Parameters.Copies, 1))
	case isRepository && path[4] == "unload":
		if r := w.replicas.Lookup(path[3], ""); r != nil && r.Busy == 0 {
			r.Ready = 0
		}
		respond.send(http.StatusOK, "", fakes.EmptyMessage{})
	default:
		respond.fail(http.StatusNotFound, "no such thing")
	}
	return nil
}

func splitPath(target string) []string {
	path := strings.Split(strings.Trim(target, "/"), "/")
	for i := range path {
		if v, err := url.PathUnescape(path[i]); err == nil {
			path[i] = v
		}
	}
	return path
}

// digestHeader returns the header field with the digest of the replicas' version, or an empty string if they have none.
func digestHeader(r *fakes.ReplicaSet) string {
	if r.Digest == "" {
		return ""
	}
	return "Docker-Content-Digest: " + r.Digest + "\r\n"
}

// serveInfer enqueues an inference request, unless a fault affects it.
func (w *worker) serveInfer(respond responder, m *http1.Message, function string) *workerRequest {
	id := m.Header.Get("Ce-Source") + "#" + m.Header.Get("Ce-Id")
	_, frontEnd, _ := strings.Cut(m.Header.Get("Via"), " ")
	r := &workerRequest{
		id: id, class: m.Header.Get("Ce-Type"), respond: respond, startKind: fakes.StartWarm,
		attempt: w.site.latestAttempts[frontEnd+" "+id],
	}
	switch {
	case w.drawFault(FaultHang):
	case w.drawFault(FaultResetResponses):
		respond.end.resetByKernel()
	case w.drawFault(FaultErrors):
		respond.fail(http.StatusInternalServerError, "the function failed")
	case w.drawFault(FaultReject):
		respond.fail(http.StatusServiceUnavailable, "full")
	default:
		w.enqueue(r, w.replicas.Lookup(function, strings.Trim(m.Header.Get("If-Match"), `"`)))
	}
	return r
}

// serveLoad serves a load command. The response is sent when the replicas are ready, or when no load is in progress.
func (w *worker) serveLoad(respond responder, r *fakes.ReplicaSet, replicas int) {
	switch {
	case r == nil:
		respond.fail(http.StatusNotFound, "no such function")
		return
	case w.hasFault(FaultHang):
		return
	}
	for r.Ready+r.Loading < replicas {
		if !w.startLoad(r) {
			respond.fail(http.StatusServiceUnavailable, "no room")
			return
		}
	}
	r.IdleSince = float64(w.scheduler.now)
	var check func()
	check = func() {
		switch {
		case r.Ready >= replicas || r.Loading == 0 && r.Ready > 0:
			respond.send(http.StatusOK, digestHeader(r), fakes.LoadResponse{Parameters: fakes.LoadParameters{Copies: r.Ready}})
		case r.Loading == 0:
			respond.fail(http.StatusInternalServerError, "the load failed")
		default:
			w.onLoaded[r] = append(w.onLoaded[r], check)
		}
	}
	check()
}
