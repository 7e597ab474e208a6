package simulation

import (
	"fmt"
	"strings"
)

// The explorer runs a smaller model: two front ends (dispatchers with their routing decisions), two workers and five
// calls of three requests. It tries every order of actions to a given depth, and checks rules 1 to 3.
//
// A dispatcher is a deterministic function of its inputs and their times. Paths with the same inputs for each front end
// lead to the same state, so a state is identified by the histories of its front ends, and is visited once.

// maxExploredViolations is the maximum number of violations that an exploration describes.
const maxExploredViolations = 10

// ExploreResult is the result of an exploration.
type ExploreResult struct {
	Depth      int      `json:"depth"`
	States     int      `json:"states"` // distinct states
	Merged     int      `json:"merged"` // paths that led to a known state
	Paths      int      `json:"ways"`   // paths of full depth, which were run to their end
	Complete   bool     `json:"whole"`  // false if the limit of states ended the exploration
	Violations []string `json:"broke,omitempty"`
}

// Explore follows every path of depth actions, up to maxStates states, and runs each to its end.
func Explore(depth, maxStates int) *ExploreResult {
	e := &exploration{result: &ExploreResult{Depth: depth, Complete: true}, maxStates: maxStates, seen: map[modelKey]int{}}
	e.visit(depth)
	return e.result
}

// exploration is the state of an Explore.
type exploration struct {
	result    *ExploreResult
	maxStates int
	seen      map[modelKey]int // remaining depth at the latest visit, by state
	path      []action         // to the present state
}

// replay returns the model at the end of the path.
func (e *exploration) replay() *model {
	w := newModel()
	for _, a := range e.path {
		w.execute(a)
	}
	return w
}

// visit follows every path of a number of actions from the end of the present path.
func (e *exploration) visit(remaining int) {
	w := e.replay()
	if e.recordViolation(w, "") || e.markVisited(w, remaining) {
		return
	}
	if e.result.States >= e.maxStates {
		e.result.Complete = false
		return
	}
	if remaining == 0 {
		e.result.Paths++
		w.runToEnd()
		e.recordViolation(w, "no further action")
		return
	}
	for _, a := range w.actions() {
		e.path = append(e.path, a)
		e.visit(remaining - 1)
		e.path = e.path[:len(e.path)-1]
	}
}

// markVisited marks a state as visited, and reports whether it was already visited with at least the same remaining depth.
func (e *exploration) markVisited(w *model, remaining int) bool {
	key := w.key()
	before, known := e.seen[key]
	if known && before >= remaining {
		e.result.Merged++
		return true
	}
	if !known {
		e.result.States++
	}
	e.seen[key] = remaining
	return false
}

// recordViolation records the violation of a state and the path to it, and reports whether there is one.
func (e *exploration) recordViolation(w *model, last string) bool {
	if len(w.violations) == 0 {
		return false
	}
	var path []string
	for _, a := range e.path {
		path = append(path, a.String())
	}
	if len(e.result.Violations) < maxExploredViolations {
		e.result.Violations = append(e.result.Violations, w.violations[0]+", after "+strings.Join(append(path, last), ", "))
	}
	return true
}

// actionKind is a kind of action in the model.
type actionKind string

// Kinds of actions, as they are named in the path of a violation.
const (
	actionSend     actionKind = "send"     // a client sends a call
	actionCancel   actionKind = "cancel"   // a client cancels its call
	actionTransmit actionKind = "transmit" // an attempt is transmitted
	actionEnd      actionKind = "end"      // an attempt ends
	actionEndLoad  actionKind = "load"     // a load command ends
	actionDrain    actionKind = "drain"    // a front end receives the drain notice of a worker
	actionPassTime actionKind = "time"     // the clock advances to the next timer
)

// String describes the action.
func (a action) String() string {
	switch a.kind {
	case actionSend, actionCancel:
		return fmt.Sprintf("%s %d (%s at front %d)", a.kind, a.index, modelCalls[a.index].id, modelCalls[a.index].frontEnd)
	case actionEnd, actionEndLoad:
		return fmt.Sprintf("%s %d at front %d: %d", a.kind, a.index, a.frontEnd, a.outcome)
	case actionPassTime:
		return "time passes"
	case actionTransmit, actionDrain:
	}
	return fmt.Sprintf("%s %d at front %d", a.kind, a.index, a.frontEnd)
}
