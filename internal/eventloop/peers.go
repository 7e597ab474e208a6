package eventloop

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const (
	// maxDatagram is how many bytes of a datagram are read; front ends send none that is longer.
	maxDatagram = 2048
	// receiveRetryPause keeps an error of the socket that stays from using up the only core.
	receiveRetryPause = 10 * time.Millisecond
)

// peerSockets is the datagram socket to the other front ends.
type peerSockets struct {
	conn     *net.UDPConn            // nil: nothing is sent or received
	receives bool                    // it is bound to the address at which the others send
	targets  []netip.AddrPort        // that datagrams are sent to
	senders  map[netip.AddrPort]bool // that datagrams are taken from; nil: anybody's are
}

// openPeerSockets resolves the peers' addresses and opens the socket, where one is needed.
func openPeerSockets(settings *Settings) (*peerSockets, error) {
	peers := &peerSockets{}
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
			return nil, fmt.Errorf("socket for peers %s: %w", settings.PeerListen, err)
		}
	}
	err := retryStart(func() (err error) {
		peers.conn, err = net.ListenUDP("udp", local)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("socket for peers: %w", err)
	}
	return peers, nil
}

// resolve finds the addresses that datagrams are sent to and taken from.
func (p *peerSockets) resolve(settings *Settings) error {
	if settings.Self != "" {
		p.senders = map[netip.AddrPort]bool{}
	}
	for _, peer := range settings.Peers {
		addr, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			return fmt.Errorf("peer %s: %w", peer, err)
		}
		if peer == settings.Self {
			continue
		}
		p.targets = append(p.targets, addr.AddrPort())
		if p.senders != nil {
			p.senders[addr.AddrPort()] = true
		}
	}
	if settings.PeerBroadcast != "" {
		addr, err := net.ResolveUDPAddr("udp", settings.PeerBroadcast)
		if err != nil {
			return fmt.Errorf("all peers %s: %w", settings.PeerBroadcast, err)
		}
		p.targets = []netip.AddrPort{addr.AddrPort()}
	}
	return nil
}

// send sends a datagram to every peer.
func (p *peerSockets) send(datagram []byte) {
	for _, target := range p.targets {
		_, _ = p.conn.WriteToUDPAddrPort(datagram, target) // one that can't be sent now is lost, as any may be
	}
}

func (p *peerSockets) close() {
	if p.conn != nil {
		_ = p.conn.Close() // nothing of a datagram socket is left to be sent
	}
}

// receiveDatagrams reads the datagrams of the peers until the socket is closed.
func (s *Server) receiveDatagrams() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.peers.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("datagram not read", "address", s.settings.PeerListen, "error", err)
			time.Sleep(receiveRetryPause)
			continue
		}
		if s.peers.senders != nil && !s.peers.senders[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())] {
			continue
		}
		data := bytes.Clone(buffer[:n])
		s.postIfRunning(func() { s.proxy.OnDatagram(data) })
	}
}
