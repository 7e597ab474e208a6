package simulation

import (
	"fmt"
	"strings"
)

// The explorer is a second, smaller world: two front ends (dispatchers with their decisions), two workers and five calls
// of three requests, in which everything may happen in every order, to a stated depth. It checks rules 1 to 3.
//
// A dispatcher is a function of what came in and when. Two ways that give each front end the same inputs lead to the same
// world, so a world is known by the histories of its front ends, and ways that only order what happens at different front
// ends in another way are gone once.

// maxExploredViolations is how many violations an exploration describes.
const maxExploredViolations = 10

// Explored is the result of an exploration.
type Explored struct {
	Depth      int      `json:"depth"`
	States     int      `json:"states"` // worlds that differ
	Merged     int      `json:"merged"` // ways that led to a world that was known
	Ways       int      `json:"ways"`   // run to their end, with nothing more coming from outside
	Complete   bool     `json:"whole"`  // false: the limit of states ended it
	Violations []string `json:"broke,omitempty"`
}

// Explore goes every way of depth actions, as far as it leads to maxStates worlds, and lets each end by itself.
func Explore(depth, maxStates int) *Explored {
	e := &exploration{result: &Explored{Depth: depth, Complete: true}, maxStates: maxStates, seen: map[worldKey]int{}}
	e.visit(depth)
	return e.result
}

// exploration is the state of an Explore.
type exploration struct {
	result    *Explored
	maxStates int
	seen      map[worldKey]int // worlds, with how many actions were left when they were gone through
	path      []action         // to the world at hand
}

// replay makes the world at the end of the path.
func (e *exploration) replay() *smallWorld {
	w := newSmallWorld()
	for _, a := range e.path {
		w.perform(a)
	}
	return w
}

// visit goes every way of so many actions from the world at the end of the path.
func (e *exploration) visit(left int) {
	w := e.replay()
	if e.hasViolation(w, "") || e.isKnown(w, left) {
		return
	}
	if e.result.States >= e.maxStates {
		e.result.Complete = false
		return
	}
	if left == 0 {
		e.result.Ways++
		w.runToEnd()
		e.hasViolation(w, "and nothing more")
		return
	}
	for _, a := range w.actions() {
		e.path = append(e.path, a)
		e.visit(left - 1)
		e.path = e.path[:len(e.path)-1]
	}
}

// isKnown returns whether a world was gone through with as many actions left, and notes that it is now.
func (e *exploration) isKnown(w *smallWorld, left int) bool {
	key := w.key()
	before, known := e.seen[key]
	if known && before >= left {
		e.result.Merged++
		return true
	}
	if !known {
		e.result.States++
	}
	e.seen[key] = left
	return false
}

// hasViolation returns whether a world broke a rule, and describes the way to it.
func (e *exploration) hasViolation(w *smallWorld, last string) bool {
	if len(w.violations) == 0 {
		return false
	}
	var words []string
	for _, a := range e.path {
		words = append(words, a.String())
	}
	if len(e.result.Violations) < maxExploredViolations {
		e.result.Violations = append(e.result.Violations, w.violations[0]+", after "+strings.Join(append(words, last), ", "))
	}
	return true
}

// actionKind is one kind of thing that may happen in the small world.
type actionKind string

// Kinds of actions. Their names stand in the result.
const (
	actionSend     actionKind = "ask"   // a client sends a call
	actionCancel   actionKind = "hang"  // a client cancels its call
	actionTransmit actionKind = "leave" // an attempt leaves the front end
	actionEnd      actionKind = "end"   // an attempt ends
	actionEndLoad  actionKind = "load"  // a load command ends
	actionDrain    actionKind = "drain" // a front end learns that a worker drains
	actionPassTime actionKind = "time"  // time goes on to the next timer
)

// String describes the action.
func (a action) String() string {
	switch a.kind {
	case actionSend, actionCancel:
		return fmt.Sprintf("%s %d (%s at front %d)", a.kind, a.index, smallCalls[a.index].id, smallCalls[a.index].frontEnd)
	case actionEnd, actionEndLoad:
		return fmt.Sprintf("%s %d at front %d: %d", a.kind, a.index, a.frontEnd, a.outcome)
	case actionPassTime:
		return "time passes"
	}
	return fmt.Sprintf("%s %d at front %d", a.kind, a.index, a.frontEnd)
}
