package appliance

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	consoleDialTimeout       = time.Second
	defaultSocketMode        = os.FileMode(0o600)
	maxCommandBytes    int64 = 1 << 16
	maxChangeBytes     int64 = 1 << 20
)

// statusError is an error with the HTTP status that the console gets.
type statusError struct {
	status  int
	message string
}

// Error implements error.
func (e statusError) Error() string { return e.message }

// openConsoleSocket serves the console's API. A socket that a killed process left is removed; one that answers means
// that the appliance runs already.
func (a *Appliance) openConsoleSocket() error {
	settings := a.config.Console
	if settings == nil {
		return nil
	}
	path := a.config.Path(settings.Socket)
	if err := removeStaleSocket(path); err != nil {
		return err
	}
	mode, err := socketMode(settings.Mode)
	if err != nil {
		return err
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("console socket: %w", err)
	}
	if err := os.Chmod(path, mode); err != nil {
		_ = listener.Close() // the error of the mode is the one to report
		return fmt.Errorf("console socket: %w", err)
	}
	server := &http.Server{Handler: a.apiHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go a.serveHTTP(server, listener)
	a.closeConsole = server.Close
	return nil
}

// removeStaleSocket removes a socket on which nobody listens. It returns an error when a process answers there, or when
// the file is not a socket.
func removeStaleSocket(path string) error {
	if conn, err := net.DialTimeout("unix", path, consoleDialTimeout); err == nil {
		_ = conn.Close() // it was opened only to learn whether somebody answers
		return fmt.Errorf("console socket %s: another box answers there", path)
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil // nothing is there, or Listen reports why the folder can't be used
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("console socket %s: something else stands there", path)
	}
	_ = os.Remove(path) // Listen reports a socket that is still there
	return nil
}

// socketMode returns the permissions that the configuration names in octal.
func socketMode(text string) (os.FileMode, error) {
	if text == "" {
		return defaultSocketMode, nil
	}
	mode, err := strconv.ParseUint(text, 8, 32)
	if err != nil {
		return 0, fmt.Errorf("console mode %q: %w", text, err)
	}
	return os.FileMode(mode), nil
}

func (a *Appliance) closeConsoleSocket() {
	if a.closeConsole != nil {
		_ = a.closeConsole() // the process ends, and the socket with it
	}
}

// apiHandler returns the routes of the console's API.
func (a *Appliance) apiHandler() http.Handler {
	mux := http.NewServeMux()
	read := func(path string, read func(r *http.Request) (any, error)) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			v, err := read(r)
			writeReply(w, v, err)
		})
	}
	read("/v1/status", func(*http.Request) (any, error) { return a.status(), nil })
	read("/v1/workers", func(*http.Request) (any, error) { return a.workerStatuses(), nil })
	read("/v1/handlers", func(*http.Request) (any, error) { return a.functionStatuses(), nil })
	read("/v1/registry", func(*http.Request) (any, error) { return a.functions.views(), nil })
	read("/v1/trail", func(*http.Request) (any, error) { return a.functions.auditTrail(), nil })
	read("/v1/timers", func(*http.Request) (any, error) { return a.scheduleStatuses(), nil })
	read("/v1/events", a.getRequests)
	read("/v1/explain", func(r *http.Request) (any, error) { return a.explain(r.URL.Query().Get("id")) })
	mux.HandleFunc("POST /v1/registry", a.postChange)
	mux.HandleFunc("POST /v1/orders", a.postCommand)
	mux.HandleFunc("GET /metrics", a.getMetrics)
	return mux
}

// getMetrics writes the metrics; before the appliance serves there are none.
func (a *Appliance) getMetrics(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	recorder, state := a.recorder, a.lifecycle.State
	a.mu.Unlock()
	if recorder != nil && state >= Serving {
		recorder.Handler().ServeHTTP(w, r)
	}
}

// decodeBody decodes the JSON document in the body of a request. An unknown field is an error, which names the
// document.
func decodeBody(r *http.Request, limit int64, document string, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return statusError{http.StatusBadRequest, document + ": " + err.Error()}
	}
	return nil
}

// writeReply writes a value or an error as JSON. An error without a status of its own is a conflict.
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
	_ = json.NewEncoder(w).Encode(v) // fails only when the client has gone
}

// writeResult writes what a command or change has done, or its error.
func writeResult(w http.ResponseWriter, result string, err error) {
	writeReply(w, map[string]string{"said": result}, err)
}
