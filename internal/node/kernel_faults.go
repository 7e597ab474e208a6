//go:build faults

package node

import (
	"fmt"
	"os"

	"streamcleat/internal/syscalls"
	"streamcleat/internal/syscalls/faults"
)

// faultsVariable names the seed and the rate of the system calls that fail, as in 17:0.001. Only a program that is built
// with the tag faults reads it.
const faultsVariable = "STREAMCLEAT_FAULTS"

// newKernel makes the system calls of a front end, some of which fail.
func newKernel() syscalls.Kernel {
	var seed uint64
	var rate float64
	if _, err := fmt.Sscanf(os.Getenv(faultsVariable), "%d:%g", &seed, &rate); err != nil || rate <= 0 {
		return syscalls.Linux{}
	}
	return faults.Kernel{Decide: faults.NewRandom(seed, rate).Decide}
}
