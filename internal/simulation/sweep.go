package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// ReadScript reads a script from JSON.
func ReadScript(data []byte) (*Script, error) {
	s := &Script{}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return s, s.Check()
}

// Sweep plays seeds from one on, several at a time, and tells of each in the order of seeds.
func Sweep(ctx context.Context, profile string, from, n uint64, atOnce int, tell func(*Report)) error {
	if _, err := Generate(profile, from); err != nil {
		return err
	}
	type result struct {
		r   *Report
		err error
	}
	type job struct {
		seed uint64
		out  chan result
	}
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	jobs, order := make(chan job), make(chan job, 4*atOnce) // seeds may run ahead of the slowest by that many
	running.Go(func() {
		defer close(jobs)
		defer close(order)
		for i := range n {
			x := job{from + i, make(chan result, 1)}
			for _, c := range []chan job{order, jobs} {
				select {
				case c <- x:
				case <-ctx.Done():
					return
				}
			}
		}
	})
	for range atOnce {
		running.Go(func() {
			for x := range jobs {
				s, err := Generate(profile, x.seed)
				var r *Report
				if err == nil {
					r, _, err = Play(s, nil)
				}
				x.out <- result{r, err}
			}
		})
	}
	for x := range order {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case y := <-x.out:
			if y.err != nil {
				return fmt.Errorf("seed %d: %w", x.seed, y.err)
			}
			tell(y.r)
		}
	}
	return ctx.Err()
}

// Summary is what many seeds came to.
type Summary struct {
	Profile  string
	Seeds    int
	Broken   int
	First    uint64 // the first seed that broke something
	Events   int
	Handled  int
	Launches int
	Steps    int
	Restarts int
	Virtual  float64
	Met      map[string]int
	began    time.Time
}

// NewSummary begins one now.
func NewSummary(profile string) *Summary {
	return &Summary{Profile: profile, Met: map[string]int{}, began: time.Now()}
}

// Add counts a report.
func (s *Summary) Add(r *Report) {
	s.Seeds++
	if !r.OK() {
		if s.Broken++; s.Broken == 1 {
			s.First = r.Seed
		}
	}
	s.Events += r.Events
	s.Handled += r.Handled
	s.Launches += r.Launches
	s.Steps += r.Steps
	s.Restarts += r.Restarts
	s.Virtual += r.Virtual
	for k, n := range r.Met {
		s.Met[k] += n
	}
}

// Missed are the kinds of fault that met none of the front ends' states, and pairs of the two that never met.
func (s *Summary) Missed() (never []string) {
	for _, k := range Kinds() {
		met := false
		for _, state := range States() {
			met = met || s.Met[k+" "+state] > 0
		}
		if !met {
			never = append(never, k)
		}
	}
	return
}

// String is the summary with a table of which faults met which states.
func (s *Summary) String() string {
	var b strings.Builder
	took := time.Since(s.began).Seconds()
	fmt.Fprintf(&b, "%d seeds of %s, %d broke something; %d events, %d handled, %d launches, %d restarts of boxes\n", s.Seeds, s.Profile, s.Broken,
		s.Events, s.Handled, s.Launches, s.Restarts)
	fmt.Fprintf(&b, "%.0f virtual seconds in %.1f: %.0f for one; %.0f steps and %.0f events a second\n\n", s.Virtual, took, s.Virtual/took,
		float64(s.Steps)/took, float64(s.Events)/took)
	states := States()
	width := 0
	var kinds []string
	for _, k := range Kinds() {
		for _, state := range states {
			if s.Met[k+" "+state] > 0 {
				kinds = append(kinds, k)
				width = max(width, len(k))
				break
			}
		}
	}
	sort.Strings(kinds)
	fmt.Fprintf(&b, "%-*s", width, "fault met")
	for _, state := range states {
		fmt.Fprintf(&b, "  %s", state)
	}
	b.WriteString("\n")
	for _, k := range kinds {
		fmt.Fprintf(&b, "%-*s", width, k)
		for _, state := range states {
			fmt.Fprintf(&b, "  %*d", len(state), s.Met[k+" "+state])
		}
		b.WriteString("\n")
	}
	return b.String()
}
