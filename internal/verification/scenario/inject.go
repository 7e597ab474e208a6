package scenario

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"

	"streamcleat/internal/verification/fakes"
)

const (
	restartNoticeDelay = 0.2 // seconds from the restart of a worker until the endpoint list shows it
	preemptNoticeDelay = 0.3 // seconds from the termination of a preempted worker until the endpoint list shows it
	terminationDelay   = 1   // seconds for which a replaced worker continues to run
)

// injection is the state of one fault while it is injected.
type injection struct {
	*run
	fault Fault
	rng   *rand.Rand
}

// inject injects a fault with the function that injections has for its kind.
func (r *run) inject(ctx context.Context, f Fault, rng *rand.Rand) error {
	r.log.Info("fault injected", "kind", f.Kind, "fraction", f.Fraction, "duration", f.Duration)
	return injections[f.Kind](&injection{run: r, fault: f, rng: rng}, ctx)
}

// awaitEnd waits until the duration of the fault has passed or the scenario ends.
func (i *injection) awaitEnd(ctx context.Context) { sleep(ctx, i.fault.Duration) }

// drawWorkers returns a random sample of the workers in service: the given fraction, but at least one.
func (i *injection) drawWorkers(fraction float64) []*fakes.Worker {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := max(int(math.Round(fraction*float64(len(i.workers)))), 1)
	var list []*fakes.Worker
	for _, index := range i.rng.Perm(len(i.workers))[:min(n, len(i.workers))] {
		list = append(list, i.workers[index])
	}
	return list
}

// affectedWorkers draws the workers that the fault affects.
func (i *injection) affectedWorkers() []*fakes.Worker { return i.drawWorkers(i.fault.Fraction) }

// allWorkers returns the workers in service, in random order.
func (i *injection) allWorkers() []*fakes.Worker { return i.drawWorkers(1) }

// forEachWorker calls do concurrently for all workers of a list. It returns the error of the first worker in the list that
// has one.
func forEachWorker(list []*fakes.Worker, do func(*fakes.Worker) error) error {
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

// injectIntoWorkers injects the fault into the affected workers, which end it themselves when its duration has passed.
func (i *injection) injectIntoWorkers(context.Context) error {
	f := i.fault
	for _, w := range i.affectedWorkers() {
		fault := fakes.Fault{Kind: fakes.FaultKind(f.Kind), Duration: f.Duration, Fraction: f.HitFraction, Slowdown: f.Magnitude, Bytes: f.Bytes}
		if err := w.Inject(fault); err != nil {
			return err
		}
	}
	return nil
}

// injectRepeatedly injects a fault into the same workers repeatedly until the scenario ends.
func (i *injection) injectRepeatedly(ctx context.Context, kind fakes.FaultKind) error {
	f := i.fault
	list := i.affectedWorkers()
	for ctx.Err() == nil {
		for _, w := range list {
			if err := w.Inject(fakes.Fault{Kind: kind, Duration: f.Duration, Slowdown: f.Magnitude}); err != nil {
				return err
			}
		}
		if !sleep(ctx, max(f.Every, f.Duration)) {
			break
		}
	}
	return nil
}

// crashWorkers crashes workers and restarts them after the duration of the fault. The endpoint list does not show the crash,
// and shows the restart after a delay.
func (i *injection) crashWorkers(context.Context) error {
	return forEachWorker(i.affectedWorkers(), func(w *fakes.Worker) error {
		w.Crash()
		sleepUninterrupted(i.fault.Duration)
		if err := w.Restart(); err != nil {
			return err
		}
		sleepUninterrupted(restartNoticeDelay)
		return i.list.SetState(w, stateServing)
	})
}

func (i *injection) restartWorkers(context.Context) error {
	return forEachWorker(i.affectedWorkers(), func(w *fakes.Worker) error {
		if err := w.Restart(); err != nil {
			return err
		}
		return i.list.SetState(w, stateServing)
	})
}

// inWaves calls do for all workers, a fraction of them at a time, with a pause after each wave.
func (i *injection) inWaves(ctx context.Context, do func(*fakes.Worker) error) error {
	workers := i.allWorkers()
	wave := max(int(math.Round(i.fault.Fraction*float64(len(workers)))), 1)
	for len(workers) > 0 && ctx.Err() == nil {
		n := min(wave, len(workers))
		if err := forEachWorker(workers[:n], do); err != nil {
			return err
		}
		workers = workers[n:]
		sleep(ctx, i.fault.Every)
	}
	return nil
}

// deploy drains a worker and replaces it with a cold worker of another name. The old worker terminates after a delay.
func (i *injection) deploy(w *fakes.Worker) error {
	if err := i.drain(w); err != nil {
		return err
	}
	if err := i.replaceInEndpointList(w); err != nil {
		return err
	}
	go func() {
		sleepUninterrupted(terminationDelay)
		w.Crash()
	}()
	return nil
}

// preempt is like deploy, but the worker terminates before it is removed from the endpoint list.
func (i *injection) preempt(w *fakes.Worker) error {
	if err := i.drain(w); err != nil {
		return err
	}
	w.Crash()
	sleepUninterrupted(preemptNoticeDelay)
	return i.replaceInEndpointList(w)
}

func (i *injection) drain(w *fakes.Worker) error {
	if err := i.list.SetState(w, stateDraining); err != nil {
		return err
	}
	sleepUninterrupted(i.fault.Duration)
	return nil
}

// replaceInEndpointList removes a worker from the endpoint list, and starts and adds a cold one.
func (i *injection) replaceInEndpointList(w *fakes.Worker) error {
	if err := i.list.SetState(w, stateRemoved); err != nil {
		return err
	}
	replacement, err := i.startColdWorker()
	if err != nil {
		return err
	}
	i.mu.Lock()
	for index, other := range i.workers {
		if other == w {
			i.workers[index] = replacement
		}
	}
	i.mu.Unlock()
	return i.list.SetState(replacement, stateServing)
}

func (i *injection) evict(context.Context) error {
	names := map[string]bool{}
	for _, index := range i.rng.Perm(len(i.functions))[:int(i.fault.Fraction*float64(len(i.functions)))] {
		names[i.functions[index].Name] = true
	}
	for _, w := range i.allWorkers() {
		w.Evict(names)
	}
	return nil
}

func (i *injection) slowStore(ctx context.Context) error {
	i.store.SetSlowdown(i.fault.Magnitude)
	i.awaitEnd(ctx)
	i.store.SetSlowdown(1)
	return nil
}

func (i *injection) stopStore(context.Context) error {
	i.store.RejectFor(i.fault.Duration)
	return nil
}

func (i *injection) burst(ctx context.Context) error {
	i.ratePercent.Store(int64(normalRatePercent * i.fault.Magnitude))
	i.awaitEnd(ctx)
	i.ratePercent.Store(normalRatePercent)
	return nil
}

// useHotFunctions sends a fraction of the requests to functions that were unused before.
func (i *injection) useHotFunctions(ctx context.Context) error {
	i.hotFunctionPermille.Store(int64(permilleBase * i.fault.Fraction))
	i.awaitEnd(ctx)
	i.hotFunctionPermille.Store(0)
	return nil
}

func (i *injection) cancelRequests(ctx context.Context) error {
	i.cancelPermille.Store(int64(permilleBase * i.fault.Fraction))
	i.awaitEnd(ctx)
	i.cancelPermille.Store(0)
	return nil
}

func (i *injection) ignoreRetryAfter(ctx context.Context) error {
	i.run.ignoreRetryAfter.Store(true)
	i.awaitEnd(ctx)
	i.run.ignoreRetryAfter.Store(false)
	return nil
}

func (i *injection) emptyEndpointList(context.Context) error {
	list := i.allWorkers()
	for _, w := range list {
		if err := i.list.SetState(w, stateRemoved); err != nil {
			return err
		}
	}
	sleepUninterrupted(i.fault.Duration)
	for _, w := range list {
		if err := i.list.SetState(w, stateServing); err != nil {
			return err
		}
	}
	return nil
}
