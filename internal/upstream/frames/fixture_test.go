package frames

import (
	"fmt"
	"slices"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// defaultTimeLeft is the time in seconds until an attempt's deadline when the attempt is written.
const defaultTimeLeft = 1.5

// poolFixture is a pool and its transport and handler, which record what the pool sends and reports.
type poolFixture struct {
	t            *testing.T
	pool         *Pool
	dialed       []string
	sent         map[upstream.ConnID][]byte
	closed       []upstream.ConnID
	unsent       map[upstream.ConnID]int
	disconnected []control.WorkerID
	verifies     bool     // processes behind later connections are to be verified at once
	processes    []string // what was reported of a worker's process, in order
	reported     []string
	bodies       []string
	deniedID     uint64 // attempt whose write is denied
}

func (fixture *poolFixture) Dial(_ upstream.ConnID, addr string) {
	fixture.dialed = append(fixture.dialed, addr)
}

func (fixture *poolFixture) Write(c upstream.ConnID, data []byte) {
	fixture.sent[c] = append(fixture.sent[c], data...)
}

func (fixture *poolFixture) Close(c upstream.ConnID)      { fixture.closed = append(fixture.closed, c) }
func (fixture *poolFixture) Unsent(c upstream.ConnID) int { return fixture.unsent[c] }
func (fixture *poolFixture) OnAttemptReply(id uint64, r dispatch.WorkerReply) {
	fixture.reported = append(fixture.reported, fmt.Sprintf("%d:%d/%d", id, r.Outcome, r.Start))
	fixture.bodies = append(fixture.bodies, string(r.Body))
}

// AuthorizeAttempt permits every attempt but the denied one, with defaultTimeLeft.
func (fixture *poolFixture) AuthorizeAttempt(id uint64) dispatch.SendPermit {
	if id == fixture.deniedID {
		return dispatch.DenySend(dispatch.DeniedNoWaiter)
	}
	return dispatch.PermitSend(defaultTimeLeft)
}

func (fixture *poolFixture) OnDisconnected(worker control.WorkerID) {
	fixture.disconnected = append(fixture.disconnected, worker)
	fixture.processes = append(fixture.processes, "disconnected")
}

func (fixture *poolFixture) OnProcessUncertain(control.WorkerID) (verify bool) {
	fixture.processes = append(fixture.processes, "uncertain")
	return fixture.verifies
}

func (fixture *poolFixture) OnProcessConfirmed(control.WorkerID) {
	fixture.processes = append(fixture.processes, "confirmed")
}

func (*poolFixture) AuthorizeLoad(uint64) dispatch.SendPermit {
	return dispatch.PermitSend(defaultTimeLeft)
}

func (fixture *poolFixture) OnLoadReply(id uint64, outcome control.Outcome, replicas int) {
	fixture.reported = append(fixture.reported, fmt.Sprintf("load %d:%d %d", id, outcome, replicas))
}

// commands returns the codes of the frames written to a connection.
func (fixture *poolFixture) commands(c upstream.ConnID) []command {
	var list []command
	for b := fixture.sent[c]; len(b) > 0; {
		size := headerSize + int(b[2])<<8 + int(b[3]) + int(b[6])<<8 + int(b[7]) + checksumSize
		list, b = append(list, command(b[1])), b[size:]
	}
	return list
}

// lastDialed returns the ID of the connection that was dialed last.
func (fixture *poolFixture) lastDialed() upstream.ConnID { return upstream.ConnID(len(fixture.dialed)) }

// expectReports flushes the pool and checks all reports since the last call, and the pool's consistency.
func (fixture *poolFixture) expectReports(want ...string) {
	fixture.t.Helper()
	fixture.pool.Flush()
	if !slices.Equal(fixture.reported, want) {
		fixture.t.Errorf("reported %q, want %q", fixture.reported, want)
	}
	if err := fixture.pool.Check(); err != nil {
		fixture.t.Error(err)
	}
	fixture.reported = nil
}

func endpointList(addresses map[string]string, state control.EndpointState, startedAt units.Seconds) *upstream.EndpointList {
	list := &upstream.EndpointList{Addresses: map[control.WorkerID]string{}}
	for id, addr := range addresses {
		list.Workers = append(list.Workers, control.Worker{ID: control.WorkerID(id), State: state, StartedAt: startedAt})
		list.Addresses[control.WorkerID(id)] = addr
	}
	return list
}

func newPoolFixture(t *testing.T, maxPerWorker, maxStreams int) *poolFixture {
	t.Helper()
	fixture := &poolFixture{t: t, sent: map[upstream.ConnID][]byte{}, unsent: map[upstream.ConnID]int{}}
	fixture.pool = NewPool(Limits{DialTimeout: 0.25, IdleTimeout: 10, MaxTotal: 8, MaxPerWorker: maxPerWorker, MaxStreams: maxStreams}, fixture, fixture)
	fixture.pool.SetEndpoints(endpointList(map[string]string{"a": "x:1"}, control.Serving, 0))
	return fixture
}

func (fixture *poolFixture) sendAttempt(id uint64, worker string) {
	fixture.sendAttemptUnder(0, id, id, worker)
}

// sendAttemptUnder sends an attempt under a request ID at a time.
func (fixture *poolFixture) sendAttemptUnder(now units.Seconds, id, requestID uint64, worker string) {
	fixture.pool.SendAttempt(now, dispatch.Attempt{
		ID: id, Worker: control.WorkerID(worker), Function: "7f3a9c21e0b4d655", Class: "call", Timeout: 1.5,
		Identity: dispatch.Identity{ID: fmt.Sprintf("%016x", requestID)}, Body: []byte("in"),
	})
}
