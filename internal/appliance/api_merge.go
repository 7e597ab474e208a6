package appliance

import (
	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
)

// statusIndex merges the statuses that several servers report under the same name. Statuses are in the order in which
// their names were first reported.
type statusIndex[S any] struct {
	statuses []S            // never nil: the API encodes an empty list as []
	position map[string]int // index in statuses, by name
}

func newStatusIndex[S any]() *statusIndex[S] {
	return &statusIndex[S]{statuses: []S{}, position: map[string]int{}}
}

// entry returns the status with the given name, and true if this call added it. The pointer is valid until the next
// call.
func (s *statusIndex[S]) entry(name string) (*S, bool) {
	if i, known := s.position[name]; known {
		return &s.statuses[i], false
	}
	var zero S
	s.position[name] = len(s.statuses)
	s.statuses = append(s.statuses, zero)
	return &s.statuses[len(s.statuses)-1], true
}

// inspectDispatcher calls inspect on the server's event loop. It does nothing if the server has stopped: a stopped
// server has no workers, functions or requests to report.
func inspectDispatcher(server *eventloop.Server, inspect func(*dispatch.Dispatcher)) {
	_ = server.DoDispatcher(inspect) // fails only if the event loop has ended
}
