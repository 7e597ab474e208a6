//go:build !faults

package node

import "streamcleat/internal/syscalls"

// newKernel returns the kernel that a front end calls.
func newKernel() syscalls.Kernel { return syscalls.Linux{} }
