//go:build faults

package node

import (
	"fmt"
	"os"

	"streamcleat/internal/syscalls"
	"streamcleat/internal/syscalls/faults"
)

// faultsVariable is the environment variable with the seed and the rate of injected system call failures, as in 17:0.001.
// It is only read by a program built with the tag faults.
const faultsVariable = "STREAMCLEAT_FAULTS"

// newKernel returns the system calls that a front end uses. Some of them fail at random if faultsVariable sets a rate.
func newKernel() syscalls.Kernel {
	var seed uint64
	var rate float64
	if _, err := fmt.Sscanf(os.Getenv(faultsVariable), "%d:%g", &seed, &rate); err != nil || rate <= 0 {
		return syscalls.Linux{}
	}
	return faults.Kernel{Decide: faults.NewRandom(seed, rate).Decide}
}
