package simulation

import (
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/schedule"
	"streamcleat/internal/storage"
	"streamcleat/internal/units"
	"streamcleat/internal/verification/invariants"
)

const (
	maxScheduleWait = 1.0   // maximum seconds between checks for due schedules
	minScheduleWait = 0.001 // minimum seconds between checks for due schedules
)

// fireSchedules fires the due schedules and schedules the next check.
func (a *applianceProcess) fireSchedules() {
	s := a.site
	if s.script.Timers == 0 || a.schedulesSuspended || a.scheduler.now > units.Seconds(s.script.Seconds+retryPeriod) {
		return
	}
	if due := a.schedules.TakeDue(a.wallClock()); len(due) > 0 {
		a.fire(due)
		if !a.running {
			return
		}
	}
	wait := maxScheduleWait
	if next, ok := a.schedules.Next(); ok {
		wait = min(max(next.Sub(a.wallClock()).Seconds(), minScheduleWait), wait)
	}
	a.after(units.Seconds(wait), "timers", a.fireSchedules)
}

// fire writes firings to disk and then submits their requests, in the order of the real appliance.
func (a *applianceProcess) fire(due []schedule.Firing) {
	var firings []storage.Firing
	for _, f := range due {
		firings = append(firings, storage.Firing{Entry: f.Entry.Key(), Due: f.Due, Deadline: f.Deadline(), Request: a.scheduledRequest(f)})
	}
	if a.store != nil {
		err := a.withStore(func() error { return a.store.RecordFirings(firings) })
		if err != nil || !a.running {
			return
		}
	}
	for _, f := range firings {
		a.lastFirings[f.Entry] = f.Due
		identity := f.Request.Identity
		firing := identity.String()
		if a.site.durableFirings[firing] {
			a.site.violation("schedules", "%s fired %s twice", a.name, firing)
		}
		a.site.durableFirings[firing] = a.store != nil
		a.submitScheduled(f.Request, f.Deadline, 1)
	}
}

// scheduledRequest returns the request that a firing submits.
func (a *applianceProcess) scheduledRequest(f schedule.Firing) dispatch.Request {
	entry, source := f.Entry, "/timers/"+a.name
	return dispatch.Request{
		Identity: dispatch.Identity{Source: source, ID: f.ID},
		Class:    entry.Class,
		Function: entry.Function,
		Tenant:   entry.Tenant,
		Fields: []dispatch.Field{
			{Name: "ce-specversion", Value: "1.0"},
			{Name: "ce-source", Value: source},
			{Name: "ce-id", Value: f.ID},
			{Name: "ce-type", Value: entry.Class},
			{Name: "ce-function", Value: entry.Function},
		},
	}
}

// scheduledCall is one attempt to submit a scheduled request.
type scheduledCall struct {
	request   dispatch.Request
	deadline  time.Time
	attempts  int // including this one
	number    uint64
	startedAt units.Seconds
}

// submitScheduled submits a scheduled request to the appliance's first front end. If it is rejected, it is retried until its
// deadline.
func (a *applianceProcess) submitScheduled(request dispatch.Request, deadline time.Time, attempts int) {
	f := a.frontEnds[0]
	c := scheduledCall{request: request, deadline: deadline, attempts: attempts, number: a.site.recorder.NextCallID(), startedAt: a.scheduler.now}
	identity := request.Identity
	a.scheduled[identity] = c.number
	a.site.recorder.Add(invariants.Record{
		Kind: invariants.RequestSent, RequestID: identity.String(), Class: request.Class,
		Function: request.Function, FrontEnd: f.processName(), CallID: c.number, Timeout: requestTimeout,
	})
	f.proxy.Submit(request, func(response dispatch.Response) { a.onScheduledResponse(c, response) })
}

func (a *applianceProcess) onScheduledResponse(c scheduledCall, response dispatch.Response) {
	id := c.request.Identity
	delete(a.scheduled, id)
	if a.scheduler.now-c.startedAt > requestTimeout && a.site.hadOutage(a, c.startedAt) { // the appliance was suspended
		a.site.addUnknownOutcome(invariants.Record{Kind: invariants.ConnectionLost, CallID: c.number})
	} else {
		a.site.recorder.Add(invariants.Record{
			Kind: invariants.ResponseReceived, RequestID: id.String(), Class: c.request.Class,
			FrontEnd: a.frontEnds[0].processName(), CallID: c.number, Outcome: response.Kind.String(), Digest: response.Binding.Digest,
		})
	}
	if response.Kind == dispatch.Rejected && (response.Cause == dispatch.CauseShuttingDown || a.retryScheduled(c, response)) {
		return
	}
	if a.store != nil {
		a.store.ScheduledRequestDone(id)
		a.sync()
	}
}

// retryScheduled schedules a retry of a rejected request. It returns false if the deadline or the end of the run leaves no
// time for a retry.
func (a *applianceProcess) retryScheduled(c scheduledCall, response dispatch.Response) bool {
	retryAfter := response.RetryAfter.Duration()
	identity := c.request.Identity
	wait, ok := schedule.NextRetry(c.deadline, a.wallClock(), c.attempts, retryAfter)
	if !ok || a.scheduler.now+units.Seconds(wait.Seconds()) >= units.Seconds(a.site.script.Seconds+retryPeriod) {
		return false
	}
	a.after(units.Seconds(wait.Seconds()), "again "+identity.ID, func() {
		if a.isServing() {
			a.submitScheduled(c.request, c.deadline, c.attempts+1)
		}
	})
	return true
}
