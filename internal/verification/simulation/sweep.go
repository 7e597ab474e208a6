package simulation

import (
	"context"
	"fmt"
	"sync"
)

// runAhead is how many seeds for each player may be begun before the slowest is reported.
const runAhead = 4

// sweepJob is one seed to play.
type sweepJob struct {
	seed   uint64
	result chan sweepResult
}

type sweepResult struct {
	report *Report
	err    error
}

// Sweep plays count seeds of a profile from one on, several at a time, and reports them in the order of seeds.
func Sweep(ctx context.Context, profile string, from, count uint64, parallel int, onReport func(*Report)) error {
	if _, err := Generate(profile, from); err != nil {
		return err
	}
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	jobs, order := make(chan sweepJob), make(chan sweepJob, runAhead*parallel)
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

// feedSeeds sends a job for each seed to both channels and closes them.
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
