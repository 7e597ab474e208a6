package eventloop

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"streamcleat/internal/upstream"
)

// host is what the front end stands on: this process's clock, its event loop and its sockets.
type host Server

func (h *host) Now() float64    { return Now() }
func (h *host) Wall() time.Time { return time.Now() }

func (h *host) SetTimer(at float64) {
	h.timer.Reset(max(time.Duration((at-Now())*float64(time.Second)), 0))
}

func (h *host) After(seconds float64, f func()) {
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() { h.Post(f) })
}

func (h *host) Post(f func()) { (*Server)(h).post(f) }

// Broadcast sends a datagram to every peer. One that can't be sent now is lost, as any may be.
func (h *host) Broadcast(data []byte) {
	for _, p := range h.peers {
		h.udp.WriteToUDPAddrPort(data, p)
	}
}

// Dial connects off the loop, so that a worker that does not answer holds nobody up.
func (h *host) Dial(no upstream.ConnID, addr string) {
	s := (*Server)(h)
	limit := time.Duration(s.set.Upstream.DialTimeout * float64(time.Second))
	go func() {
		c, err := net.DialTimeout("tcp", addr, limit)
		if err == nil {
			var got <-chan gnet.RegisteredResult
			l := &link{loop: s.loop, no: no}
			s.entering <- struct{}{}
			defer func() { <-s.entering }()
			if got, err = s.loop.Enroll(gnet.NewContext(context.Background(), l), c); err == nil {
				err = (<-got).Err
			}
			c.Close() // gnet has a descriptor of its own
			if err == nil {
				return // OnOpen told the front end
			}
		}
		s.post(func() { s.front.OnDialed(no, nil, err) })
	}()
}
