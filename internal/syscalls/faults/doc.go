// Package faults is a test double for package syscalls that injects errors into system calls. Tests specify the errors
// (Script); the soak test draws them from a seeded random generator (Random). Each Script or Random has its own state. The
// package is not part of the release build, only of builds with the tag "faults".
package faults
