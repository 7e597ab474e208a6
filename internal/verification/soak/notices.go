package soak

import (
	"sync"
	"time"

	"streamcleat/internal/verification/invariants"
)

// stateServing is the state of an active worker in records.
const stateServing = "serving"

// noticeLog records the time from which each process of a front end counts as having received an event of the discovery
// service: when the event is sent to it, when it starts with the event in its document or, during an outage, at the time
// that the platform's terms set (see outage.noticeTime).
type noticeLog struct {
	discovery *discovery

	mu    sync.Mutex
	count map[string]int // number of events that count as received, by process name
}

func newNoticeLog(d *discovery) *noticeLog { return &noticeLog{discovery: d, count: map[string]int{}} }

// schedule arranges that an event which was added during an outage is recorded at its notice time for the front ends that
// the outage affects.
func (n *noticeLog) schedule(e workerEvent) {
	if e.outage == nil {
		return // the event is recorded when it is sent
	}
	for _, f := range n.discovery.harness.frontEnds {
		if e.outage.affects(f.number) {
			time.AfterFunc(time.Until(e.outage.noticeTime(e.addedAt)), func() { n.recordDue(f) })
		}
	}
}

// recordDue records the events that count as received by a front end by now although they were not sent to it.
func (n *noticeLog) recordDue(f *frontEnd) {
	process := f.processName()
	n.mu.Lock()
	due := n.count[process]
	n.mu.Unlock()
	for total, _ := n.discovery.eventCount(); due < total && n.isDue(due, f.number); due++ {
	}
	n.record(f.number, process, due)
}

// isDue reports whether an event was added during an outage that affects a front end, and its notice time has passed.
func (n *noticeLog) isDue(number, frontEnd int) bool {
	e := n.discovery.event(number)
	return e.outage != nil && e.outage.affects(frontEnd) && !time.Now().Before(e.outage.noticeTime(e.addedAt))
}

// recordReactivation records immediately, for all front ends, that a worker is active again. The service has the event, and
// it is no violation if a front end learns of it earlier from the worker itself and uses the worker.
func (n *noticeLog) recordReactivation(w *worker) {
	for _, f := range n.discovery.harness.frontEnds {
		n.discovery.harness.recorder.Add(invariants.Record{
			Kind: invariants.EndpointUpdated, FrontEnd: f.processName(), Worker: w.name, EndpointState: stateServing,
		})
	}
}

// onProcessStart records the events that a process of a front end starts with in its document, and those that count as
// received by then. The document has none of the events of an outage that is in progress and affects the front end.
func (n *noticeLog) onProcessStart(f *frontEnd, count int) {
	n.record(f.number, f.processName(), count)
	n.recordDue(f)
}

// record records that a process has received the events up to count. It skips events that are recorded already, and does
// nothing if the process is no longer the front end's current one.
func (n *noticeLog) record(frontEnd int, process string, count int) {
	if n.discovery.harness.processName(frontEndName(frontEnd)) != process {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for number := n.count[process]; number < count; number++ {
		n.recordEvent(process, n.discovery.event(number), n.noticedAt(number, frontEnd))
	}
	n.count[process] = max(n.count[process], count)
}

// noticedAt returns the time from which an event of an outage counts as received, which may be before the process started.
// It returns 0 for an event that counts as received at the time of its record.
func (n *noticeLog) noticedAt(number, frontEnd int) float64 {
	if !n.isDue(number, frontEnd) {
		return 0
	}
	e := n.discovery.event(number)
	return n.discovery.harness.recorder.Now() - time.Since(e.outage.noticeTime(e.addedAt)).Seconds()
}

// recordEvent adds the records of one event: the endpoint update and, if the event states it, the start of the worker.
func (n *noticeLog) recordEvent(process string, e workerEvent, noticedAt float64) {
	recorder := n.discovery.harness.recorder
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
