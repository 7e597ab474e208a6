package simulation

import "time"

// epoch is the time of day at the beginning: five seconds before a minute.
var epoch = time.Date(2026, 12, 23, 23, 59, 55, 0, time.UTC)

// process is one process on one machine. It may be paused, ended and started anew. What it does runs through guard or
// after, so that nothing happens in a process that is paused or gone.
type process struct {
	scheduler   *scheduler
	name        string
	incarnation int
	running     bool
	powered     bool // its machine has power
	paused      bool // what comes waits
	backlog     []func()
	clockSkew   float64 // of the machine's time of day
	uptimeBase  float64 // of the machine's monotonic clock
}

// guard returns a function that runs run in the process that now runs: later while that one is paused, and never once it
// is gone.
func (p *process) guard(run func()) func() {
	incarnation := p.incarnation
	return func() {
		switch {
		case p.incarnation != incarnation || !p.running:
		case p.paused:
			p.backlog = append(p.backlog, func() {
				if p.incarnation == incarnation && p.running {
					run()
				}
			})
		default:
			run()
		}
	}
}

// after schedules an event in the process.
func (p *process) after(delay float64, name string, run func()) *event {
	return p.scheduler.after(delay, p.name+" "+name, p.guard(run))
}

// pause stops the process for a duration in seconds.
func (p *process) pause(duration float64) {
	if p.paused || !p.running {
		return
	}
	p.paused = true
	incarnation := p.incarnation
	p.scheduler.after(duration, p.name+" goes on", func() {
		if p.incarnation == incarnation {
			p.resume()
		}
	})
}

// resume runs what waited while the process was paused.
func (p *process) resume() {
	p.paused = false
	for len(p.backlog) > 0 && !p.paused {
		run := p.backlog[0]
		p.backlog = p.backlog[1:]
		run()
	}
}

// terminate ends the process.
func (p *process) terminate() {
	p.incarnation++
	p.running, p.paused, p.backlog = false, false, nil
}

// wallClock is the time of day as the machine has it.
func (p *process) wallClock() time.Time {
	return epoch.Add(time.Duration((p.scheduler.now + p.clockSkew) * float64(time.Second)))
}

// monotonic is the machine's monotonic clock in seconds.
func (p *process) monotonic() float64 { return p.uptimeBase + p.scheduler.now }
