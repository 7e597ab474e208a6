package eventloop

import (
	"time"

	"streamcleat/internal/upstream"
)

// clockBase is the clock's reading, in seconds, at the start of the process. It lies above 0, so that the starts of
// workers that are older than the process fit.
const clockBase = 1e6

var processStart = time.Now()

// Now is the clock of every front end of this process: monotonic seconds.
func Now() float64 { return clockBase + time.Since(processStart).Seconds() }

// loopHost is what a proxy runs on: this process's clock, its event loop and its sockets. It implements proxy.Host.
type loopHost struct{ server *Server }

// Now implements proxy.Host.
func (h loopHost) Now() float64 { return Now() }

// Wall implements proxy.Host.
func (h loopHost) Wall() time.Time { return time.Now() }

// SetTimer implements proxy.Host.
func (h loopHost) SetTimer(at float64) {
	h.server.reactor.tickAt = processStart.Add(time.Duration((at - clockBase) * float64(time.Second)))
}

// After implements proxy.Host.
func (h loopHost) After(seconds float64, f func()) {
	h.server.reactor.after(time.Duration(seconds*float64(time.Second)), f)
}

// Post implements proxy.Host.
func (h loopHost) Post(f func()) { h.server.postIfRunning(f) }

// Broadcast implements proxy.Host.
func (h loopHost) Broadcast(datagram []byte) { h.server.peers.send(datagram) }

// Dial implements proxy.Host.
func (h loopHost) Dial(id upstream.ConnID, addr string) { h.server.startDial(id, addr) }
