package simulation

import (
	"time"

	"streamcleat/internal/units"
)

// epoch is the time of day at the start, five seconds before a full minute.
var epoch = time.Date(2026, 12, 23, 23, 59, 55, 0, time.UTC)

// exitKind is the extent of the end of a process.
type exitKind int

const (
	processExit exitKind = iota // the machine keeps running
	powerLoss                   // the machine loses power as well
)

// process is one process on one machine. It can be suspended, terminated and restarted. Its code is called through
// whileRunning or after, so that nothing is executed in a process that is suspended or has ended.
type process struct {
	scheduler   *scheduler
	name        string
	incarnation int
	running     bool
	powered     bool // its machine has power
	suspended   bool // calls are queued in the backlog
	backlog     []func()
	clockSkew   float64 // of the machine's time of day
	uptimeBase  float64 // of the machine's monotonic clock
}

// whileRunning returns a function that calls run in the present process: at its resumption if it is suspended, and never
// once it has ended.
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

// after schedules an event in the process.
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

// resume continues a suspended process and runs its backlog.
func (p *process) resume() {
	p.suspended = false
	for len(p.backlog) > 0 && !p.suspended {
		run := p.backlog[0]
		p.backlog = p.backlog[1:]
		run()
	}
}

// terminate ends the process.
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
