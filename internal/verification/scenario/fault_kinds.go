package scenario

import (
	"context"

	"streamcleat/internal/verification/fakes"
)

// FaultKind is a kind of fault in a script.
type FaultKind string

// Kinds of fault. The fraction of a fault is of the workers unless its comment says otherwise. Older names of kinds are
// accepted as well, see deprecatedFaultKinds.
const (
	FaultHang               FaultKind = "hang"            // workers accept requests and never respond
	FaultLoseResponses      FaultKind = "lose"            // workers execute requests and lose the responses
	FaultErrors             FaultKind = "errors"          // workers respond 500
	FaultSlow               FaultKind = "slow"            // workers take Times as long
	FaultSuspend            FaultKind = "suspend"         // workers do nothing until the fault ends
	FaultReset              FaultKind = "reset"           // workers reset connections
	FaultTruncateResponses  FaultKind = "truncate"        // workers close connections after Bytes of the response
	FaultStaleReports       FaultKind = "late-reports"    // workers repeat old load reports
	FaultRepeatedSuspension FaultKind = "pauses"          // workers are suspended repeatedly
	FaultNoisyNeighbour     FaultKind = "neighbour"       // workers are slow repeatedly
	FaultCrash              FaultKind = "crash"           // worker processes end, and restart later
	FaultReplace            FaultKind = "replace"         // worker processes are replaced under the same names and addresses
	FaultDeploy             FaultKind = "deploy"          // all workers are drained and replaced, in waves of the fraction
	FaultPreempt            FaultKind = "preempt"         // like deploy, but workers end before the endpoint list says so
	FaultEvict              FaultKind = "flush"           // replicas and images of a fraction of the functions are evicted
	FaultStoreSlow          FaultKind = "store-slow"      // fetches take Times as long
	FaultStoreStop          FaultKind = "store-stop"      // the function store rejects fetches
	FaultReleaseAtOnce      FaultKind = "release-at-once" // a fraction of the functions moves to another version
	FaultReleasePaced       FaultKind = "release-paced"   // the same, a few at a time, preloaded
	FaultBurst              FaultKind = "burst"           // clients send Times as many requests
	FaultHotKey             FaultKind = "hot-key"         // a fraction of the requests is for few functions that were unused before
	FaultCancel             FaultKind = "hang-up"         // a fraction of the requests is cancelled
	FaultIgnoreRetryAfter   FaultKind = "retry-storm"     // clients retry at once
	FaultEmptyList          FaultKind = "all-gone"        // the endpoint list is empty
	FaultMidnight           FaultKind = "midnight"        // Times further schedules fire
)

// deprecatedFaultKinds maps the names of earlier scripts to the present ones.
var deprecatedFaultKinds = map[FaultKind]FaultKind{
	"stall":       FaultSuspend,
	"cut":         FaultTruncateResponses,
	"retry-abuse": FaultIgnoreRetryAfter,
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts deprecated names.
func (k *FaultKind) UnmarshalText(text []byte) error {
	*k = FaultKind(text)
	if kind, deprecated := deprecatedFaultKinds[*k]; deprecated {
		*k = kind
	}
	return nil
}

// injections has the function that injects each kind of fault. It returns when the fault is over.
var injections = map[FaultKind]func(*injection, context.Context) error{
	FaultHang:               (*injection).injectAtWorkers,
	FaultLoseResponses:      (*injection).injectAtWorkers,
	FaultErrors:             (*injection).injectAtWorkers,
	FaultSlow:               (*injection).injectAtWorkers,
	FaultSuspend:            (*injection).injectAtWorkers,
	FaultReset:              (*injection).injectAtWorkers,
	FaultTruncateResponses:  (*injection).injectAtWorkers,
	FaultStaleReports:       (*injection).injectAtWorkers,
	FaultRepeatedSuspension: func(i *injection, ctx context.Context) error { return i.repeat(ctx, fakes.FaultSuspend) },
	FaultNoisyNeighbour:     func(i *injection, ctx context.Context) error { return i.repeat(ctx, fakes.FaultSlow) },
	FaultCrash:              (*injection).crash,
	FaultReplace:            (*injection).replace,
	FaultDeploy:             func(i *injection, ctx context.Context) error { return i.inWaves(ctx, i.deploy) },
	FaultPreempt:            func(i *injection, ctx context.Context) error { return i.inWaves(ctx, i.preempt) },
	FaultEvict:              (*injection).evict,
	FaultStoreSlow:          (*injection).slowStore,
	FaultStoreStop:          (*injection).stopStore,
	FaultReleaseAtOnce:      (*injection).releaseAtOnce,
	FaultReleasePaced:       (*injection).releasePaced,
	FaultBurst:              (*injection).burst,
	FaultHotKey:             (*injection).shiftTraffic,
	FaultCancel:             (*injection).cancelMany,
	FaultIgnoreRetryAfter:   (*injection).ignoreRetryAfter,
	FaultEmptyList:          (*injection).emptyList,
	FaultMidnight:           func(*injection, context.Context) error { return nil }, // part of the clients' schedules
}
