// Package simulation runs the program in a world of its own: a virtual clock, a network, disks and processes that go wrong
// by a script. What runs in it is the program's own code from the bytes of a connection to the bytes of the store:
// frontend, gateway, control, front/http, workers, h1, timers, durable and the life of the box. A script comes from a
// seed, and the same script always gives the same trace, which a digest proves.
package simulation

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"math/rand/v2"
	"time"
)

// step is one thing that happens.
type step struct {
	at   float64
	no   uint64
	what string
	f    func()
}

type agenda []*step

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].no < a[j].no
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(*step)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1] = nil
	*a = (*a)[:len(*a)-1]
	return last
}

// world is the virtual clock and what is to happen on it.
type world struct {
	now    float64 // seconds since the beginning
	no     uint64
	agenda agenda
	steps  int
	last   string
	trace  hash.Hash
	note   []byte
	told   func(string) // the trace in words; may be nil
}

func newWorld() *world { return &world{trace: sha256.New()} }

// in does something after so many seconds; what names it in the trace.
func (w *world) in(after float64, what string, f func()) *step {
	w.no++
	s := &step{at: w.now + max(after, 0), no: w.no, what: what, f: f}
	heap.Push(&w.agenda, s)
	return s
}

// drop makes a step that is still to come do nothing.
func (s *step) drop() {
	if s != nil {
		s.f = nil
	}
}

// next makes the next thing happen and tells whether there was one before the time until.
func (w *world) next(until float64) bool {
	for len(w.agenda) > 0 && w.agenda[0].at <= until {
		s := heap.Pop(&w.agenda).(*step)
		w.now = max(w.now, s.at)
		if s.f == nil {
			continue
		}
		w.steps++
		w.last = s.what
		w.mark(s.what, nil)
		s.f()
		return true
	}
	w.now = max(w.now, until)
	return false
}

// mark adds to the trace.
func (w *world) mark(what string, data []byte) {
	w.note = binary.LittleEndian.AppendUint64(w.note[:0], math.Float64bits(w.now))
	w.note = append(w.note, what...)
	w.note = append(w.note, 0)
	w.note = append(w.note, data...)
	w.trace.Write(w.note)
	if w.told != nil {
		w.told(what)
	}
}

// digest proves that two runs did the same.
func (w *world) digest() string { return hex.EncodeToString(w.trace.Sum(nil)) }

// chance is a stream of random numbers of a seed; streams of other names are independent.
func chance(seed uint64, name string) *rand.Rand {
	h := sha256.Sum256([]byte(name))
	return rand.New(rand.NewPCG(seed, binary.LittleEndian.Uint64(h[:8])))
}

// dawn is the time of day at the beginning: five seconds before a minute.
var dawn = time.Date(2026, 12, 23, 23, 59, 55, 0, time.UTC)

// proc is one process on one machine: it may be stopped for a while, ended and begun anew. What it does is done
// through do, so that nothing happens in a process that stands still or is gone.
type proc struct {
	w     *world
	name  string
	life  int
	up    bool // the process runs
	power bool // its machine does
	still bool // stopped; what comes waits
	inbox []func()
	skew  float64 // of the machine's time of day
	base  float64 // of the machine's steady clock
}

// do makes something happen in the process that now runs.
func (p *proc) do(f func()) func() {
	life := p.life
	return func() {
		switch {
		case p.life != life || !p.up:
		case p.still:
			p.inbox = append(p.inbox, func() {
				if p.life == life && p.up {
					f()
				}
			})
		default:
			f()
		}
	}
}

func (p *proc) in(after float64, what string, f func()) *step {
	return p.w.in(after, p.name+" "+what, p.do(f))
}

// stall stops the process for so many seconds.
func (p *proc) stall(seconds float64) {
	if p.still || !p.up {
		return
	}
	p.still = true
	life := p.life
	p.w.in(seconds, p.name+" goes on", func() {
		if p.life == life {
			p.resume()
		}
	})
}

func (p *proc) resume() {
	p.still = false
	for len(p.inbox) > 0 && !p.still {
		f := p.inbox[0]
		p.inbox = p.inbox[1:]
		f()
	}
}

// end makes the process gone.
func (p *proc) end() {
	p.life++
	p.up, p.still, p.inbox = false, false, nil
}

func (p *proc) wall() time.Time {
	return dawn.Add(time.Duration((p.w.now + p.skew) * float64(time.Second)))
}

func (p *proc) clock() float64 { return p.base + p.w.now }
