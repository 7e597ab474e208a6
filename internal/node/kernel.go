//go:build !faults

package node

import "streamcleat/internal/syscalls"

// newKernel makes the system calls of a front end.
func newKernel() syscalls.Kernel { return syscalls.Linux{} }
