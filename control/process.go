package control

import "streamcleat/internal/units"

const (
	// listingDelaySeconds is the longest time from the start of a worker until discovery lists it.
	listingDelaySeconds = 2.0
	// firstContactsSeconds is the time after the start of a front end in which it connects to most workers for the first time.
	firstContactsSeconds = 4.0
	// minReplacementSeconds is the shortest time from the last message that a process accepts to the start of another one at its
	// address: it drains before.
	minReplacementSeconds = 2.0
)

// process is what is known of the process that messages to a worker reach, from one break of its connections or change of its
// entry in the endpoint list to the next.
type process struct {
	group     deduplicationGroup // as listed when the process was first assumed
	assumedAt units.Seconds      // end of the last connection to its predecessor; 0: none was known to end
	// hasPredecessor is set if another process at the address is known to have gone, or may have gone unnoticed.
	hasPredecessor bool
	// connectedAt is the earliest time at which it is known to have been connected: when the first message was written to it or,
	// where the host does not report that, when it first responded; 0: none.
	connectedAt units.Seconds
	repliedAt   units.Seconds // time of its first response; 0: none
	servedAt    units.Seconds // send time of the last message that it accepted; 0: none
	// peerWarmAt is the latest time at which the process at the address served a peer that knew it as warm; 0: none.
	peerWarmAt units.Seconds
	// identified is set once it is known to be the process that the endpoint list describes, so that group is its own.
	identified bool
	// listedAt is the latest time after its first response at which the endpoint list was complete; 0: none.
	listedAt    units.Seconds
	attempts    float64 // since the last tick
	attemptRate float64 // moving average of attempts per second
	// sustainedRate is the rate of attempts that it served before sustainedAt, when its start was taken as reported; 0: none.
	sustainedRate float64
	sustainedAt   units.Seconds
	// confirmedAs is the same process as it was known before it became uncertain; nil if it was not, or is still so.
	confirmedAs *process
}

// confirmed returns the process that p was confirmed to be, which is p itself unless it was uncertain.
func (p *process) confirmed() *process {
	if p.confirmedAs != nil {
		return p.confirmedAs
	}
	return p
}

// identify records that the endpoint list was complete at asOf.
func (p *process) identify(asOf units.Seconds) {
	if p.repliedAt > 0 && p.repliedAt <= asOf {
		p.identified = true
		p.listedAt = max(p.listedAt, asOf)
	}
}

// merge adds the evidence about other, which turned out to be the same process.
func (p *process) merge(other *process) {
	if p.repliedAt == 0 {
		p.repliedAt = other.repliedAt
	}
	if p.connectedAt == 0 {
		p.connectedAt = other.connectedAt
	}
	p.servedAt = max(p.servedAt, other.servedAt)
	p.listedAt = max(p.listedAt, other.listedAt)
	p.peerWarmAt = max(p.peerWarmAt, other.peerWarmAt)
}

// recordSustainedRate records the rate of attempts at which the end of reported starts finds p. If it was higher at an earlier one,
// that rate remains.
func (p *process) recordSustainedRate(now units.Seconds) {
	if p.attemptRate > p.sustainedRate {
		p.sustainedRate, p.sustainedAt = p.attemptRate, now
	}
}

// isListed reports whether the endpoint list was complete at a delay after p was connected, or later, and p has responded by then.
func (p *process) isListed(delay units.Seconds) bool {
	return p.listedAt > 0 && p.listedAt >= p.connectedAt+delay
}
