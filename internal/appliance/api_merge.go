package appliance

import (
	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
)

// statusIndex merges the statuses that several servers report under the same name. It keeps the order in which the
// names were first reported.
type statusIndex[S any] struct {
	statuses []S // never nil: the API encodes an empty list as []
	position map[string]int
}

func newStatusIndex[S any]() *statusIndex[S] {
	return &statusIndex[S]{statuses: []S{}, position: map[string]int{}}
}

// entry returns the status with a name, and true if it was added by this call. The pointer is valid until the next
// call.
func (x *statusIndex[S]) entry(name string) (*S, bool) {
	if i, known := x.position[name]; known {
		return &x.statuses[i], false
	}
	var zero S
	x.position[name] = len(x.statuses)
	x.statuses = append(x.statuses, zero)
	return &x.statuses[len(x.statuses)-1], true
}

// inspectDispatcher calls inspect on the server's event loop. It does nothing if the server has stopped: a stopped
// server has no workers, functions or requests to report.
func inspectDispatcher(server *eventloop.Server, inspect func(*dispatch.Dispatcher)) {
	_ = server.DoDispatcher(inspect) // fails only if the event loop has ended
}
