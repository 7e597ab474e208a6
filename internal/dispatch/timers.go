package dispatch

import (
	"container/heap"

	"streamcleat/control"
)

// routerPeriodicMark is the mark of the timer that the router arms again each time it fires; the cache expires with it.
const routerPeriodicMark = 0

// timerKind tells what a timer is for, and so what its key means.
type timerKind uint8

const (
	routerTimer     timerKind = iota // asked for by the router; the key is its mark
	waiterDeadline                   // a waiter's deadline comes before that of its request; the key is its WaiterID
	attemptDeadline                  // an attempt timed out; the key is the attempt's ID
	loadDeadline                     // a load command timed out; the key is the command's ID
)

// timer is one entry of the deadline queue.
type timer struct {
	at       float64
	kind     timerKind
	key      uint64
	sequence uint64 // order of arming: timers that are due at the same time fire in it
	request  *openRequest
}

// timerQueue is a heap of timers, the earliest first. Timers aren't disarmed: one that has become moot does nothing.
type timerQueue []timer

// Len implements heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q timerQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// arm adds a timer that is due after so many seconds.
func (d *Dispatcher) arm(after float64, kind timerKind, key uint64, req *openRequest) {
	d.timerSequence++
	heap.Push(&d.timers, timer{
		at:       d.now + max(after, 0),
		kind:     kind,
		key:      key,
		sequence: d.timerSequence,
		request:  req,
	})
}

// fire acts on a timer that is due.
func (d *Dispatcher) fire(t timer) {
	switch t.kind {
	case routerTimer:
		if t.key == routerPeriodicMark {
			d.cache.expire(d.now)
		}
		d.router.OnTimer(d.now, t.key)
	case waiterDeadline:
		d.onWaiterDeadline(t.request, WaiterID(t.key))
	case attemptDeadline:
		d.onAttemptTimeout(t.key)
	case loadDeadline:
		d.onLoadTimeout(t.key)
	}
}

// onAttemptTimeout abandons an attempt that is still in flight at its deadline.
func (d *Dispatcher) onAttemptTimeout(id uint64) {
	attempt := d.inFlight[id]
	if attempt == nil {
		return
	}
	d.counts.TimedOut++
	d.effects.Abandon(attempt.id)
	d.endAttempt(attempt, WorkerReply{Outcome: control.TimedOut})
}

// onLoadTimeout abandons a load command that is still pending at its deadline.
func (d *Dispatcher) onLoadTimeout(id uint64) {
	if d.pendingLoads[id] == nil {
		return
	}
	d.effects.Abandon(id)
	d.OnLoadReply(d.now, id, control.TimedOut, 0)
}
