package appliance

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors is the number of descriptors reserved for the state folder, the registry, the console,
	// metrics, logs and the event loops. A further 1/reservedDescriptorsDivisor of the limit is reserved as slack.
	reservedDescriptors        = 40
	reservedDescriptorsDivisor = 16
	// clientFraction is the fraction of the unreserved descriptors for client connections. The rest is for connections
	// to workers.
	clientFraction = 2.0 / 3
	// overflowClients is the number of further client connections of each front end, on which requests are rejected.
	overflowClients = 4
	// minClients is the minimum number of client connections of a front end under any limit.
	minClients = 8
)

// descriptorLimit returns the limit of open file descriptors. The Go runtime has raised the soft limit to the hard one.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// maxClients returns the maximum number of client connections of each front end: the configured one, lowered to what
// the descriptor limit allows.
func maxClients(configured, descriptors, frontEnds int) int {
	reserved := reservedDescriptors + descriptors/reservedDescriptorsDivisor
	possible := int(float64(descriptors-reserved)*clientFraction/float64(frontEnds)) - overflowClients
	return min(configured, max(possible, minClients))
}
