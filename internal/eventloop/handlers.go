package eventloop

import (
	"github.com/panjf2000/gnet/v2"
)

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	s.background.Go(s.openOwnConnection)
	return gnet.None
}

// OnOpen implements gnet.EventHandler. A connection to a worker brings its adapter along; any other is a client's.
func (s *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if c, ok := conn.Context().(*connection); ok {
		c.conn = conn
		s.proxy.OnDialed(c.upstreamID, c, nil)
		return nil, gnet.None
	}
	if s.proxy == nil {
		s.loop = conn.EventLoop()
		s.begin()
	}
	c := &connection{conn: conn, loop: s.loop}
	if c.client = s.proxy.Accept(c); c.client == nil {
		return nil, gnet.Close
	}
	conn.SetContext(c)
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	switch c, _ := conn.Context().(*connection); {
	case c == nil: // closed by this side
	case c.client != nil:
		s.proxy.OnClientClosed(c.client)
	default:
		s.proxy.OnUpstreamClosed(c.upstreamID)
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	data, err := conn.Next(-1)
	if err != nil || s.proxy == nil {
		return gnet.None
	}
	switch c, _ := conn.Context().(*connection); {
	case c == nil: // of the datagram socket
		s.proxy.OnDatagram(data)
	case c.client != nil:
		s.proxy.OnClientData(c.client, data)
	default:
		s.proxy.OnUpstreamData(c.upstreamID, data)
	}
	return gnet.None
}
