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
	// minClients is the minimum number of client connections of a front end, however low the descriptor limit is.
	minClients = 8
)

// descriptorLimit returns the limit on open file descriptors. The Go runtime raises the soft limit to the hard limit at
// startup.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// maxClients returns the maximum number of client connections of each front end: the configured number, reduced to what
// the descriptor limit allows.
func maxClients(configured, descriptors, frontEnds int) int {
	reserved := reservedDescriptors + descriptors/reservedDescriptorsDivisor
	available := int(float64(descriptors-reserved)*clientFraction/float64(frontEnds)) - overflowClients
	return min(configured, max(available, minClients))
}
