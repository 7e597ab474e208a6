package nodesim

import "streamcleat/internal/units"

// promptConn is the part of proxy.Conn that clients and the worker share: what is sent is received, and nothing is buffered.
type promptConn struct{}

// Unsent implements proxy.Conn.
func (promptConn) Unsent() int { return 0 }

// ReadAhead implements proxy.Conn.
func (promptConn) ReadAhead() (data []byte, open bool) { return nil, true }

// InputAge implements proxy.Conn.
func (promptConn) InputAge() units.Seconds { return 0 }

// RemoteAddr implements proxy.Conn.
func (promptConn) RemoteAddr() string { return "simulated" }
