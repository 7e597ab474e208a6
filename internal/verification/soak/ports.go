package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// anyPort is a free port on loopback.
const anyPort = "127.0.0.1:0"

// Ports of front ends and workers are below the range that the system gives to outgoing connections: one of these could
// otherwise take the port of a front end that restarts.
const (
	firstPort    = 12_000
	portCount    = 20_000
	portAttempts = 100
)

// portOffset counts on from a random port, so that no port is handed out twice.
var portOffset atomic.Uint32

func init() { portOffset.Store(rand.Uint32N(portCount)) }

// nextAddress returns an address that was not handed out before.
func nextAddress() string { return fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset.Add(1)%portCount) }

// listen listens at an address, or at any free one if it is empty.
func listen(address string) (net.Listener, error) {
	if address != "" {
		return net.Listen("tcp", address)
	}
	var err error
	for range portAttempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp", nextAddress()); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// reservePort returns an address that is free for TCP and UDP.
func reservePort() (string, error) {
	var err error
	for range portAttempts {
		address := nextAddress()
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
