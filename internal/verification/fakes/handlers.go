package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	maxCommandBody   = 1 << 16
	loadPollInterval = 2 * time.Millisecond
)

// routes returns the handlers of the Open Inference Protocol and of the request that injects faults.
func (w *Worker) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/models/{f}/infer", w.infer)
	mux.HandleFunc("POST /v2/models/{f}/versions/{v}/infer", w.infer)
	mux.HandleFunc("GET /v2/models/{f}/ready", w.handleReady)
	mux.HandleFunc("GET /v2/health/ready", handleHealth)
	mux.HandleFunc("POST /v2/repository/models/{f}/load", w.handleLoad)
	mux.HandleFunc("POST /v2/repository/models/{f}/unload", w.handleUnload)
	mux.HandleFunc("POST /v2/repository/index", w.handleIndex)
	mux.HandleFunc("POST /standin/fault", w.handleFault)
	return mux
}

// reply sends a response with the worker's load report. timing is the value of Server-Timing: empty, or one of the Start
// constants.
func (w *Worker) reply(rw http.ResponseWriter, status int, timing string, message any) {
	h := rw.Header()
	h.Set("Content-Type", "application/json")
	if timing != "" {
		h.Set("Server-Timing", timing)
	}
	h.Set("Endpoint-Load-Metrics", w.loadReport())
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(message) // the client may have closed the connection
}

// loadReport returns a report of the current load, or the previous report if FaultStaleReports applies.
func (w *Worker) loadReport() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, stale := w.sampleFault(FaultStaleReports); !stale || w.lastReport == "" {
		w.lastReport = fmt.Sprintf("TEXT cpu_utilization=%.2f, named_metrics.running=%d, named_metrics.waiting=%d",
			float64(w.running)/float64(w.config.Cores), w.running, len(w.queue))
	}
	return w.lastReport
}

func handleHealth(rw http.ResponseWriter, _ *http.Request) {
	_, _ = rw.Write([]byte("{}")) // the client may have closed the connection
}

// handleLoad serves a load command. It responds when the requested replicas are ready or no load is in progress any more.
func (w *Worker) handleLoad(rw http.ResponseWriter, r *http.Request) {
	var command LoadRequest
	command.Parameters.Copies = 1
	_ = json.NewDecoder(io.LimitReader(r.Body, maxCommandBody)).Decode(&command) // a command without a body requests one replica
	want, function := command.Parameters.Copies, r.PathValue("f")
	w.config.Recorder.Add(invariants.Record{
		Kind: invariants.LoadCommanded, Worker: w.config.Name, FrontEnd: frontEndOf(r), Function: function,
		Replicas: want,
	})
	w.mu.Lock()
	s := w.replicas.Lookup(function, command.Parameters.Digest)
	if s == nil {
		w.mu.Unlock()
		w.reply(rw, http.StatusNotFound, "", ErrorMessage{"no such function"})
		return
	}
	stop := w.stop
	if _, hangs := w.sampleFault(FaultHang); hangs {
		w.mu.Unlock()
		awaitEither(r.Context().Done(), stop)
		abort()
	}
	for s.Ready+s.Loading < want {
		if !w.startLoad(s) {
			w.mu.Unlock()
			w.reply(rw, http.StatusServiceUnavailable, "", ErrorMessage{"no room"})
			return
		}
	}
	s.IdleSince = w.now()
	w.mu.Unlock()
	ready := w.awaitReplicas(r, s, want, stop)
	if ready == 0 {
		w.reply(rw, http.StatusInternalServerError, "", ErrorMessage{"the load failed"})
		return
	}
	w.setDigestHeader(rw, s.Digest)
	w.reply(rw, http.StatusOK, "", LoadResponse{LoadParameters{ready}})
}

// awaitReplicas waits until the wanted number of replicas is ready or no load is in progress, and returns the number of
// ready replicas. It aborts the response if the client cancels or the process ends.
func (w *Worker) awaitReplicas(r *http.Request, s *ReplicaSet, want int, stop <-chan struct{}) int {
	for {
		w.mu.Lock()
		ready, loading := s.Ready, s.Loading
		w.mu.Unlock()
		if ready >= want || loading == 0 {
			return ready
		}
		select {
		case <-r.Context().Done():
			abort()
		case <-stop:
			abort()
		case <-time.After(loadPollInterval):
		}
	}
}

// handleUnload evicts the idle replicas of all versions of a function.
func (w *Worker) handleUnload(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	for _, s := range w.replicas.All() {
		if s.Function.Name == r.PathValue("f") && s.Busy == 0 {
			s.Ready = 0
		}
	}
	w.mu.Unlock()
	w.reply(rw, http.StatusOK, "", EmptyMessage{})
}

func (w *Worker) handleReady(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	s := w.replicas.Lookup(r.PathValue("f"), "")
	ready := s != nil && s.Ready > 0
	w.mu.Unlock()
	status := http.StatusOK
	if !ready {
		status = http.StatusNotFound
	}
	w.reply(rw, status, "", readyResponse{ready})
}

func (w *Worker) handleIndex(rw http.ResponseWriter, _ *http.Request) {
	list := []indexEntry{}
	w.mu.Lock()
	for _, s := range w.replicas.All() {
		switch {
		case s.Ready > 0:
			list = append(list, indexEntry{s.Function.Name, modelReady})
		case s.Loading > 0:
			list = append(list, indexEntry{s.Function.Name, modelLoading})
		}
	}
	w.mu.Unlock()
	w.reply(rw, http.StatusOK, "", list)
}

func (w *Worker) handleFault(rw http.ResponseWriter, r *http.Request) {
	var f Fault
	err := json.NewDecoder(io.LimitReader(r.Body, maxCommandBody)).Decode(&f)
	if err == nil {
		err = w.Inject(f)
	}
	if err != nil {
		w.reply(rw, http.StatusBadRequest, "", ErrorMessage{err.Error()})
		return
	}
	w.reply(rw, http.StatusOK, "", EmptyMessage{})
}
