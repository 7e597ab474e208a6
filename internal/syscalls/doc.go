// Package syscalls wraps the system calls with which the event loop uses sockets, and classifies their errors. It holds no
// state.
//
// The event loop uses sockets only through the Kernel interface, so that a test double (package faults) can make each call
// fail with the errors that its manual page documents.
package syscalls
