package dispatch

import (
	"container/heap"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// routerPeriodicTimer is the router's ID of its periodic timer, which also expires cached responses.
const routerPeriodicTimer = 0

// timerKind is the purpose of a timer. It determines the meaning of the timer's key.
type timerKind uint8

const (
	routerTimer     timerKind = iota // set by the router; the key is the router's timer ID
	waiterDeadline                   // deadline of a waiter that the router does not enforce; the key is its WaiterID
	attemptDeadline                  // timeout of an attempt; the key is the attempt's ID
	loadDeadline                     // timeout of a load command or query; the key is its ID
)

// timer is an entry of a timerQueue.
type timer struct {
	at       units.Seconds
	kind     timerKind
	key      uint64
	sequence uint64 // order of arming; timers due at the same time fire in this order
	request  *openRequest
}

// maxObsoleteTimers is the maximum number of obsolete timers that the queue holds beside as many timers as there are open requests, attempts
// and load commands.
const maxObsoleteTimers = 1024

// timerQueue is a heap of timers, the earliest first. Timers are not disarmed one by one: a timer whose request, attempt, load command
// or waiter has ended does nothing when it fires, and is removed with others when there are many.
type timerQueue []timer

// Len implements heap.Interface.
func (q *timerQueue) Len() int { return len(*q) }

// Less implements heap.Interface.
func (q *timerQueue) Less(i, j int) bool {
	a, b := &(*q)[i], &(*q)[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (q *timerQueue) Swap(i, j int) { (*q)[i], (*q)[j] = (*q)[j], (*q)[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) {
	if t, ok := x.(timer); ok {
		*q = append(*q, t)
	}
}

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// armTimer adds a timer that is due in the given number of seconds.
func (d *Dispatcher) armTimer(after units.Seconds, kind timerKind, key uint64, req *openRequest) {
	if used := len(d.requests) + len(d.requestByWaiter) + len(d.inFlight) + len(d.pendingLoads); len(d.timers) > 2*used+maxObsoleteTimers {
		d.removeObsoleteTimers()
	}
	d.timerSequence++
	heap.Push(&d.timers, timer{
		at:       d.now + max(after, 0),
		kind:     kind,
		key:      key,
		sequence: d.timerSequence,
		request:  req,
	})
}

// removeObsoleteTimers removes the timers that would do nothing. The order of the others is the same.
func (d *Dispatcher) removeObsoleteTimers() {
	d.timers = slices.DeleteFunc(d.timers, func(t timer) bool { return !d.isUsed(t) })
	heap.Init(&d.timers)
}

// isUsed reports whether a timer does something when it fires.
func (d *Dispatcher) isUsed(t timer) bool {
	switch t.kind {
	case routerTimer:
		return d.router.AwaitsTimer(t.key)
	case waiterDeadline:
		return d.requestByWaiter[WaiterID(t.key)] == t.request
	case attemptDeadline:
		return d.inFlight[t.key] != nil
	case loadDeadline:
		return d.pendingLoads[t.key] != nil
	}
	return true
}

// fireTimer runs the action of a timer that is due.
func (d *Dispatcher) fireTimer(t timer) {
	switch t.kind {
	case routerTimer:
		if t.key == routerPeriodicTimer {
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

// onAttemptTimeout abandons an attempt that is still in flight at its deadline. If it has not been sent by then, that says nothing
// about its worker.
func (d *Dispatcher) onAttemptTimeout(id uint64) {
	attempt := d.inFlight[id]
	if attempt == nil {
		return
	}
	d.counts.TimedOut++
	if d.effects.CancelUnsent(attempt.id) {
		d.endAttempt(attempt, WorkerReply{Outcome: control.NotSent})
		return
	}
	d.effects.Abandon(attempt.id)
	d.endAttempt(attempt, WorkerReply{Outcome: control.TimedOut})
}

// onLoadTimeout abandons a load command or query that is still pending at its deadline. The timer of a query is rearmed
// until its timeout, counted from the write, has passed.
func (d *Dispatcher) onLoadTimeout(id uint64) {
	load := d.pendingLoads[id]
	if load == nil {
		return
	}
	if timeLeft := load.queryTimeLeft(d.now); timeLeft > 0 {
		d.armTimer(timeLeft, loadDeadline, id, nil)
		return
	}
	d.effects.Abandon(id)
	d.OnLoadReply(d.now, id, control.TimedOut, 0)
}
