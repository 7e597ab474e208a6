//go:build !faults

package main

import "streamcleat/internal/syscalls"

// nodeKernel makes the system calls of a front end.
func nodeKernel() syscalls.Kernel { return syscalls.Linux{} }
