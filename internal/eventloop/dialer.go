package eventloop

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"streamcleat/internal/upstream"
)

// dial connects to a worker and hands the connection to the event loop. The proxy is told of the end: by OnOpen, or
// here where it failed.
func (s *Server) dial(id upstream.ConnID, addr string) {
	dialer := net.Dialer{Timeout: time.Duration(s.settings.Upstream.DialTimeout * float64(time.Second))}
	conn, err := dialer.DialContext(s.backgroundCtx, "tcp", addr)
	if err == nil {
		err = s.enroll(id, conn)
	}
	if err != nil {
		s.postIfRunning(func() { s.proxy.OnDialed(id, nil, err) })
	}
}

// enroll hands a connection to the event loop, which duplicates its descriptor.
func (s *Server) enroll(id upstream.ConnID, conn net.Conn) error {
	s.enrolling <- struct{}{}
	defer func() { <-s.enrolling }()
	defer func() { _ = conn.Close() }() // gnet has a descriptor of its own
	ctx := gnet.NewContext(context.Background(), &connection{loop: s.loop, upstreamID: id})
	registered, err := s.loop.Enroll(ctx, conn)
	if err != nil {
		return err
	}
	select {
	case result := <-registered:
		return result.Err
	case <-s.loopEnded:
		return ErrLoopEnded
	}
}
