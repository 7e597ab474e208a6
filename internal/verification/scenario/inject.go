package scenario

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"

	"streamcleat/internal/verification/fakes"
)

// FaultKind names a kind of fault in scripts.
type FaultKind string

// Kinds of fault. Share is of the workers where nothing else is said.
const (
	FaultHang               FaultKind = "hang"            // workers accept requests and answer none
	FaultLoseResponses      FaultKind = "lose"            // workers run requests and lose the responses
	FaultErrors             FaultKind = "errors"          // workers answer 500
	FaultSlow               FaultKind = "slow"            // workers take Times as long
	FaultSuspend            FaultKind = "stall"           // workers stand still and go on
	FaultReset              FaultKind = "reset"           // workers reset connections
	FaultTruncateResponses  FaultKind = "cut"             // workers close connections after Bytes of the response
	FaultStaleReports       FaultKind = "late-reports"    // workers repeat old load reports
	FaultRepeatedSuspension FaultKind = "pauses"          // workers stand still again and again
	FaultNoisyNeighbour     FaultKind = "neighbour"       // workers are slow again and again
	FaultCrash              FaultKind = "crash"           // worker processes end, and come back later
	FaultReplace            FaultKind = "replace"         // new processes under the same names and addresses
	FaultDeploy             FaultKind = "deploy"          // all workers are replaced in waves of Share, drained first
	FaultPreempt            FaultKind = "preempt"         // the same, and each ends before the endpoint list says so
	FaultEvict              FaultKind = "flush"           // replicas and images of a Share of the functions are gone
	FaultStoreSlow          FaultKind = "store-slow"      // fetches take Times as long
	FaultStoreStop          FaultKind = "store-stop"      // the function store rejects fetches
	FaultReleaseAtOnce      FaultKind = "release-at-once" // a Share of the functions moves to another version
	FaultReleasePaced       FaultKind = "release-paced"   // the same, a few at a time, loaded first
	FaultBurst              FaultKind = "burst"           // clients send Times as many requests
	FaultHotKey             FaultKind = "hot-key"         // a Share of the requests is for few functions that nobody asked for
	FaultCancel             FaultKind = "hang-up"         // a Share of the clients cancel
	FaultIgnoreRetryAfter   FaultKind = "retry-abuse"     // clients come back at once
	FaultEmptyList          FaultKind = "all-gone"        // the endpoint list is empty
	FaultMidnight           FaultKind = "midnight"        // Times further schedules fire
)

const (
	restartNotice  = 0.2 // seconds from a restart until the endpoint list names the worker again
	preemptNotice  = 0.3 // seconds from the end of a preempted worker until the endpoint list says so
	deployedLinger = 1   // seconds for which a worker runs on that was replaced
)

// injections make a fault happen and, where it lasts, end it again before they return.
var injections = map[FaultKind]func(*injection) error{
	FaultHang:               (*injection).misbehave,
	FaultLoseResponses:      (*injection).misbehave,
	FaultErrors:             (*injection).misbehave,
	FaultSlow:               (*injection).misbehave,
	FaultSuspend:            (*injection).misbehave,
	FaultReset:              (*injection).misbehave,
	FaultTruncateResponses:  (*injection).misbehave,
	FaultStaleReports:       (*injection).misbehave,
	FaultRepeatedSuspension: func(i *injection) error { return i.repeat(fakes.FaultSuspend) },
	FaultNoisyNeighbour:     func(i *injection) error { return i.repeat(fakes.FaultSlow) },
	FaultCrash:              (*injection).crash,
	FaultReplace:            (*injection).replace,
	FaultDeploy:             func(i *injection) error { return i.inWaves(i.deploy) },
	FaultPreempt:            func(i *injection) error { return i.inWaves(i.preempt) },
	FaultEvict:              (*injection).evict,
	FaultStoreSlow:          (*injection).slowStore,
	FaultStoreStop:          (*injection).stopStore,
	FaultReleaseAtOnce:      (*injection).releaseAtOnce,
	FaultReleasePaced:       (*injection).releasePaced,
	FaultBurst:              (*injection).burst,
	FaultHotKey:             (*injection).heatKeys,
	FaultCancel:             (*injection).cancelMany,
	FaultIgnoreRetryAfter:   (*injection).ignoreRetryAfter,
	FaultEmptyList:          (*injection).emptyList,
	FaultMidnight:           func(*injection) error { return nil }, // the clients' schedules know of it
}

// injection is one fault that is being injected.
type injection struct {
	*run
	ctx   context.Context
	fault Fault
	rng   *rand.Rand
}

// inject makes one fault happen and, where it lasts, ends it again before it returns.
func (r *run) inject(ctx context.Context, f Fault, rng *rand.Rand) error {
	r.log.Info("fault injected", "kind", f.Kind, "share", f.Fraction, "duration", f.Duration)
	return injections[f.Kind](&injection{run: r, ctx: ctx, fault: f, rng: rng})
}

// hold waits for the fault's duration, or until the scenario's time is over.
func (i *injection) hold() { sleep(i.ctx, i.fault.Duration) }

// someWorkers draws a share of the workers in service, one at least.
func (i *injection) someWorkers(share float64) []*fakes.Worker {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := max(int(math.Round(share*float64(len(i.workers)))), 1)
	var list []*fakes.Worker
	for _, index := range i.rng.Perm(len(i.workers))[:min(n, len(i.workers))] {
		list = append(list, i.workers[index])
	}
	return list
}

// affected draws the workers that the fault concerns.
func (i *injection) affected() []*fakes.Worker { return i.someWorkers(i.fault.Fraction) }

// allWorkers returns the workers in service in a drawn order.
func (i *injection) allWorkers() []*fakes.Worker { return i.someWorkers(1) }

// eachWorker does something with all workers of a list at once, and returns the first error in their order.
func eachWorker(list []*fakes.Worker, do func(*fakes.Worker) error) error {
	var running sync.WaitGroup
	errs := make([]error, len(list))
	for i, w := range list {
		running.Go(func() { errs[i] = do(w) })
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// misbehave makes workers treat requests as the kind of fault has it.
func (i *injection) misbehave() error {
	f := i.fault
	for _, w := range i.affected() {
		fault := fakes.Fault{Kind: fakes.FaultKind(f.Kind), Duration: f.Duration, Fraction: f.HitFraction, Slowdown: f.Times, Bytes: f.Bytes}
		if err := w.Inject(fault); err != nil {
			return err
		}
	}
	return nil
}

// repeat makes workers misbehave again and again until the scenario's time is over.
func (i *injection) repeat(kind fakes.FaultKind) error {
	f := i.fault
	list := i.affected()
	for i.ctx.Err() == nil {
		for _, w := range list {
			if err := w.Inject(fakes.Fault{Kind: kind, Duration: f.Duration, Slowdown: f.Times}); err != nil {
				return err
			}
		}
		if !sleep(i.ctx, max(f.Every, f.Duration)) {
			break
		}
	}
	return nil
}

// crash ends worker processes and starts them again later. The endpoint list learns of neither at once.
func (i *injection) crash() error {
	return eachWorker(i.affected(), func(w *fakes.Worker) error {
		w.Crash()
		pause(i.fault.Duration)
		if err := w.Restart(); err != nil {
			return err
		}
		pause(restartNotice)
		return i.list.SetPhase(w, phaseServing)
	})
}

func (i *injection) replace() error {
	return eachWorker(i.affected(), func(w *fakes.Worker) error {
		if err := w.Restart(); err != nil {
			return err
		}
		return i.list.SetPhase(w, phaseServing)
	})
}

// inWaves does something with all workers, a share at a time.
func (i *injection) inWaves(do func(*fakes.Worker) error) error {
	workers := i.allWorkers()
	wave := max(int(math.Round(i.fault.Fraction*float64(len(workers)))), 1)
	for len(workers) > 0 && i.ctx.Err() == nil {
		n := min(wave, len(workers))
		if err := eachWorker(workers[:n], do); err != nil {
			return err
		}
		workers = workers[n:]
		sleep(i.ctx, i.fault.Every)
	}
	return nil
}

// deploy drains a worker and puts a cold one of another name in its place.
func (i *injection) deploy(w *fakes.Worker) error {
	if err := i.drain(w); err != nil {
		return err
	}
	if err := i.substitute(w); err != nil {
		return err
	}
	go func() {
		pause(deployedLinger)
		w.Crash()
	}()
	return nil
}

// preempt is deploy of a worker whose process ends before the endpoint list says so.
func (i *injection) preempt(w *fakes.Worker) error {
	if err := i.drain(w); err != nil {
		return err
	}
	w.Crash()
	pause(preemptNotice)
	return i.substitute(w)
}

func (i *injection) drain(w *fakes.Worker) error {
	if err := i.list.SetPhase(w, phaseDraining); err != nil {
		return err
	}
	pause(i.fault.Duration)
	return nil
}

// substitute takes a worker out of the endpoint list and puts a cold one in its place.
func (i *injection) substitute(w *fakes.Worker) error {
	if err := i.list.SetPhase(w, phaseGone); err != nil {
		return err
	}
	fresh, err := i.startWorker(true)
	if err != nil {
		return err
	}
	i.mu.Lock()
	for index, other := range i.workers {
		if other == w {
			i.workers[index] = fresh
		}
	}
	i.mu.Unlock()
	return i.list.SetPhase(fresh, phaseServing)
}

func (i *injection) evict() error {
	names := map[string]bool{}
	for _, index := range i.rng.Perm(len(i.functions))[:int(i.fault.Fraction*float64(len(i.functions)))] {
		names[i.functions[index].Name] = true
	}
	for _, w := range i.allWorkers() {
		w.Evict(names)
	}
	return nil
}

func (i *injection) slowStore() error {
	i.store.SetSlowdown(i.fault.Times)
	i.hold()
	i.store.SetSlowdown(1)
	return nil
}

func (i *injection) stopStore() error {
	i.store.RejectFor(i.fault.Duration)
	return nil
}

func (i *injection) burst() error {
	i.ratePercent.Store(int64(usualRatePercent * i.fault.Times))
	i.hold()
	i.ratePercent.Store(usualRatePercent)
	return nil
}

func (i *injection) heatKeys() error {
	i.hotShare.Store(int64(thousandths * i.fault.Fraction))
	i.hold()
	i.hotShare.Store(0)
	return nil
}

func (i *injection) cancelMany() error {
	i.cancelShare.Store(int64(thousandths * i.fault.Fraction))
	i.hold()
	i.cancelShare.Store(0)
	return nil
}

func (i *injection) ignoreRetryAfter() error {
	i.run.ignoreRetryAfter.Store(true)
	i.hold()
	i.run.ignoreRetryAfter.Store(false)
	return nil
}

func (i *injection) emptyList() error {
	list := i.allWorkers()
	for _, w := range list {
		if err := i.list.SetPhase(w, phaseGone); err != nil {
			return err
		}
	}
	pause(i.fault.Duration)
	for _, w := range list {
		if err := i.list.SetPhase(w, phaseServing); err != nil {
			return err
		}
	}
	return nil
}
