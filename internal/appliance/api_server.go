package appliance

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// Size limits of the documents in request bodies.
const (
	maxCommandBytes = 1 << 16
	maxChangeBytes  = 1 << 20
)

// statusError is an error that the admin API reports with an HTTP status of its own.
type statusError struct {
	status  int
	message string
}

// Error implements error.
func (e statusError) Error() string { return e.message }

// apiHandler returns the handler of the admin API.
func (a *Appliance) apiHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", getHandler(func(*http.Request) (any, error) { return a.status(), nil }))
	mux.HandleFunc("GET /v1/workers", getHandler(func(*http.Request) (any, error) { return a.workerStatuses(), nil }))
	mux.HandleFunc("GET /v1/handlers", getHandler(func(*http.Request) (any, error) { return a.functionStatuses(), nil }))
	mux.HandleFunc("GET /v1/registry", getHandler(func(*http.Request) (any, error) { return a.functions.views(), nil }))
	mux.HandleFunc("GET /v1/trail", getHandler(func(*http.Request) (any, error) { return a.functions.auditTrail(), nil }))
	mux.HandleFunc("GET /v1/timers", getHandler(func(*http.Request) (any, error) { return a.scheduleStatuses(), nil }))
	mux.HandleFunc("GET /v1/events", getHandler(a.getRequests))
	mux.HandleFunc("GET /v1/explain", getHandler(func(r *http.Request) (any, error) { return a.explain(r.URL.Query().Get("id")) }))
	mux.HandleFunc("POST /v1/registry", postHandler("change", maxChangeBytes, a.executeChange))
	mux.HandleFunc("POST /v1/orders", postHandler("order", maxCommandBytes, a.executeCommand))
	mux.HandleFunc("GET /metrics", a.getMetrics)
	return mux
}

// getHandler returns a handler that replies with the value that read returns.
func getHandler(read func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := read(r)
		writeReply(w, v, err)
	}
}

// postHandler returns a handler that decodes a document from the body, executes it, and replies with the description of
// the result. Errors of the decoder are prefixed with the document's name.
func postHandler[T any](document string, maxBytes int64, execute func(T) (string, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var decoded T
		err := decodeBody(r, maxBytes, document, &decoded)
		var result string
		if err == nil {
			result, err = execute(decoded)
		}
		writeReply(w, map[string]string{"said": result}, err)
	}
}

// getMetrics writes the metrics. The response is empty until the appliance serves.
func (a *Appliance) getMetrics(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	recorder, state := a.recorder, a.lifecycle.State
	a.mu.Unlock()
	if recorder != nil && state >= Serving {
		recorder.Handler().ServeHTTP(w, r)
	}
}

// decodeBody decodes the JSON document in the body of a request. Unknown fields are an error.
func decodeBody(r *http.Request, limit int64, document string, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return statusError{http.StatusBadRequest, document + ": " + err.Error()}
	}
	return nil
}

// writeReply writes v, or err if it is not nil, as JSON. The status of an error that is not a statusError is 409 Conflict.
func writeReply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status := http.StatusConflict
		if withStatus, ok := errors.AsType[statusError](err); ok {
			status = withStatus.status
		}
		w.WriteHeader(status)
		v = map[string]string{"error": err.Error()}
	}
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has closed the connection
}
