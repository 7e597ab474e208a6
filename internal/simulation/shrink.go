package simulation

import (
	"errors"
	"slices"
	"strings"
)

// ErrWhole tells that a script breaks nothing.
var ErrWhole = errors.New("the script breaks nothing")

// Shrink cuts a script that breaks something to a smaller one that breaks the same kind of thing: fewer faults by
// halves and one by one (delta debugging, Zeller and Hildebrandt 2002), then fewer boxes, workers, clients and events,
// then shorter. It tells how many runs that took.
func Shrink(s *Script) (small *Script, r *Report, runs int, err error) {
	r, _, err = Play(s, nil)
	if err != nil {
		return nil, nil, 1, err
	}
	if r.OK() {
		return nil, r, 1, ErrWhole
	}
	kind := func(broke string) string {
		name, _, _ := strings.Cut(broke, ":")
		name, _, _ = strings.Cut(name, " at ")
		return name
	}
	want := kind(r.Broke[0])
	runs = 1
	best := *s
	try := func(c Script) bool {
		if runs >= 400 || c.Check() != nil {
			return false
		}
		runs++
		x, _, err := Play(&c, nil)
		if err != nil || !slices.ContainsFunc(x.Broke, func(b string) bool { return kind(b) == want }) {
			return false
		}
		best, r = c, x
		return true
	}
	faults := func() {
		for n := 2; len(best.Faults) > 0; {
			size := (len(best.Faults) + n - 1) / n
			cut := false
			for at := 0; at < len(best.Faults); at += size {
				c := best
				c.Faults = append(slices.Clone(best.Faults[:at]), best.Faults[min(at+size, len(best.Faults)):]...)
				if try(c) {
					cut = true
					break
				}
			}
			switch {
			case cut:
				n = max(n-1, 2)
			case size == 1:
				return
			default:
				n = min(n*2, len(best.Faults))
			}
		}
	}
	faults()
	for again := true; again; {
		again = false
		for _, change := range []func(*Script){
			func(c *Script) { c.Timers = 0 }, func(c *Script) { c.PerBox = 1 }, func(c *Script) { c.Boxes-- }, func(c *Script) { c.Workers-- },
			func(c *Script) { c.Clients-- }, func(c *Script) { c.Functions = max(c.Functions/2, 1) }, func(c *Script) { c.Rate /= 2 },
			func(c *Script) { c.Ration = false }, func(c *Script) { c.Cold = false }, func(c *Script) { c.Seconds -= 1 },
		} {
			c := best
			change(&c)
			if (c.Boxes != best.Boxes || c.Workers != best.Workers || c.Clients != best.Clients || c.PerBox != best.PerBox || c.Functions != best.Functions ||
				c.Timers != best.Timers || c.Ration != best.Ration || c.Cold != best.Cold || c.Rate >= 1 && c.Rate != best.Rate || c.Seconds != best.Seconds) && try(c) {
				again = true
			}
		}
	}
	faults()
	for i := range best.Faults {
		for _, part := range []float64{0, 0.5} {
			c := best
			c.Faults = slices.Clone(best.Faults)
			c.Faults[i].For *= part
			if c.Faults[i].For != best.Faults[i].For && try(c) {
				break
			}
		}
	}
	return &best, r, runs, nil
}
