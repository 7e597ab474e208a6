package simulation

import (
	"slices"

	"streamcleat/internal/units"
	"streamcleat/internal/verification/invariants"
)

const (
	wildcard     = -1   // as the number of an appliance or client: all of them
	outageMargin = 0.05 // seconds from an appliance's recovery until clients are guaranteed responses
	cancelDelay  = 0.15 // seconds within which a front end must process a cancellation
)

// outage is a period in which some appliances do not guarantee responses to some clients.
type outage struct {
	appliance, client int // numbers, or wildcard
	from, to          float64
}

// beginOutage begins an outage of an appliance for all clients, which lasts until endOutage.
func (s *site) beginOutage(a *applianceProcess) {
	if s.openOutages[a.number] == nil {
		s.openOutages[a.number] = &outage{a.number, wildcard, float64(s.scheduler.now), never}
	}
}

func (s *site) endOutage(a *applianceProcess) {
	if o := s.openOutages[a.number]; o != nil {
		o.to = float64(s.scheduler.now + outageMargin)
		s.outages = append(s.outages, *o)
		delete(s.openOutages, a.number)
	}
}

// addOutage adds an outage from now until the given time.
func (s *site) addOutage(applianceNumber, clientNumber int, until float64) {
	s.outages = append(s.outages, outage{applianceNumber, clientNumber, float64(s.scheduler.now), until})
}

// isExempt reports whether the client of a call is not guaranteed a response, because its connection was affected by a
// fault or there has been an outage since the call was sent.
func (s *site) isExempt(c *clientCall) bool {
	if c.conn != nil && c.conn.end != nil && c.conn.end.conn.faulty {
		return true
	}
	number := c.frontEnd.appliance.number
	if s.openOutages[number] != nil {
		return true
	}
	for _, o := range slices.Backward(s.outages) {
		overlaps := units.Seconds(o.to) >= c.sentAt && units.Seconds(o.from) <= s.scheduler.now
		affectsAppliance := o.appliance < 0 || o.appliance == number
		if overlaps && affectsAppliance && (o.client < 0 || s.clients[o.client] == c.conn.client) {
			return true
		}
	}
	return false
}

// hadOutage reports whether an appliance has had an outage for all clients since the given time.
func (s *site) hadOutage(a *applianceProcess, since units.Seconds) bool {
	for _, o := range s.outages {
		if units.Seconds(o.to) >= since && units.Seconds(o.from) <= s.scheduler.now && o.appliance == a.number && o.client < 0 {
			return true
		}
	}
	return s.openOutages[a.number] != nil
}

// beginOperation records the start of a call for the check of retries.
func (s *site) beginOperation(c *clientCall) {
	op := &operation{
		request: c.request.id, frontEnd: c.frontEnd.name, boot: c.frontEnd.appliance.boots, call: float64(s.scheduler.now),
		response: noResponse,
	}
	s.openOperations[c] = op
	s.operations = append(s.operations, op)
}

// endOperation records the outcome of a call for the check of retries. If the appliance has restarted since the call was
// sent, the outcome is recorded as unknown, since another process may have responded.
func (s *site) endOperation(c *clientCall, outcome string) {
	op := s.openOperations[c]
	op.response, op.outcome = float64(s.scheduler.now), outcome
	if op.boot != c.frontEnd.appliance.boots {
		op.outcome = ""
	}
	delete(s.openOperations, c)
}

// endTimedOutCall ends a call whose timeout has expired. Unless the call is exempt, the checker of invariants reports the
// missing response.
func (s *site) endTimedOutCall(c *clientCall) {
	if s.isExempt(c) {
		s.endCallWithUnknownOutcome(c)
		return
	}
	delete(s.openOperations, c)
}

// endLostCall ends a call whose connection was closed without a response, which is a violation unless the call is exempt.
func (s *site) endLostCall(c *clientCall) {
	if !s.isExempt(c) {
		s.violation("rule 1", "%s: %s closed the connection without a response", c.request.id, c.frontEnd.name)
	}
	s.endCallWithUnknownOutcome(c)
}

// endCancelledCall ends a call that was cancelled by its client. The cancellation is recorded after cancelDelay, when the
// front end must have processed it.
func (s *site) endCancelledCall(c *clientCall) {
	s.scheduler.after(cancelDelay, "known to have left "+c.request.id, func() {
		if s.isExempt(c) {
			s.endCallWithUnknownOutcome(c)
			return
		}
		delete(s.openOperations, c)
		s.recorder.Add(c.record(invariants.ClientCancelled))
	})
}

// endCallWithUnknownOutcome ends a call whose outcome is unknown to the client. The front end may still make attempts.
func (s *site) endCallWithUnknownOutcome(c *clientCall) {
	delete(s.openOperations, c)
	s.addUnknownOutcome(c.record(invariants.ConnectionLost))
}

// addUnknownOutcome adds the end of a call with an unknown outcome, which is recorded at the end of the run.
func (s *site) addUnknownOutcome(r invariants.Record) {
	s.unknownOutcomes = append(s.unknownOutcomes, r)
}
