package fakes

import (
	"fmt"
	"time"
)

// FaultKind is a kind of fault of a worker. Its values are part of the request that injects a fault.
type FaultKind string

// Kinds of fault. Inject accepts older names of them as well, see deprecatedFaultKinds.
const (
	FaultHang              FaultKind = "hang"             // accepts requests and never responds, even after the fault ended
	FaultLoseResponses     FaultKind = "lose"             // executes requests and loses the responses
	FaultErrors            FaultKind = "errors"           // responds 500
	FaultVersionErrors     FaultKind = "errors-of"        // responds 500 for one version
	FaultSlow              FaultKind = "slow"             // takes a multiple of the time
	FaultSuspend           FaultKind = "suspend"          // does nothing until the fault ends
	FaultReset             FaultKind = "reset"            // resets the connection
	FaultTruncateResponses FaultKind = "truncate"         // closes the connection within the response
	FaultStaleReports      FaultKind = "late-reports"     // repeats an old load report
	FaultWrongDigest       FaultKind = "wrong-digest"     // fetches an image of another digest, and discards it
	FaultMisreportDigest   FaultKind = "misreport-digest" // names another version than the one that executed the request
)

// deprecatedFaultKinds maps the names of earlier builds to the present ones. Inject accepts them.
var deprecatedFaultKinds = map[FaultKind]FaultKind{
	"stall": FaultSuspend,
	"cut":   FaultTruncateResponses,
	"liar":  FaultMisreportDigest,
}

var faultKinds = map[FaultKind]bool{
	FaultHang: true, FaultLoseResponses: true, FaultErrors: true, FaultVersionErrors: true, FaultSlow: true, FaultSuspend: true,
	FaultReset: true, FaultTruncateResponses: true, FaultStaleReports: true, FaultWrongDigest: true, FaultMisreportDigest: true,
}

// maxFaultDuration is the duration of a fault that states none. It exceeds the life of any process.
const maxFaultDuration = 1000 * time.Hour

// Fault is a fault of a worker. It lasts for its duration, or until another fault of its kind replaces it.
type Fault struct {
	Kind     FaultKind `json:"kind"`
	Duration float64   `json:"for"`    // seconds; 0: until replaced
	Fraction float64   `json:"part"`   // of the requests that it affects; 0: all
	Slowdown float64   `json:"times"`  // factor
	Bytes    int       `json:"bytes"`  // sent of a truncated response
	Digest   string    `json:"digest"` // of the version that fails
}

// UnknownFaultError is the error of Inject for an unknown kind of fault.
type UnknownFaultError struct{ Kind FaultKind }

func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("fault %q is not known", string(e.Kind))
}

type activeFault struct {
	Fault
	until time.Time
}

// Inject begins a fault. It replaces an earlier one of its kind.
func (w *Worker) Inject(f Fault) error {
	if kind, deprecated := deprecatedFaultKinds[f.Kind]; deprecated {
		f.Kind = kind
	}
	if !faultKinds[f.Kind] {
		return &UnknownFaultError{f.Kind}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	until := time.Now().Add(maxFaultDuration)
	if f.Duration > 0 {
		until = time.Now().Add(seconds(f.Duration))
	}
	w.faults[f.Kind] = activeFault{f, until}
	return nil
}

// drawFault returns a fault, and whether it affects the request at hand: of a fault with a fraction, that is drawn at
// random. The caller holds the lock.
func (w *Worker) drawFault(kind FaultKind) (activeFault, bool) {
	f, known := w.faults[kind]
	if !known || time.Now().After(f.until) {
		return f, false
	}
	if f.Fraction > 0 && w.rng.Float64() >= f.Fraction {
		return f, false
	}
	return f, true
}
