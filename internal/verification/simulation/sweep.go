package simulation

import (
	"context"
	"fmt"
	"sync"
)

// maxRunAhead is the number of seeds, for each goroutine, that may start while the report of an earlier seed is outstanding.
const maxRunAhead = 4

// sweepJob is a seed to run, with the channel that receives its result.
type sweepJob struct {
	seed   uint64
	result chan sweepResult
}

// sweepResult is the result of one seed.
type sweepResult struct {
	report *Report
	err    error
}

// Sweep runs count seeds of a profile, beginning with from, on the given number of parallel goroutines. It calls onReport in the
// order of the seeds.
func Sweep(ctx context.Context, profile string, from, count uint64, parallel int, onReport func(*Report)) error {
	if _, err := Generate(profile, from); err != nil {
		return err
	}
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	jobs, order := make(chan sweepJob), make(chan sweepJob, maxRunAhead*parallel)
	running.Go(func() { feedSeeds(ctx, from, count, order, jobs) })
	for range parallel {
		running.Go(func() {
			for job := range jobs {
				job.result <- playSeed(profile, job.seed)
			}
		})
	}
	for job := range order {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-job.result:
			if result.err != nil {
				return fmt.Errorf("seed %d: %w", job.seed, result.err)
			}
			onReport(result.report)
		}
	}
	return ctx.Err()
}

// feedSeeds sends a job for each seed to order and then to jobs, and closes both channels.
func feedSeeds(ctx context.Context, from, count uint64, order, jobs chan<- sweepJob) {
	defer close(jobs)
	defer close(order)
	for i := range count {
		job := sweepJob{from + i, make(chan sweepResult, 1)}
		for _, c := range []chan<- sweepJob{order, jobs} {
			select {
			case c <- job:
			case <-ctx.Done():
				return
			}
		}
	}
}

func playSeed(profile string, seed uint64) sweepResult {
	script, err := Generate(profile, seed)
	if err != nil {
		return sweepResult{nil, err}
	}
	report, _, err := Play(script, nil)
	return sweepResult{report, err}
}
