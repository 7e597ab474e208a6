package fakes

import (
	"fmt"
	"time"
)

// FaultKind is a kind of fault of a worker. Requests that inject faults contain its values.
type FaultKind string

// Kinds of faults. Inject also accepts the names in deprecatedFaultKinds.
const (
	FaultHang              FaultKind = "hang"             // accepts requests and never responds, even after the fault has ended
	FaultLoseResponses     FaultKind = "lose"             // executes requests and sends no responses
	FaultErrors            FaultKind = "errors"           // responds 500
	FaultVersionErrors     FaultKind = "errors-of"        // responds 500 to requests for one version
	FaultSlow              FaultKind = "slow"             // multiplies the execution time
	FaultSuspend           FaultKind = "suspend"          // delays requests until the fault ends
	FaultReset             FaultKind = "reset"            // resets the connection
	FaultTruncateResponses FaultKind = "truncate"         // closes the connection after a part of the response
	FaultStaleReports      FaultKind = "late-reports"     // repeats the previous load report
	FaultWrongDigest       FaultKind = "wrong-digest"     // fetches an image of another digest, and discards it
	FaultMisreportDigest   FaultKind = "misreport-digest" // names another version than the one that executed the request
)

// deprecatedFaultKinds maps the names of fault kinds in earlier builds, which Inject still accepts, to the present ones.
var deprecatedFaultKinds = map[FaultKind]FaultKind{
	"stall": FaultSuspend,
	"cut":   FaultTruncateResponses,
	"liar":  FaultMisreportDigest,
}

var faultKinds = map[FaultKind]bool{
	FaultHang: true, FaultLoseResponses: true, FaultErrors: true, FaultVersionErrors: true, FaultSlow: true, FaultSuspend: true,
	FaultReset: true, FaultTruncateResponses: true, FaultStaleReports: true, FaultWrongDigest: true, FaultMisreportDigest: true,
}

// defaultFaultDuration is the duration of a fault that does not specify one. It exceeds the lifetime of any process.
const defaultFaultDuration = 1000 * time.Hour

// Fault is a fault of a worker. It ends after its duration, or when another fault of its kind replaces it.
type Fault struct {
	Kind     FaultKind `json:"kind"`
	Duration float64   `json:"for"`    // seconds; 0: until replaced
	Fraction float64   `json:"part"`   // of requests that it affects, chosen at random; 0: all
	Slowdown float64   `json:"times"`  // factor of FaultSlow
	Bytes    int       `json:"bytes"`  // sent by FaultTruncateResponses
	Digest   string    `json:"digest"` // of the version to which FaultVersionErrors applies
}

// UnknownFaultError is returned by Inject for an unknown kind of fault.
type UnknownFaultError struct{ Kind FaultKind }

func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("fault %q is not known", string(e.Kind))
}

type activeFault struct {
	Fault
	until time.Time
}

// Inject activates a fault. It replaces an active fault of the same kind.
func (w *Worker) Inject(f Fault) error {
	if kind, deprecated := deprecatedFaultKinds[f.Kind]; deprecated {
		f.Kind = kind
	}
	if !faultKinds[f.Kind] {
		return &UnknownFaultError{f.Kind}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	until := time.Now().Add(defaultFaultDuration)
	if f.Duration > 0 {
		until = time.Now().Add(seconds(f.Duration))
	}
	w.faults[f.Kind] = activeFault{f, until}
	return nil
}

// sampleFault returns the fault of a kind, and whether it affects the present request. A fault with a fraction affects
// requests at random. The caller must hold the lock.
func (w *Worker) sampleFault(kind FaultKind) (activeFault, bool) {
	f, known := w.faults[kind]
	if !known || time.Now().After(f.until) {
		return f, false
	}
	if f.Fraction > 0 && w.rng.Float64() >= f.Fraction {
		return f, false
	}
	return f, true
}
