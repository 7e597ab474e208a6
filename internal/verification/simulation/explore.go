package simulation

import (
	"fmt"
	"strings"
)

// Exploration is a bounded exhaustive search of a small model: two front ends (dispatchers with their routing decisions), two
// workers and five calls that carry three distinct requests. It executes the possible actions in every order up to a given
// depth, and checks rules 1 to 3.
//
// A dispatcher is deterministic: its state depends only on its inputs and their times. Paths that give each front end the
// same inputs at the same times therefore lead to the same state. A state is identified by the input histories of its front
// ends, and is expanded again only when it is reached with more remaining depth than before.

// maxExploredViolations is the maximum number of violations that an exploration reports.
const maxExploredViolations = 10

// ExploreResult is the result of Explore.
type ExploreResult struct {
	Depth      int      `json:"depth"`
	States     int      `json:"states"` // distinct states
	Merged     int      `json:"merged"` // paths that led to a known state, with no more remaining depth than before
	Paths      int      `json:"ways"`   // paths of full depth, each of which was run to its end
	Complete   bool     `json:"whole"`  // false if the search stopped at the limit of states
	Violations []string `json:"broke,omitempty"`
}

// Explore searches every path of depth actions, and runs the model on from the end of each path. After maxStates distinct
// states it expands no more of them.
func Explore(depth, maxStates int) *ExploreResult {
	e := &exploration{result: &ExploreResult{Depth: depth, Complete: true}, maxStates: maxStates, seen: map[modelKey]int{}}
	e.visit(depth)
	return e.result
}

// exploration is the state of a depth-first search.
type exploration struct {
	result    *ExploreResult
	maxStates int
	seen      map[modelKey]int // remaining depth at the latest visit, by state
	path      []action         // actions from the initial state to the present one
}

// replay executes the actions of the present path on a new model, which it returns. Models are not copied.
func (e *exploration) replay() *model {
	m := newModel()
	for _, a := range e.path {
		m.execute(a)
	}
	return m
}

// visit searches every path that continues the present one by the given number of actions.
func (e *exploration) visit(remaining int) {
	m := e.replay()
	if e.recordViolation(m, "") || e.markVisited(m, remaining) {
		return
	}
	if e.result.States >= e.maxStates {
		e.result.Complete = false
		return
	}
	if remaining == 0 {
		e.result.Paths++
		m.runToEnd()
		e.recordViolation(m, "no further action")
		return
	}
	for _, a := range m.actions() {
		e.path = append(e.path, a)
		e.visit(remaining - 1)
		e.path = e.path[:len(e.path)-1]
	}
}

// markVisited records the visit of a state, and reports whether an earlier visit had at least the same remaining depth.
func (e *exploration) markVisited(m *model, remaining int) bool {
	key := m.key()
	previous, known := e.seen[key]
	if known && previous >= remaining {
		e.result.Merged++
		return true
	}
	if !known {
		e.result.States++
	}
	e.seen[key] = remaining
	return false
}

// recordViolation records the first violation of the model with the path to it, and reports whether there is one. last is
// added to the end of the path.
func (e *exploration) recordViolation(m *model, last string) bool {
	if len(m.violations) == 0 {
		return false
	}
	var path []string
	for _, a := range e.path {
		path = append(path, a.String())
	}
	if len(e.result.Violations) < maxExploredViolations {
		e.result.Violations = append(e.result.Violations, m.violations[0]+", after "+strings.Join(append(path, last), ", "))
	}
	return true
}

// actionKind is a kind of action of the model.
type actionKind string

// Kinds of actions, as reports of violations name them.
const (
	actionSend     actionKind = "send"     // a client sends a call
	actionCancel   actionKind = "cancel"   // a client cancels its call
	actionTransmit actionKind = "transmit" // the request of an attempt is transmitted to the worker
	actionEnd      actionKind = "end"      // an attempt ends with an outcome
	actionEndLoad  actionKind = "load"     // a load command ends with an outcome
	actionDrain    actionKind = "drain"    // a front end receives the update that a worker drains
	actionPassTime actionKind = "time"     // the clock advances to the next timer
)

// String describes the action in the path of a violation.
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
