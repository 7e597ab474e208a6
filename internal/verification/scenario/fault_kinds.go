package scenario

import (
	"context"

	"streamcleat/internal/verification/fakes"
)

// FaultKind is a kind of fault in a script.
type FaultKind string

// Kinds of fault. Fault.Fraction is a fraction of the workers unless the comment says otherwise. Scripts may also use the
// deprecated names of deprecatedFaultKinds.
const (
	FaultHang               FaultKind = "hang"            // workers accept requests and never respond
	FaultLoseResponses      FaultKind = "lose"            // workers execute requests and lose the responses
	FaultErrors             FaultKind = "errors"          // workers respond with status 500
	FaultSlow               FaultKind = "slow"            // workers take Magnitude times as long
	FaultSuspend            FaultKind = "suspend"         // worker processes are suspended until the fault ends
	FaultReset              FaultKind = "reset"           // workers reset connections
	FaultTruncateResponses  FaultKind = "truncate"        // workers close connections after Bytes of the response
	FaultStaleReports       FaultKind = "late-reports"    // workers repeat old load reports
	FaultRepeatedSuspension FaultKind = "pauses"          // workers are suspended repeatedly
	FaultNoisyNeighbour     FaultKind = "neighbour"       // workers are slow repeatedly
	FaultCrash              FaultKind = "crash"           // worker processes crash and restart later
	FaultReplace            FaultKind = "replace"         // worker processes are replaced under the same names and addresses
	FaultDeploy             FaultKind = "deploy"          // all workers are drained and replaced, a fraction of them at a time
	FaultPreempt            FaultKind = "preempt"         // like deploy, but workers terminate before the endpoint list shows it
	FaultEvict              FaultKind = "flush"           // replicas and cached images of a fraction of the functions are evicted
	FaultStoreSlow          FaultKind = "store-slow"      // fetches from the function store take Magnitude times as long
	FaultStoreStop          FaultKind = "store-stop"      // the function store rejects fetches
	FaultReleaseAtOnce      FaultKind = "release-at-once" // a fraction of the functions moves to the new version
	FaultReleasePaced       FaultKind = "release-paced"   // like release-at-once, but a few functions at a time, preloaded
	FaultBurst              FaultKind = "burst"           // clients send Magnitude times as many requests
	FaultHotKey             FaultKind = "hot-key"         // a fraction of the requests goes to a few previously unused functions
	FaultCancel             FaultKind = "hang-up"         // clients cancel a fraction of the requests
	FaultIgnoreRetryAfter   FaultKind = "retry-storm"     // clients ignore Retry-After and retry immediately
	FaultEmptyList          FaultKind = "all-gone"        // the endpoint list is empty
	FaultMidnight           FaultKind = "midnight"        // Magnitude additional schedules fire at midnight
)

// deprecatedFaultKinds maps deprecated names, which existing scripts may use, to the current kinds.
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

// injections maps each kind of fault to the function that injects it. The function returns when the fault is over, or earlier
// if the workers or the function store end the fault themselves.
var injections = map[FaultKind]func(*injection, context.Context) error{
	FaultHang:               (*injection).injectIntoWorkers,
	FaultLoseResponses:      (*injection).injectIntoWorkers,
	FaultErrors:             (*injection).injectIntoWorkers,
	FaultSlow:               (*injection).injectIntoWorkers,
	FaultSuspend:            (*injection).injectIntoWorkers,
	FaultReset:              (*injection).injectIntoWorkers,
	FaultTruncateResponses:  (*injection).injectIntoWorkers,
	FaultStaleReports:       (*injection).injectIntoWorkers,
	FaultRepeatedSuspension: func(i *injection, ctx context.Context) error { return i.injectRepeatedly(ctx, fakes.FaultSuspend) },
	FaultNoisyNeighbour:     func(i *injection, ctx context.Context) error { return i.injectRepeatedly(ctx, fakes.FaultSlow) },
	FaultCrash:              (*injection).crashWorkers,
	FaultReplace:            (*injection).restartWorkers,
	FaultDeploy:             func(i *injection, ctx context.Context) error { return i.inWaves(ctx, i.deploy) },
	FaultPreempt:            func(i *injection, ctx context.Context) error { return i.inWaves(ctx, i.preempt) },
	FaultEvict:              (*injection).evict,
	FaultStoreSlow:          (*injection).slowStore,
	FaultStoreStop:          (*injection).stopStore,
	FaultReleaseAtOnce:      (*injection).releaseAtOnce,
	FaultReleasePaced:       (*injection).releasePaced,
	FaultBurst:              (*injection).burst,
	FaultHotKey:             (*injection).useHotFunctions,
	FaultCancel:             (*injection).cancelRequests,
	FaultIgnoreRetryAfter:   (*injection).ignoreRetryAfter,
	FaultEmptyList:          (*injection).emptyEndpointList,
	FaultMidnight:           func(*injection, context.Context) error { return nil }, // drawCrontab adds its schedules
}
