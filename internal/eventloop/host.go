package eventloop

import (
	"time"

	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// clockBase is the value of Now, in seconds, at the start of the process. It is large enough that the start times of workers
// that started before the process are positive.
const clockBase = 1e6

var processStart = time.Now()

// Now returns the time, in seconds, of the monotonic clock that all front ends of this process share.
func Now() units.Seconds { return units.Seconds(clockBase + time.Since(processStart).Seconds()) }

// loopHost implements proxy.Host with a server's event loop and sockets and the clock of the process.
type loopHost struct{ server *Server }

// Now implements proxy.Host.
func (h loopHost) Now() units.Seconds { return Now() }

// Wall implements proxy.Host.
func (h loopHost) Wall() time.Time { return time.Now() }

// SetTimer implements proxy.Host.
func (h loopHost) SetTimer(at units.Seconds) {
	h.server.reactor.timers.tickAt = processStart.Add((at - clockBase).Duration())
}

// After implements proxy.Host.
func (h loopHost) After(seconds units.Seconds, f func()) {
	h.server.reactor.timers.after(seconds.Duration(), f)
}

// Post implements proxy.Host.
func (h loopHost) Post(f func()) { h.server.postIfRunning(f) }

// Broadcast implements proxy.Host.
func (h loopHost) Broadcast(datagram []byte) { h.server.peers.send(datagram) }

// Dial implements proxy.Host.
func (h loopHost) Dial(id upstream.ConnID, addr string) { h.server.startDial(id, addr) }
