package nodetest

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"
)

const (
	// positionInterval is the time without a line after which the discovery service repeats its position.
	positionInterval = 300 * time.Millisecond
	// lineQueueSize is the maximum number of lines that wait to be sent.
	lineQueueSize = 10
)

// Discovery is a fake discovery service. It sends each line that the test passes to Send, a watch event, to one of its
// watches. It sends its position when a watch begins, and repeats it while there are no lines.
type Discovery struct {
	listener net.Listener
	lines    chan string
}

// NewDiscovery starts a fake discovery service on loopback.
func NewDiscovery(t *testing.T) *Discovery {
	t.Helper()
	d := &Discovery{listener: Listen(t), lines: make(chan string, lineQueueSize)}
	go d.serve()
	return d
}

// Addr returns the address on which the service listens.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Send queues a line, which is sent to one of the watches.
func (d *Discovery) Send(line string) { d.lines <- line }

func (d *Discovery) serve() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serveWatch(conn)
	}
}

func (d *Discovery) serveWatch(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the watch has ended
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		return
	}
	position := 1
	for pause := time.Duration(0); ; pause = positionInterval {
		line := strconv.Itoa(position)
		select {
		case line = <-d.lines:
			position++
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintln(conn, line); err != nil {
			return
		}
	}
}
