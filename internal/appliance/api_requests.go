package appliance

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
)

// defaultRequestLimit is the maximum number of requests listed if the query sets no limit.
const defaultRequestLimit = 100

// RequestStatus is the status of an open or recently ended request. Times are in seconds.
type RequestStatus struct {
	ID       string               `json:"id"`
	Source   string               `json:"source"`
	Class    string               `json:"type"`
	Function string               `json:"function"`
	Tenant   string               `json:"tenant,omitempty"`
	Open     bool                 `json:"open"`
	Outcome  string               `json:"outcome,omitempty"`
	Cause    string               `json:"cause,omitempty"`
	Worker   string               `json:"worker,omitempty"`
	Attempts int                  `json:"launches"`
	Age      float64              `json:"ago_s"`            // since its arrival
	Elapsed  float64              `json:"took_s,omitempty"` // from its start to its end
	TimeLeft float64              `json:"left_s,omitempty"` // until its client's deadline
	Steps    []dispatch.TraceStep `json:"steps,omitempty"`
	FrontEnd string               `json:"front_end"`
}

// getRequests lists open and recently ended requests. The query parameter "most" limits their number.
func (a *Appliance) getRequests(r *http.Request) (any, error) {
	limit := defaultRequestLimit
	if text := r.URL.Query().Get("most"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, statusError{http.StatusBadRequest, fmt.Sprintf("most=%s is not a positive integer", text)}
		}
		limit = n
	}
	return a.requestStatuses(limit), nil
}

// requestStatuses returns the open requests followed by the recently ended ones, each newest first.
func (a *Appliance) requestStatuses(limit int) []RequestStatus {
	requests := []RequestStatus{}
	for _, server := range a.runningServers() {
		inspectDispatcher(server, func(d *dispatch.Dispatcher) {
			for _, trace := range d.OpenTraces() {
				requests = append(requests, newRequestStatus(&trace, server.Addr()))
			}
			for _, trace := range d.EndedTraces() {
				requests = append(requests, newRequestStatus(trace, server.Addr()))
			}
		})
	}
	slices.SortStableFunc(requests, compareRequests)
	return requests[:min(len(requests), limit)]
}

// compareRequests orders open requests before ended ones, and newer ones before older ones.
func compareRequests(x, y RequestStatus) int {
	if x.Open != y.Open {
		if x.Open {
			return -1
		}
		return 1
	}
	return cmp.Compare(x.Age, y.Age)
}

// explain returns the status of a request with the steps of its trace. The id may have the form "source#id".
func (a *Appliance) explain(id string) (any, error) {
	for _, server := range a.runningServers() {
		var trace dispatch.Trace
		found := false
		inspectDispatcher(server, func(d *dispatch.Dispatcher) { trace, found = d.Explain(id) })
		if found {
			status := newRequestStatus(&trace, server.Addr())
			status.Steps = trace.Steps
			return status, nil
		}
	}
	return nil, statusError{http.StatusNotFound, fmt.Sprintf("no request %q is open or ended recently", id)}
}

func newRequestStatus(trace *dispatch.Trace, frontEnd string) RequestStatus {
	response := &trace.Response
	status := RequestStatus{
		ID:       trace.Identity.ID,
		Source:   trace.Identity.Source,
		Class:    trace.Class,
		Function: trace.Function,
		Tenant:   trace.Tenant,
		Open:     trace.Open,
		Worker:   response.Worker,
		Attempts: response.Attempts,
		Age:      float64(eventloop.Now() - trace.StartedAt),
		FrontEnd: frontEnd,
	}
	if trace.Open {
		status.TimeLeft = float64(trace.TimeLeft)
		return status
	}
	status.Outcome = response.Kind.String()
	status.Cause = response.Cause.String()
	status.Elapsed = float64(response.Elapsed)
	return status
}
