package appliance

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/schedule"
	"streamcleat/internal/storage"
	"streamcleat/internal/units"
)

// maxScheduleSleep limits the sleep until the next firing, because the clock may be set or the appliance stopped meanwhile.
const maxScheduleSleep = time.Second

// planSchedules plans the entries of the crontab, continuing from the last firings of the previous process.
func (a *Appliance) planSchedules() error {
	maps.Copy(a.lastFirings, a.recovered.LastFirings)
	return a.reloadCrontab()
}

// reloadCrontab reads the crontab and replaces the plan if it has changed. An invalid crontab leaves the last one in
// effect.
func (a *Appliance) reloadCrontab() error {
	path := a.config.Path(a.config.Schedules.Crontab)
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("crontab: %w", err)
	}
	if a.plan != nil && bytes.Equal(data, a.crontab) {
		return nil
	}
	entries, err := schedule.Parse(bytes.NewReader(data), path)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.plan != nil {
		a.log.Info("crontab reloaded", "entries", len(entries), "previous", len(a.entries))
	}
	// A new entry is planned from now on, an unchanged one from its last firing.
	a.crontab, a.entries = data, entries
	a.plan = schedule.Resume(entries, a.lastFirings, time.Now())
	return nil
}

// dueFirings holds the firings that are due and the time of the next one.
type dueFirings struct {
	firings []schedule.Firing
	next    time.Time
	planned bool // next is valid
}

// sleepTime returns the time to sleep until the next firing.
func (d *dueFirings) sleepTime() time.Duration {
	if !d.planned {
		return maxScheduleSleep
	}
	return min(max(time.Until(d.next), time.Millisecond), maxScheduleSleep)
}

// runSchedules fires due entries until ctx ends. A firing is on disk before its request is submitted, so that a restart
// neither loses it nor fires it twice.
func (a *Appliance) runSchedules(ctx context.Context) {
	if a.config.Schedules == nil {
		return
	}
	for {
		due, running := a.takeDue(ctx)
		if !running {
			return
		}
		if len(due.firings) > 0 {
			if err := a.fireSchedules(due.firings); err != nil {
				a.log.Error("failed to persist firings, schedules not fired", "firings", len(due.firings), "error", err)
			}
		}
		select {
		case <-time.After(due.sleepTime()):
		case <-ctx.Done():
			return
		}
	}
}

// takeDue removes the due firings from the plan and returns those whose entries are not suspended. running is false once
// ctx has ended.
func (a *Appliance) takeDue(ctx context.Context) (due dueFirings, running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ctx.Err() != nil {
		return due, false
	}
	for _, firing := range a.plan.TakeDue(time.Now()) {
		if a.suspended[firing.Entry.Key()] {
			a.log.Info("firing skipped, entry suspended", "request_id", firing.ID)
			continue
		}
		due.firings = append(due.firings, firing)
	}
	due.next, due.planned = a.plan.Next()
	return due, true
}

// fireSchedules writes firings durably to the store and then submits their requests.
func (a *Appliance) fireSchedules(firings []schedule.Firing) error {
	var stored []storage.Firing
	for _, f := range firings {
		request := newScheduledRequest(a.scheduleSource(), f)
		stored = append(stored, storage.Firing{Entry: f.Entry.Key(), Due: f.Due, Deadline: f.Deadline(), Request: request})
	}
	if a.store != nil {
		if err := a.store.RecordFirings(stored); err != nil {
			return err
		}
	}
	a.mu.Lock()
	for _, f := range stored {
		a.lastFirings[f.Entry] = f.Due
	}
	a.mu.Unlock()
	for _, f := range stored {
		a.submitScheduled(f.Request, f.Deadline, 1)
	}
	return nil
}

// submitScheduled submits a scheduled request. A rejected request is retried until its deadline.
func (a *Appliance) submitScheduled(request dispatch.Request, deadline time.Time, attempt int) {
	err := a.serverOf(request.ID).Submit(request, func(response dispatch.Response) {
		a.onScheduledResponse(request, deadline, attempt, response)
	})
	if err != nil {
		a.log.Warn("failed to submit scheduled request", "request_id", request.String(), "error", err)
	}
}

// onScheduledResponse retries a rejected request or records that it is done. A request rejected because of the shutdown
// stays open in the store, and the next process submits it again.
func (a *Appliance) onScheduledResponse(request dispatch.Request, deadline time.Time, attempt int, response dispatch.Response) {
	if response.Kind == dispatch.Rejected {
		if response.Cause == dispatch.CauseShuttingDown {
			return
		}
		wait, retry := schedule.NextRetry(deadline, time.Now(), attempt, seconds(float64(response.RetryAfter)))
		if retry {
			time.AfterFunc(wait, func() { a.submitScheduled(request, deadline, attempt+1) })
			return
		}
	}
	if response.Kind != dispatch.Succeeded {
		a.log.Error("scheduled request did not succeed", "request_id", request.String(), "outcome", response.Kind.String(),
			"cause", response.Cause.String(), "attempt", attempt)
	}
	if a.store != nil {
		a.store.ScheduledRequestDone(request.Identity)
	}
}

// serverOf returns the server that a firing is submitted to. External schedule clients with the same crontab select the
// same one.
func (a *Appliance) serverOf(firingID string) *eventloop.Server {
	return a.serverByAddress[schedule.RendezvousOrder(a.addresses, firingID)[0]]
}

// scheduleSource returns the CloudEvents source of scheduled requests.
func (a *Appliance) scheduleSource() string {
	if a.config.Schedules != nil && a.config.Schedules.Source != "" {
		return a.config.Schedules.Source
	}
	return "/timers/" + a.config.Name
}

// newScheduledRequest returns the request of a firing as a CloudEvent in binary mode.
func newScheduledRequest(source string, firing schedule.Firing) dispatch.Request {
	entry := firing.Entry
	fields := []dispatch.Field{
		{Name: "ce-specversion", Value: "1.0"},
		{Name: "ce-source", Value: source},
		{Name: "ce-id", Value: firing.ID},
		{Name: "ce-type", Value: entry.Class},
		{Name: "ce-time", Value: firing.Due.UTC().Format(time.RFC3339)},
		{Name: "ce-function", Value: entry.Function},
	}
	if entry.Tenant != "" {
		fields = append(fields, dispatch.Field{Name: "ce-tenant", Value: entry.Tenant})
	}
	if len(entry.Data) > 0 {
		fields = append(fields, dispatch.Field{Name: "Content-Type", Value: "application/json"})
	}
	return dispatch.Request{
		Identity: dispatch.Identity{Source: source, ID: firing.ID},
		Class:    entry.Class,
		Tenant:   entry.Tenant,
		Function: entry.Function,
		Timeout:  units.Seconds(entry.Timeout.Seconds()),
		Fields:   fields,
		Body:     entry.Data,
	}
}
