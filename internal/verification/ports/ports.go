// Package ports allocates loopback addresses for tests with servers that restart at the same address. Its ports are below
// the ephemeral range of the system: an outgoing connection could otherwise take the port of a server while it is down.
// Concurrent processes allocate different ports: each claims blocks of ports, by listening on the first port of a block
// until the process ends.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Range of the allocated ports, and the number of them that Listen and Reserve try.
const (
	firstPort    = 12_000
	blockSize    = 500
	blockCount   = 40
	portAttempts = 100
)

// errNoBlock reports that other processes have claimed all ports.
var errNoBlock = errors.New("all blocks of ports are claimed")

// allocator allocates the ports of the blocks that this process has claimed. It allocates no port twice.
type allocator struct {
	mu     sync.Mutex
	claims []net.Listener // held until the process ends
	next   int            // next port to allocate
	end    int            // first port after the block
}

var processAllocator allocator

// nextAddress returns an address that neither this process nor another running one has allocated before.
func (a *allocator) nextAddress() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.next == a.end {
		if err := a.claimBlock(); err != nil {
			return "", err
		}
	}
	a.next++
	return loopback(a.next - 1), nil
}

// claimBlock claims a block that no running process has claimed.
func (a *allocator) claimBlock() error {
	for _, block := range rand.Perm(blockCount) {
		first := firstPort + block*blockSize
		claim, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue // claimed by another process, or the port is in use by another program
		}
		a.claims = append(a.claims, claim)
		a.next, a.end = first+1, first+blockSize
		return nil
	}
	return errNoBlock
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Listen listens at an address, or at any free one if address is empty.
func Listen(address string) (net.Listener, error) {
	if address != "" {
		return net.Listen("tcp", address)
	}
	var err error
	for range portAttempts {
		if address, err = processAllocator.nextAddress(); err != nil {
			return nil, err
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// Reserve returns an address that is free for TCP and UDP.
func Reserve() (string, error) {
	var err error
	for range portAttempts {
		var address string
		if address, err = processAllocator.nextAddress(); err != nil {
			return "", err
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err != nil {
			continue
		}
		packets, listenErr := net.ListenPacket("udp", address)
		if err = errors.Join(listenErr, listener.Close()); err == nil {
			return address, packets.Close()
		}
	}
	return "", err
}
