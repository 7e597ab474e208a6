package fakes

import (
	"fmt"
	"time"
)

// FaultKind names what goes wrong with a worker. The names stand in scripts and on the wire.
type FaultKind string

// Kinds of faults.
const (
	FaultHang              FaultKind = "hang"         // accepts requests and answers none, also not after the fault ended
	FaultLoseResponses     FaultKind = "lose"         // runs requests and loses the responses
	FaultErrors            FaultKind = "errors"       // answers 500
	FaultVersionErrors     FaultKind = "errors-of"    // answers 500 for one version
	FaultSlow              FaultKind = "slow"         // takes a multiple of the time
	FaultSuspend           FaultKind = "stall"        // stands still, and goes on when the fault ends
	FaultReset             FaultKind = "reset"        // resets the connection
	FaultTruncateResponses FaultKind = "cut"          // closes the connection within the response
	FaultStaleReports      FaultKind = "late-reports" // repeats an old load report
	FaultWrongDigest       FaultKind = "wrong-digest" // fetches an image of another digest, which is thrown away
	FaultMisreportDigest   FaultKind = "liar"         // names another version than the one that ran
)

var faultKinds = map[FaultKind]bool{
	FaultHang: true, FaultLoseResponses: true, FaultErrors: true, FaultVersionErrors: true, FaultSlow: true, FaultSuspend: true,
	FaultReset: true, FaultTruncateResponses: true, FaultStaleReports: true, FaultWrongDigest: true, FaultMisreportDigest: true,
}

// untilLifted is longer than any process runs: the duration of a fault that states none.
const untilLifted = 1000 * time.Hour

// Fault is what goes wrong with a worker, for a time or until another fault of its kind takes its place.
type Fault struct {
	Kind     FaultKind `json:"kind"`
	Duration float64   `json:"for"`    // seconds; 0: until replaced
	Fraction float64   `json:"part"`   // share of the requests that it meets; 0: all
	Slowdown float64   `json:"times"`  // slowdown factor
	Bytes    int       `json:"bytes"`  // of the response that are sent before a cut
	Digest   string    `json:"digest"` // version that fails
}

// UnknownFaultError is the error of Inject for a kind of fault that does not exist.
type UnknownFaultError struct{ Kind FaultKind }

func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("fault %q is not known", string(e.Kind))
}

type activeFault struct {
	Fault
	until time.Time
}

// Inject makes something go wrong. A fault takes the place of an earlier one of its kind.
func (w *Worker) Inject(f Fault) error {
	if !faultKinds[f.Kind] {
		return &UnknownFaultError{f.Kind}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	until := time.Now().Add(untilLifted)
	if f.Duration > 0 {
		until = time.Now().Add(seconds(f.Duration))
	}
	w.faults[f.Kind] = activeFault{f, until}
	return nil
}

// active returns whether a fault meets the request at hand. The caller holds the lock.
func (w *Worker) active(kind FaultKind) (activeFault, bool) {
	f, known := w.faults[kind]
	if !known || time.Now().After(f.until) {
		return f, false
	}
	if f.Fraction > 0 && w.rng.Float64() >= f.Fraction {
		return f, false
	}
	return f, true
}
