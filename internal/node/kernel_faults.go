//go:build faults

package node

import (
	"fmt"
	"os"

	"streamcleat/internal/syscalls"
	"streamcleat/internal/syscalls/faults"
)

// faultsVariable holds the seed and the rate of injected system call failures, as in 17:0.001. It is read only by a
// program built with the tag faults.
const faultsVariable = "STREAMCLEAT_FAULTS"

// newKernel returns a kernel that fails some calls, or none where faultsVariable does not hold a rate.
func newKernel() syscalls.Kernel {
	var seed uint64
	var rate float64
	if _, err := fmt.Sscanf(os.Getenv(faultsVariable), "%d:%g", &seed, &rate); err != nil || rate <= 0 {
		return syscalls.Linux{}
	}
	return faults.Kernel{Decide: faults.NewRandom(seed, rate).Decide}
}
