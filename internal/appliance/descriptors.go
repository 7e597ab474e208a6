package appliance

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are for the state folder, the registry, the console, metrics, logs and the event loops;
	// one of reservedDescriptorsDivisor is kept back besides.
	reservedDescriptors        = 40
	reservedDescriptorsDivisor = 16
	// clientShare is the part of the other descriptors that clients may have; the rest is for connections to workers.
	clientShare = 2.0 / 3
	// minClients can be served under any limit.
	minClients = 8
)

// descriptorLimit is how many descriptors the process may have. Go has raised it to what the system allows.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// maxClients is how many client connections each of so many front ends may have under a limit of descriptors.
func maxClients(configured, descriptors, frontEnds int) int {
	reserved := reservedDescriptors + descriptors/reservedDescriptorsDivisor
	possible := int(float64(descriptors-reserved) * clientShare / float64(frontEnds))
	return min(configured, max(possible, minClients))
}
