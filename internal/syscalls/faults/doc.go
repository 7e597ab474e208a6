// Package faults is a test double of package syscalls that makes calls fail on a schedule. Tests script single faults
// (Script); the soak test draws them from a seed (Random). A Script or Random owns its schedule. The release build does
// not use this package; a build with the tag "faults" does.
package faults
