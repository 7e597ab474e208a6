package simulation

import (
	"time"

	"streamcleat/internal/units"
)

// epoch is the time of day at the start of a run, five seconds before a full minute.
var epoch = time.Date(2026, 12, 23, 23, 59, 55, 0, time.UTC)

// exitKind tells whether a process ends alone or with its machine.
type exitKind int

const (
	processExit exitKind = iota // the machine keeps running
	powerLoss                   // the machine loses power
)

// process is a process on a machine of its own. It can be suspended, terminated and restarted. All calls into its code go
// through whileRunning or after, so that no code runs in a process that is suspended or has ended.
type process struct {
	scheduler   *scheduler
	name        string
	incarnation int
	running     bool
	powered     bool // the machine has power
	suspended   bool // calls are queued in the backlog until the process is resumed
	backlog     []func()
	clockSkew   float64 // seconds by which the machine's time of day is ahead
	uptimeBase  float64 // value of the machine's monotonic clock at the start of the run
}

// whileRunning returns a function that calls run in the current incarnation of the process. While the process is suspended
// the call is deferred until it is resumed, and once this incarnation has ended the call is dropped.
func (p *process) whileRunning(run func()) func() {
	incarnation := p.incarnation
	return func() {
		switch {
		case p.incarnation != incarnation || !p.running:
		case p.suspended:
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

// after schedules an event in the current incarnation of the process.
func (p *process) after(delay units.Seconds, name string, run func()) *event {
	return p.scheduler.after(delay, p.name+" "+name, p.whileRunning(run))
}

// suspend suspends the process for a duration in seconds.
func (p *process) suspend(duration units.Seconds) {
	if p.suspended || !p.running {
		return
	}
	p.suspended = true
	incarnation := p.incarnation
	p.scheduler.after(duration, p.name+" goes on", func() {
		if p.incarnation == incarnation {
			p.resume()
		}
	})
}

// resume resumes a suspended process and runs its backlog.
func (p *process) resume() {
	p.suspended = false
	for len(p.backlog) > 0 && !p.suspended {
		run := p.backlog[0]
		p.backlog = p.backlog[1:]
		run()
	}
}

// terminate ends the current incarnation of the process and drops its backlog.
func (p *process) terminate() {
	p.incarnation++
	p.running, p.suspended, p.backlog = false, false, nil
}

// wallClock returns the machine's time of day.
func (p *process) wallClock() time.Time {
	return epoch.Add((p.scheduler.now + units.Seconds(p.clockSkew)).Duration())
}

// monotonic returns the machine's monotonic clock in seconds.
func (p *process) monotonic() units.Seconds { return units.Seconds(p.uptimeBase) + p.scheduler.now }
