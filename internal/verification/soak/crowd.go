package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// CrowdKind names what the connections of a crowd send.
type CrowdKind string

// Kinds of crowds.
const (
	CrowdTrickles   CrowdKind = "a large request, one byte at a time"
	CrowdStops      CrowdKind = "half of a large request"
	CrowdManyFields CrowdKind = "requests of very many short fields"
	CrowdLeaves     CrowdKind = "requests that are unread when the client leaves"
)

// crowdKinds are the kinds that a seed chooses from. Their order determines what it chooses.
var crowdKinds = []CrowdKind{CrowdTrickles, CrowdStops, CrowdManyFields, CrowdLeaves}

const (
	// crowdSize is the number of concurrent connections of a crowd.
	crowdSize = 300
	// crowdInterval is the time between two writes on a connection of a crowd.
	crowdInterval = 50 * time.Millisecond
	// crowdBodyBytes is the size of the body of a large request: the maximum of the protocol.
	crowdBodyBytes = 16 << 10
	// maxFields is the largest number of fields that a request can state.
	maxFields = 255
	// crowdRequests is the number of requests that a leaving client writes at once.
	crowdRequests = 30
)

// crowdFrontEnd opens a crowd of connections to a randomly chosen front end for a random time.
func (h *harness) crowdFrontEnd(random *rand.Rand) {
	kind := crowdKinds[random.IntN(len(crowdKinds))]
	f := h.frontEnds[random.IntN(len(h.frontEnds))]
	h.crowd(f, kind, randomFaultDuration(random))
}

// crowd opens crowdSize connections to a front end and keeps writing slowly on them. A connection that the front end closes is
// opened anew.
func (h *harness) crowd(f *frontEnd, kind CrowdKind, duration time.Duration) {
	end := time.Now().Add(duration)
	f.flooded.Add(1)
	defer f.flooded.Add(-1)
	var running sync.WaitGroup
	for range crowdSize {
		running.Go(func() {
			for time.Now().Before(end) && !h.loadEnded() {
				if f.acceptsConnections() {
					h.crowdConnection(f, kind, end)
				}
				time.Sleep(crowdInterval)
			}
		})
	}
	running.Wait()
}

// crowdConnection is one connection of a crowd.
func (h *harness) crowdConnection(f *frontEnd, kind CrowdKind, end time.Time) {
	conn, err := net.DialTimeout("tcp", f.listen, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the front end may have closed it
	_ = conn.SetWriteDeadline(end)      // on an error, the write fails
	for _, part := range h.crowdInput(kind) {
		if _, err := conn.Write(part); err != nil {
			return
		}
		time.Sleep(crowdInterval)
	}
	if kind == CrowdLeaves {
		reset(conn)
		return
	}
	_ = conn.SetReadDeadline(end) // on an error, the read fails
	_, _ = conn.Read(make([]byte, 1))
}

// crowdInput returns what a connection of a crowd writes, in the parts of its writes.
func (h *harness) crowdInput(kind CrowdKind) [][]byte {
	payload := h.floodPayload(floodIDBase+h.floodRequests.Add(1), classIdempotent, floodFunction)
	large := encodeClientFrame(frameRequest, 1, append(payload, make([]byte, crowdBodyBytes)...))
	half := large[:len(large)/2]
	switch kind {
	case CrowdTrickles:
		parts := [][]byte{half}
		for i := range large[len(half):] {
			parts = append(parts, large[len(half)+i:][:1])
		}
		return parts
	case CrowdManyFields:
		return [][]byte{h.manyFields()}
	case CrowdLeaves:
		return [][]byte{h.leavingRequests()}
	case CrowdStops:
	}
	return [][]byte{half}
}

// manyFields encodes a request with as many fields as it can state, and most of the next one.
func (h *harness) manyFields() []byte {
	fields := make([]clientField, maxFields)
	for i := range fields {
		fields[i] = clientField{name: string([]byte{'a' + byte(i%26), 'a' + byte(i/26)}), value: "1"}
	}
	first := encodeClientFrame(frameRequest, 1, encodeFields(fields))
	second := encodeClientFrame(frameRequest, 2, encodeFields(fields))
	return append(first, second[:len(second)-1]...)
}

// leavingRequests encodes the requests of a client that leaves before they are read.
func (h *harness) leavingRequests() []byte {
	var input []byte
	for stream := range uint32(crowdRequests) {
		id := floodIDBase + h.floodRequests.Add(1)
		input = append(input, encodeClientFrame(frameRequest, stream+1, h.floodPayload(id, classIdempotent, floodFunction))...)
	}
	return input
}
