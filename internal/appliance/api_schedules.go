package appliance

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"streamcleat/internal/schedule"
)

// ScheduleStatus is the status of a crontab entry.
type ScheduleStatus struct {
	Entry      string     `json:"entry"`
	Spec       string     `json:"spec"`
	Zone       string     `json:"zone"`
	Suspended  bool       `json:"held"`
	LastFiring *time.Time `json:"last,omitempty"`
	NextFiring *time.Time `json:"next,omitempty"`
}

// scheduleStatuses returns the status of every entry, in crontab order.
func (a *Appliance) scheduleStatuses() []ScheduleStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	statuses := []ScheduleStatus{}
	for i := range a.entries {
		entry := &a.entries[i]
		key := entry.Key()
		status := ScheduleStatus{Entry: key, Spec: entry.Spec, Zone: entry.Zone.String(), Suspended: a.suspended[key]}
		if last, ok := a.lastFirings[key]; ok {
			status.LastFiring = &last
		}
		if next := entry.Next(time.Now()); !next.IsZero() {
			status.NextFiring = &next
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// suspendEntry keeps an entry from firing until it is resumed or the process ends.
func (a *Appliance) suspendEntry(target string) (string, error) {
	key, err := a.setSuspended(target, true)
	if err != nil {
		return "", err
	}
	return "entry " + key + " is held", nil
}

// resumeEntry undoes suspendEntry.
func (a *Appliance) resumeEntry(target string) (string, error) {
	key, err := a.setSuspended(target, false)
	if err != nil {
		return "", err
	}
	return "entry " + key + " fires again", nil
}

// setSuspended suspends or resumes an entry and returns its key.
func (a *Appliance) setSuspended(target string, suspended bool) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, err := a.findEntry(target)
	if err != nil {
		return "", err
	}
	key := entry.Key()
	a.suspended[key] = suspended
	return key, nil
}

// fireEntry fires an entry for the current minute.
func (a *Appliance) fireEntry(target string) (string, error) {
	a.mu.Lock()
	entry, err := a.findEntry(target)
	a.mu.Unlock()
	if err != nil {
		return "", err
	}
	due := time.Now().Truncate(time.Minute)
	firing := schedule.Firing{Entry: entry, Due: due, ID: schedule.FiringID(entry, due)}
	if err := a.fireSchedules([]schedule.Firing{firing}); err != nil {
		return "", err
	}
	return "fired " + firing.ID, nil
}

// findEntry returns the entry whose key equals the target, or else the only entry whose key contains it. The caller must
// hold a.mu.
func (a *Appliance) findEntry(target string) (*schedule.Entry, error) {
	var matches []*schedule.Entry
	for i := range a.entries {
		entry := &a.entries[i]
		key := entry.Key()
		if key == target {
			return entry, nil
		}
		if target != "" && strings.Contains(key, target) {
			matches = append(matches, entry)
		}
	}
	switch len(matches) {
	case 0:
		return nil, statusError{http.StatusNotFound, fmt.Sprintf("no timer entry fits %q", target)}
	case 1:
		return matches[0], nil
	}
	message := fmt.Sprintf("%q fits %d timer entries, %s and others", target, len(matches), matches[0].Key())
	return nil, statusError{http.StatusBadRequest, message}
}
