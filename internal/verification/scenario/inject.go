package scenario

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"

	"streamcleat/internal/verification/fakes"
)

const (
	restartNoticeDelay = 0.2 // seconds from a restart until the endpoint list has it
	preemptNoticeDelay = 0.3 // seconds from the end of a preempted worker until the endpoint list has it
	terminationDelay   = 1   // seconds for which a replaced worker runs on
)

// injection is one fault that is being injected.
type injection struct {
	*run
	fault Fault
	rng   *rand.Rand
}

// inject injects a fault, and returns when it is over.
func (r *run) inject(ctx context.Context, f Fault, rng *rand.Rand) error {
	r.log.Info("fault injected", "kind", f.Kind, "fraction", f.Fraction, "duration", f.Duration)
	return injections[f.Kind](&injection{run: r, fault: f, rng: rng}, ctx)
}

// awaitEnd waits for the fault's duration, or the end of the scenario.
func (i *injection) awaitEnd(ctx context.Context) { sleep(ctx, i.fault.Duration) }

// drawWorkers draws a fraction of the workers in service, but at least one.
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

// affected draws the workers that the fault affects.
func (i *injection) affected() []*fakes.Worker { return i.drawWorkers(i.fault.Fraction) }

// allWorkers returns the workers in service, in random order.
func (i *injection) allWorkers() []*fakes.Worker { return i.drawWorkers(1) }

// forEachWorker calls do for all workers of a list concurrently, and returns the first error in their order.
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

// injectAtWorkers injects the fault into workers, which end it by themselves.
func (i *injection) injectAtWorkers(context.Context) error {
	f := i.fault
	for _, w := range i.affected() {
		fault := fakes.Fault{Kind: fakes.FaultKind(f.Kind), Duration: f.Duration, Fraction: f.HitFraction, Slowdown: f.Times, Bytes: f.Bytes}
		if err := w.Inject(fault); err != nil {
			return err
		}
	}
	return nil
}

// repeat injects a fault into workers repeatedly until the scenario ends.
func (i *injection) repeat(ctx context.Context, kind fakes.FaultKind) error {
	f := i.fault
	list := i.affected()
	for ctx.Err() == nil {
		for _, w := range list {
			if err := w.Inject(fakes.Fault{Kind: kind, Duration: f.Duration, Slowdown: f.Times}); err != nil {
				return err
			}
		}
		if !sleep(ctx, max(f.Every, f.Duration)) {
			break
		}
	}
	return nil
}

// crash ends worker processes and restarts them later. The endpoint list does not show the end, and
// shows the restart after a delay.
func (i *injection) crash(context.Context) error {
	return forEachWorker(i.affected(), func(w *fakes.Worker) error {
		w.Crash()
		sleepAlways(i.fault.Duration)
		if err := w.Restart(); err != nil {
			return err
		}
		sleepAlways(restartNoticeDelay)
		return i.list.SetState(w, stateServing)
	})
}

func (i *injection) replace(context.Context) error {
	return forEachWorker(i.affected(), func(w *fakes.Worker) error {
		if err := w.Restart(); err != nil {
			return err
		}
		return i.list.SetState(w, stateServing)
	})
}

// inWaves calls do for all workers, a fraction of them at a time.
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

// deploy drains a worker and replaces it with a cold one of another name.
func (i *injection) deploy(w *fakes.Worker) error {
	if err := i.drain(w); err != nil {
		return err
	}
	if err := i.substitute(w); err != nil {
		return err
	}
	go func() {
		sleepAlways(terminationDelay)
		w.Crash()
	}()
	return nil
}

// preempt is like deploy, but the worker ends before it is removed from the endpoint list.
func (i *injection) preempt(w *fakes.Worker) error {
	if err := i.drain(w); err != nil {
		return err
	}
	w.Crash()
	sleepAlways(preemptNoticeDelay)
	return i.substitute(w)
}

func (i *injection) drain(w *fakes.Worker) error {
	if err := i.list.SetState(w, stateDraining); err != nil {
		return err
	}
	sleepAlways(i.fault.Duration)
	return nil
}

// substitute removes a worker from the endpoint list and adds a cold one.
func (i *injection) substitute(w *fakes.Worker) error {
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
	i.store.SetSlowdown(i.fault.Times)
	i.awaitEnd(ctx)
	i.store.SetSlowdown(1)
	return nil
}

func (i *injection) stopStore(context.Context) error {
	i.store.RejectFor(i.fault.Duration)
	return nil
}

func (i *injection) burst(ctx context.Context) error {
	i.ratePercent.Store(int64(normalRatePercent * i.fault.Times))
	i.awaitEnd(ctx)
	i.ratePercent.Store(normalRatePercent)
	return nil
}

// shiftTraffic sends a fraction of the requests to functions that were unused before.
func (i *injection) shiftTraffic(ctx context.Context) error {
	i.hotThousandths.Store(int64(thousand * i.fault.Fraction))
	i.awaitEnd(ctx)
	i.hotThousandths.Store(0)
	return nil
}

func (i *injection) cancelMany(ctx context.Context) error {
	i.cancelThousandths.Store(int64(thousand * i.fault.Fraction))
	i.awaitEnd(ctx)
	i.cancelThousandths.Store(0)
	return nil
}

func (i *injection) ignoreRetryAfter(ctx context.Context) error {
	i.run.ignoreRetryAfter.Store(true)
	i.awaitEnd(ctx)
	i.run.ignoreRetryAfter.Store(false)
	return nil
}

func (i *injection) emptyList(context.Context) error {
	list := i.allWorkers()
	for _, w := range list {
		if err := i.list.SetState(w, stateRemoved); err != nil {
			return err
		}
	}
	sleepAlways(i.fault.Duration)
	for _, w := range list {
		if err := i.list.SetState(w, stateServing); err != nil {
			return err
		}
	}
	return nil
}
