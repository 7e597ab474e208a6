package soak

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	badClientCount       = 4
	badClientConnections = 12 // concurrent connections of each client
	badClientInterval    = 10 * time.Millisecond
	badClientTimeout     = 100 * time.Millisecond
)

// runBadClients runs clients that send malformed input to randomly chosen front ends.
func (h *harness) runBadClients(random *rand.Rand) {
	end := time.Now().Add(randomFaultDuration(random))
	var running sync.WaitGroup
	for range badClientCount {
		f := h.frontEnds[random.IntN(len(h.frontEnds))]
		input := badInputs[random.IntN(len(badInputs))]
		running.Go(func() {
			for time.Now().Before(end) && !h.loadEnded() {
				if f.acceptsConnections() {
					sendBadInput(f.listen, input)
				}
				time.Sleep(badClientInterval)
			}
		})
	}
	running.Wait()
}

// badInputs are the inputs that bad clients send. Each client sends one of them on all its connections.
var badInputs = [][]byte{
	nil, // sends nothing
	[]byte("GET / HTTP/1.1\r\n\r\n"),
	{0, 0, 0, 0},
	{255, 255, 255, 255, 1, 0, 0, 0, 1},
	encodeClientFrame(frameRequest, 1, []byte{3, 4, 'k'}),
	encodeClientFrame(99, 1, nil),
	unknownClassRequests(),
	encodeClientFrame(frameRequest, 1, make([]byte, 100_000))[:2000], // a partial frame
}

// unknownClassRequests encodes hundreds of requests of an unknown request class.
func unknownClassRequests() []byte {
	var input []byte
	for stream := range uint32(300) {
		fields := encodeFields([]clientField{{"kind", "none"}, {"req", fmt.Sprintf("%016x", stream+1)}})
		input = append(input, encodeClientFrame(frameRequest, stream+1, fields)...)
	}
	return input
}

// sendBadInput opens connections, sends the input on each, reads a few bytes and closes them. Every other connection is
// closed with a TCP reset.
func sendBadInput(address string, input []byte) {
	var conns []net.Conn
	for range badClientConnections {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			break
		}
		_ = conn.SetDeadline(time.Now().Add(badClientTimeout))
		_, _ = conn.Write(input) // the front end may have closed the connection
		conns = append(conns, conn)
	}
	for i, conn := range conns {
		_, _ = conn.Read(make([]byte, binary.MaxVarintLen64)) // the content does not matter
		if i%2 == 0 {
			reset(conn)
		}
		_ = conn.Close()
	}
}
