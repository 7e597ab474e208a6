package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"streamcleat/internal/schedule"
	"streamcleat/internal/verification/fakes"
)

const (
	scheduleSource       = "/timers/drill"
	preloadInterval      = 0.1 // seconds between checks for schedules that are due soon
	secondsPerMinute     = 60
	defaultMidnightDelay = 10 // seconds from the end of the scenario to midnight if the script has no midnight fault
)

// firstDay is the day that begins at the script's midnight on the clock of the schedules.
var firstDay = time.Date(2026, 12, 24, 0, 0, 0, 0, time.UTC)

// scheduleClock is the clock of one client's schedules. It may run faster than real time, and reaches midnight at the time
// that the script sets.
type scheduleClock struct {
	startedAt      time.Time
	lag            float64 // seconds behind the clocks of the other clients
	midnight       float64 // seconds from startedAt
	minuteDuration float64 // seconds of real time for each minute of the clock
}

func (c scheduleClock) now() time.Time {
	minutes := (time.Since(c.startedAt).Seconds() - c.lag - c.midnight) / c.minuteDuration
	return firstDay.Add(time.Duration(minutes * float64(time.Minute)))
}

// realTimeUntil returns the real time that passes until a time on the clock.
func (c scheduleClock) realTimeUntil(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(c.now())) / secondsPerMinute * c.minuteDuration)
}

// runSchedules runs one client with schedules. All clients have the same crontab, so that every client fires the schedules
// of each minute.
func (r *run) runSchedules(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(r.seed, scheduleStream))
	crontab, midnight := r.drawCrontab(rng)
	entries, err := schedule.Parse(strings.NewReader(removeDuplicateEntries(crontab)), "drill")
	if err != nil {
		r.recordFailure("crontab: %v", err)
		return
	}
	// The clocks of clients differ by up to a second.
	lags := []float64{0, rng.Float64(), 0, 1}
	clock := scheduleClock{startedAt: time.Now(), lag: lags[number%len(lags)], midnight: midnight, minuteDuration: r.script.MinuteDuration}
	if r.script.PreloadAhead > 0 && number == 0 {
		go r.preload(ctx, entries, clock)
	}
	client := r.newClient(scheduleSource, r.script.Retries)
	plan := schedule.NewPlan(entries, clock.now())
	client.OnResult = r.countResult
	client.Run(ctx, plan, clock.now, clock.realTimeUntil)
}

// drawCrontab returns a crontab with random request classes. Its entries fire each minute, and at midnight if the script has
// a midnight fault. It also returns the time of midnight, in seconds from the start.
func (r *run) drawCrontab(rng *rand.Rand) (crontab string, midnight float64) {
	s := r.script
	var text strings.Builder
	text.WriteString("CRON_TZ=UTC\n")
	classes := fakes.RequestClasses()
	for i := range s.Schedules {
		fmt.Fprintf(&text, "* * * * * %s %s kitaboshi-wear %%{\"entry\":%d}\n", classes[rng.IntN(len(classes))],
			r.functions[i%s.Functions].Name, i)
	}
	midnight = s.Seconds + defaultMidnightDelay
	for _, f := range s.Faults {
		if f.Kind != FaultMidnight {
			continue
		}
		midnight = f.At
		for i := range int(f.Magnitude) {
			fmt.Fprintf(&text, "0 0 * * * %s %s minato-shoes %%{\"reset\":%d}\n", classes[rng.IntN(len(classes))],
				r.functions[i%s.Functions].Name, i)
		}
	}
	return text.String(), midnight
}

// preload loads the functions of schedules that are due soon, as the appliance does.
func (r *run) preload(ctx context.Context, entries []schedule.Entry, clock scheduleClock) {
	ahead := time.Duration(r.script.PreloadAhead / r.script.MinuteDuration * float64(time.Minute))
	for sleep(ctx, preloadInterval) {
		for _, f := range schedule.DueWithin(entries, clock.now(), ahead) {
			first := schedule.RendezvousOrder(r.addrs, f.ID)[0]
			frontEnd := r.frontEnds[slices.Index(r.addrs, first)]
			if _, err := frontEnd.Preload(f.Entry.Class, f.Entry.Function); err != nil {
				return
			}
		}
	}
}

// removeDuplicateEntries returns a crontab without duplicate entries, which the parser rejects.
func removeDuplicateEntries(crontab string) string {
	seen := map[string]bool{}
	var out strings.Builder
	for _, line := range strings.SplitAfter(crontab, "\n") {
		key, _, _ := strings.Cut(line, "%")
		if !seen[key] {
			out.WriteString(line)
		}
		seen[key] = true
	}
	return out.String()
}
