// Package syscalls wraps the system calls on sockets that the event loop makes, and classifies their errors. It holds no
// state.
//
// The event loop reaches sockets only through the Kernel interface, so that a test double (package faults) can make each
// call fail as its manual page documents.
package syscalls
