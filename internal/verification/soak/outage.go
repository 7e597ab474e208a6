package soak

import "time"

// outageNoticeDelay is the time from the start of an outage after which, by the platform's terms, events of the discovery
// service count as received although they were not delivered.
const outageNoticeDelay = 4 * time.Second

// outage is a period during which discovery is unavailable to one or all front ends.
type outage struct {
	fault        discoveryFault
	startedAt    time.Time
	onlyFrontEnd int // the only front end that is affected, or allFrontEnds
	eventsBefore int // number of events at its start
}

// allFrontEnds is the value of outage.onlyFrontEnd for an outage that affects all front ends.
const allFrontEnds = -1

// affects reports whether discovery is unavailable to a front end during the outage.
func (o *outage) affects(frontEnd int) bool {
	return o.onlyFrontEnd == allFrontEnds || o.onlyFrontEnd == frontEnd
}

// noticeTime returns the time from which an event counts as received by the front ends that the outage affects. A front end
// that alone loses its connection gets no extra time, because the service goes on sending updates. Where the connection stays
// open and brings no updates, the service counts as silent, and outageNoticeDelay applies.
func (o *outage) noticeTime(addedAt time.Time) time.Time {
	losesConnection := o.fault == discoveryDown || o.fault == truncateLines
	if o.onlyFrontEnd != allFrontEnds && losesConnection {
		return addedAt
	}
	if latest := o.startedAt.Add(outageNoticeDelay); latest.After(addedAt) {
		return latest
	}
	return addedAt
}

// beginOutage starts an outage for one front end, or for all with allFrontEnds.
func (d *discovery) beginOutage(fault discoveryFault, onlyFrontEnd int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = &outage{fault: fault, startedAt: time.Now(), onlyFrontEnd: onlyFrontEnd, eventsBefore: len(d.events)}
	close(d.changed) // wakes the watches, so that the fault takes effect immediately
	d.changed = make(chan struct{})
}

// endOutage ends the current outage.
func (d *discovery) endOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = nil
}

// isUnavailableFor reports whether an outage currently makes discovery unavailable to a front end.
func (d *discovery) isUnavailableFor(frontEnd int) bool {
	o := d.currentOutage()
	return o != nil && o.affects(frontEnd)
}

// currentOutage returns the outage that is in progress, or nil.
func (d *discovery) currentOutage() *outage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outage
}
