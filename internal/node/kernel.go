//go:build !faults

package node

import "streamcleat/internal/syscalls"

// newKernel returns the system calls that a front end uses.
func newKernel() syscalls.Kernel { return syscalls.Linux{} }
