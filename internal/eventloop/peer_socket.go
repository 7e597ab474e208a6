package eventloop

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// maxDatagram is the maximum size of a gossip datagram in bytes. Front ends never send a longer one.
	maxDatagram = 2048
	// receiveRetryDelay is the delay after a failed receive. It keeps a persistent socket error from causing a busy loop.
	receiveRetryDelay = 10 * time.Millisecond
	// maxQueuedDatagrams is the number of datagrams that may wait for the event loop. Further ones are dropped.
	maxQueuedDatagrams = 1024
)

// peerSocket is the datagram socket for gossip with the other front ends.
type peerSocket struct {
	conn           *net.UDPConn            // nil if this front end neither sends nor receives gossip
	receives       bool                    // conn is bound to the PeerListen address
	targets        []netip.AddrPort        // addresses to which each datagram is sent
	allowedSenders map[netip.AddrPort]bool // nil allows any sender
	queued         atomic.Int32            // datagrams that wait for the event loop
}

// openPeerSocket resolves the peers' addresses and opens the socket if one is needed.
func openPeerSocket(settings *Settings) (*peerSocket, error) {
	peers := &peerSocket{}
	if err := peers.resolve(settings); err != nil {
		return nil, err
	}
	peers.receives = settings.PeerListen != ""
	if len(peers.targets) == 0 && !peers.receives {
		return peers, nil
	}
	var local *net.UDPAddr
	if peers.receives {
		var err error
		if local, err = net.ResolveUDPAddr("udp", settings.PeerListen); err != nil {
			return nil, fmt.Errorf("resolve peer listen address %s: %w", settings.PeerListen, err)
		}
	}
	err := retryStart(func() (err error) {
		peers.conn, err = net.ListenUDP("udp", local)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("open peer socket: %w", err)
	}
	return peers, nil
}

// resolve resolves the configured addresses and sets the targets and the allowed senders.
func (p *peerSocket) resolve(settings *Settings) error {
	if settings.Self != "" {
		p.allowedSenders = map[netip.AddrPort]bool{}
	}
	for _, peer := range settings.Peers {
		addr, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			return fmt.Errorf("resolve peer address %s: %w", peer, err)
		}
		if peer == settings.Self {
			continue
		}
		p.targets = append(p.targets, addr.AddrPort())
		if p.allowedSenders != nil {
			p.allowedSenders[unmapped(addr.AddrPort())] = true
		}
	}
	if settings.PeerBroadcast != "" {
		addr, err := net.ResolveUDPAddr("udp", settings.PeerBroadcast)
		if err != nil {
			return fmt.Errorf("resolve peer broadcast address %s: %w", settings.PeerBroadcast, err)
		}
		p.targets = []netip.AddrPort{addr.AddrPort()}
	}
	return nil
}

// accepts reports whether datagrams from the given address are accepted.
func (p *peerSocket) accepts(from netip.AddrPort) bool {
	return p.allowedSenders == nil || p.allowedSenders[unmapped(from)]
}

// unmapped returns an address with any IPv4-mapped IPv6 address converted to IPv4, so that addresses can be compared. The
// resolver returns IPv4 addresses in mapped form, and a socket may return either form.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// send sends a datagram to every target. Errors are ignored.
func (p *peerSocket) send(datagram []byte) {
	for _, target := range p.targets {
		_, _ = p.conn.WriteToUDPAddrPort(datagram, target) // gossip tolerates loss
	}
}

func (p *peerSocket) close() {
	if p.conn != nil {
		_ = p.conn.Close() // a datagram socket has nothing to flush
	}
}

// receiveDatagrams passes datagrams from allowed senders to the proxy until the socket is closed.
func (s *Server) receiveDatagrams() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.peers.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("failed to read datagram", "address", s.settings.PeerListen, "error", err)
			time.Sleep(receiveRetryDelay)
			continue
		}
		if !s.peers.accepts(from) {
			continue
		}
		if s.peers.queued.Add(1) > maxQueuedDatagrams {
			s.peers.queued.Add(-1) // gossip tolerates loss
			s.counters.droppedDatagrams.Add(1)
			continue
		}
		data := bytes.Clone(buffer[:n])
		s.postIfRunning(func() {
			s.peers.queued.Add(-1)
			s.proxy.OnDatagram(data)
		})
	}
}
