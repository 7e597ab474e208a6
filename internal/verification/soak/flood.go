package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// FloodKind names what the connections of a flood send.
type FloodKind string

// Kinds of floods.
const (
	NewFunctionsCancelled  FloodKind = "requests for new functions, cancelled at once"
	NewFunctionsTakenBack  FloodKind = "requests for new functions, cancelled in the next write"
	NewFunctions           FloodKind = "requests for new functions"
	KnownFunctionCancelled FloodKind = "requests for a known function, cancelled at once"
	UnknownClass           FloodKind = "requests of an unknown class"
	RepeatedID             FloodKind = "requests with the ID of an earlier one"
	ReadinessQueries       FloodKind = "readiness queries"
)

// floodKinds are the kinds that a seed chooses from. Their order determines what it chooses.
var floodKinds = []FloodKind{
	NewFunctionsCancelled, NewFunctionsTakenBack, NewFunctions, KnownFunctionCancelled, UnknownClass, RepeatedID, ReadinessQueries,
}

const (
	// floodBatch is the number of requests in one write of a flooding client. It is half of what may be open on a connection.
	floodBatch = 16
	// floodResponseTimeout is the maximum time that a flooding client waits for a response, or for a write.
	floodResponseTimeout = 3 * time.Second
	// maxFloodConnections is the largest number of flooding connections that a seed chooses.
	maxFloodConnections = 8
	// floodIDBase is the base of the request and function IDs of floods, which no well-behaved client uses.
	floodIDBase = 0xde1a << 48
)

// FloodScenario is a flood of the first front end, and optionally a crowd of slow connections beside it.
type FloodScenario struct {
	Kind        FloodKind
	Connections int
	Duration    time.Duration
	Crowd       CrowdKind // empty: none
}

// runFloodScenario runs a flood from the warm-up to the recovery.
func (h *harness) runFloodScenario(ctx context.Context, scenario *FloodScenario) {
	sleep(ctx, scenarioWarmUp)
	h.logFault(fmt.Sprintf("flood begins: %s; crowd: %s", scenario.Kind, scenario.Crowd))
	var running sync.WaitGroup
	if scenario.Crowd != "" {
		running.Go(func() { h.crowd(h.frontEnds[0], scenario.Crowd, scenario.Duration) })
	}
	if scenario.Connections > 0 {
		h.flood(h.frontEnds[0], scenario.Kind, scenario.Connections, scenario.Duration)
	}
	running.Wait()
	h.logFault("flood ends")
	sleep(ctx, scenarioRecovery)
}

// floodFrontEnd floods a randomly chosen front end for a random time.
func (h *harness) floodFrontEnd(random *rand.Rand) {
	kind := floodKinds[random.IntN(len(floodKinds))]
	f := h.frontEnds[random.IntN(len(h.frontEnds))]
	h.flood(f, kind, 1+random.IntN(maxFloodConnections), randomFaultDuration(random))
}

// flood sends requests of a kind to a front end on several connections at full speed.
func (h *harness) flood(f *frontEnd, kind FloodKind, connections int, duration time.Duration) {
	end := time.Now().Add(duration)
	f.flooded.Add(1)
	defer f.flooded.Add(-1)
	var running sync.WaitGroup
	for range connections {
		running.Go(func() {
			for time.Now().Before(end) && !h.loadEnded() {
				if !f.acceptsConnections() || !h.floodConnection(f, kind, end) {
					time.Sleep(badClientInterval)
				}
			}
		})
	}
	running.Wait()
}

// floodConnection floods a front end on one connection until the given time or the end of the connection. It reports whether it
// could connect.
func (h *harness) floodConnection(f *frontEnd, kind FloodKind, end time.Time) bool {
	conn, err := net.DialTimeout("tcp", f.listen, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // the front end may have closed it
	flooder := &floodClient{harness: h, conn: conn, kind: kind, responses: make(chan struct{}, floodBatch)}
	go flooder.readResponses()
	for time.Now().Before(end) && !h.loadEnded() && f.acceptsRequests() {
		if !flooder.sendBatch() {
			break
		}
	}
	return true
}

// floodClient is one connection of a flooding client.
type floodClient struct {
	harness    *harness
	conn       net.Conn
	kind       FloodKind
	lastStream uint32
	responses  chan struct{} // receives a value for each response; closed when the connection ends
}

// readResponses reads frames until the connection ends.
func (c *floodClient) readResponses() {
	defer close(c.responses)
	in := bufio.NewReader(c.conn)
	for {
		if _, err := readClientFrame(in); err != nil {
			return
		}
		if c.awaitsResponses() {
			c.responses <- struct{}{}
		}
	}
}

// awaitsResponses reports whether the client waits for a response to each request.
func (c *floodClient) awaitsResponses() bool {
	return c.kind != NewFunctionsCancelled && c.kind != NewFunctionsTakenBack && c.kind != KnownFunctionCancelled
}

// sendBatch writes a batch of requests and waits for their responses, unless it cancels them. It reports whether the connection
// can carry another batch.
func (c *floodClient) sendBatch() bool {
	var batch []byte
	for range floodBatch {
		batch = c.appendRequest(batch)
	}
	_ = c.conn.SetDeadline(time.Now().Add(floodResponseTimeout)) // on an error, the write fails
	if _, err := c.conn.Write(batch); err != nil {
		return false
	}
	if c.kind == NewFunctionsTakenBack {
		return c.cancelBatch()
	}
	if !c.awaitsResponses() {
		return true
	}
	for range floodBatch {
		if _, open := <-c.responses; !open {
			return false
		}
	}
	return true
}

// cancelBatch cancels the requests of the last batch in one write. It reports whether the connection can carry another batch.
func (c *floodClient) cancelBatch() bool {
	var batch []byte
	for i := range uint32(floodBatch) {
		batch = append(batch, encodeClientFrame(frameCancel, c.lastStream-i, nil)...)
	}
	_, err := c.conn.Write(batch)
	return err == nil
}

// appendRequest appends the next request and, if the kind wants it, its cancellation.
func (c *floodClient) appendRequest(batch []byte) []byte {
	c.lastStream++
	id := floodIDBase + c.harness.floodRequests.Add(1)
	class, function := classIdempotent, id
	switch c.kind {
	case ReadinessQueries:
		return append(batch, encodeClientFrame(frameReadinessQuery, c.lastStream, []byte{0})...)
	case UnknownClass:
		class = "none"
	case RepeatedID:
		id, function = floodIDBase, floodFunction
	case KnownFunctionCancelled:
		function = floodFunction
	case NewFunctions, NewFunctionsCancelled, NewFunctionsTakenBack:
	}
	batch = append(batch, encodeClientFrame(frameRequest, c.lastStream, c.harness.floodPayload(id, class, function))...)
	if c.kind == NewFunctionsCancelled || c.kind == KnownFunctionCancelled {
		batch = append(batch, encodeClientFrame(frameCancel, c.lastStream, nil)...)
	}
	return batch
}

// floodFunction is the function of floods that name one function only. Well-behaved clients request it too.
const floodFunction = 0xf0

// floodPayload encodes the fields of a flooding client's request.
func (h *harness) floodPayload(id uint64, class string, function uint64) []byte {
	return encodeFields([]clientField{
		{"kind", class},
		{"req", requestName(id)},
		{"timeout", strconv.FormatInt(h.requestTimeout().Milliseconds(), 10)},
		{"owner", "acme"},
		{"subject", requestName(function)},
		{"ms", "20"},
		{"more", fmt.Sprintf("lanes:4;load_ms:%d;memory_mb:64", loadTime.Milliseconds())},
	})
}
