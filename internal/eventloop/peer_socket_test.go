package eventloop

import (
	"net"
	"testing"
)

// A datagram from a listed peer is accepted, and one from any other address is not. The resolver and the socket may return
// the same address in different forms.
func TestPeerSocket_AcceptsListedPeersOnly(t *testing.T) {
	open := func(settings *Settings) *peerSocket {
		socket, err := openPeerSocket(settings)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(socket.close)
		return socket
	}
	own, peer, unlisted := freeUDPAddress(t), freeUDPAddress(t), freeUDPAddress(t)
	receiver := open(&Settings{PeerListen: own, Self: own, Peers: []string{own, peer}})
	for sender, accepted := range map[string]bool{peer: true, unlisted: false} {
		open(&Settings{PeerListen: sender, Peers: []string{own}}).send([]byte("gossip"))
		buffer := make([]byte, maxDatagram)
		n, from, err := receiver.conn.ReadFromUDPAddrPort(buffer)
		if err != nil || string(buffer[:n]) != "gossip" {
			t.Fatal(string(buffer[:n]), err)
		}
		if receiver.accepts(from) != accepted {
			t.Errorf("datagram from %v accepted: %v", from, !accepted)
		}
	}
}

// freeUDPAddress returns a free loopback address.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := conn.LocalAddr().String()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	return address
}
