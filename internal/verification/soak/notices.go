package soak

import (
	"sync"
	"time"

	"streamcleat/internal/verification/invariants"
)

// stateServing is the state of an active worker in records.
const stateServing = "serving"

// noticeLog records from when the events of the discovery service count as received by each process of a front end: when
// they are sent to it, when it starts with them, or, during an outage, at the times of the platform's terms.
type noticeLog struct {
	discovery *discovery

	mu    sync.Mutex
	count map[string]int // events that count as received, by process
}

func newNoticeLog(d *discovery) *noticeLog { return &noticeLog{discovery: d, count: map[string]int{}} }

// schedule records an event at the time of the platform's terms, for the front ends that an outage cuts off.
func (n *noticeLog) schedule(e workerEvent) {
	if e.outage == nil {
		return // recorded when it is sent
	}
	for _, f := range n.discovery.site.frontEnds {
		if e.outage.affects(f.number) {
			time.AfterFunc(time.Until(e.outage.noticeTime(e.addedAt)), func() { n.recordDue(f) })
		}
	}
}

// recordDue records the events that count as received by a front end by now, though they were not sent to it.
func (n *noticeLog) recordDue(f *frontEnd) {
	process := f.processName()
	n.mu.Lock()
	due := n.count[process]
	n.mu.Unlock()
	for all, _ := n.discovery.eventCount(); due < all && n.isDue(due, f.number); due++ {
	}
	n.record(f.number, process, due)
}

// isDue reports whether an event counts as received by a front end by now, by the outage in which it was added.
func (n *noticeLog) isDue(number, frontEnd int) bool {
	e := n.discovery.event(number)
	return e.outage != nil && e.outage.affects(frontEnd) && !time.Now().Before(e.outage.noticeTime(e.addedAt))
}

// recordReturn records at once that a worker serves again: the service holds the event, and what a front end does upon
// the worker's own word is no fault.
func (n *noticeLog) recordReturn(w *worker) {
	for _, f := range n.discovery.site.frontEnds {
		n.discovery.site.recorder.Add(invariants.Record{
			Kind: invariants.EndpointUpdated, FrontEnd: f.processName(), Worker: w.name, EndpointState: stateServing,
		})
	}
}

// onProcessStart records the events with which a process of a front end started, and those that were due before. Of an
// outage that is under way it heard none.
func (n *noticeLog) onProcessStart(f *frontEnd, count int) {
	n.record(f.number, f.processName(), count)
	n.recordDue(f)
}

// record records that the events up to count are received by a process, unless it ended or they are recorded already.
func (n *noticeLog) record(frontEnd int, process string, count int) {
	if n.discovery.site.processName(frontEndName(frontEnd)) != process {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for number := n.count[process]; number < count; number++ {
		n.recordEvent(process, n.discovery.event(number), n.noticedAt(number, frontEnd))
	}
	n.count[process] = max(n.count[process], count)
}

// noticedAt returns the time from which an event of an outage counts as received, also by a process that started later; 0 for
// an event that is received when it is recorded.
func (n *noticeLog) noticedAt(number, frontEnd int) float64 {
	if !n.isDue(number, frontEnd) {
		return 0
	}
	e := n.discovery.event(number)
	return n.discovery.site.recorder.Now() - time.Since(e.outage.noticeTime(e.addedAt)).Seconds()
}

// recordEvent adds the records of one event.
func (n *noticeLog) recordEvent(process string, e workerEvent, noticedAt float64) {
	recorder := n.discovery.site.recorder
	state := e.state
	if state == stateActive {
		state = stateServing
	}
	recorder.Add(invariants.Record{Kind: invariants.EndpointUpdated, FrontEnd: process, Worker: e.worker.name, EndpointState: state, NoticedAt: noticedAt})
	if e.startedMs > 0 && e.state == stateActive {
		startedAt := recorder.Now() - time.Since(e.worker.startedAt).Seconds()
		recorder.Add(invariants.Record{Kind: invariants.WorkerStarted, FrontEnd: process, Worker: e.worker.name, StartedAt: startedAt})
	}
}
