package goldentest

import (
	"errors"
	"fmt"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// Pool is the front end's connection pool to workers, independent of the protocol.
type Pool interface {
	SetEndpoints(list *upstream.EndpointList)
	SendAttempt(now units.Seconds, a dispatch.Attempt)
	SendLoad(now units.Seconds, command dispatch.LoadCommand)
	CancelUnsent(id uint64) bool
	Abandon(now units.Seconds, id uint64)
	OnDialed(now units.Seconds, c upstream.ConnID, err error)
	OnData(now units.Seconds, c upstream.ConnID, data []byte)
	OnClosed(now units.Seconds, c upstream.ConnID)
	Tick(now units.Seconds)
	CloseAll(now units.Seconds)
	Flush()
	Len() int
	Check() error
}

// FakeWorkers drives a Pool as all of its workers, and records the effects for the transcript. It implements the pool's
// transport and receives its results.
type FakeWorkers struct {
	Pool      Pool
	Encode    func(verb string, args []string) []byte // encodes a worker message; returns nil for an unknown verb
	Format    func(data []byte) []string              // formats messages for the transcript
	unsent    map[upstream.ConnID]int                 // unsent bytes in the send buffers of connections
	pending   []byte                                  // data that was held back, sent before the next message
	chunkSize int                                     // bytes passed to Pool.OnData at a time; 0: all
	lines     []string                                // transcript lines of the current script line
	now       units.Seconds
	deadlines map[uint64]units.Seconds // of attempts
}

func (w *FakeWorkers) logf(format string, args ...any) {
	w.lines = append(w.lines, fmt.Sprintf(format, args...))
}

// Dial records that the pool dials a worker.
func (w *FakeWorkers) Dial(c upstream.ConnID, addr string) {
	w.logf("dial connection %d to %q", c, addr)
}

// Write records data that is sent to a worker.
func (w *FakeWorkers) Write(c upstream.ConnID, data []byte) {
	for _, text := range w.Format(data) {
		w.logf("> worker on %d %s", c, text)
	}
}

// Close records that the pool closes a connection.
func (w *FakeWorkers) Close(c upstream.ConnID) { w.logf("close connection %d", c) }

// Unsent returns the unsent bytes of a connection, as set by the script.
func (w *FakeWorkers) Unsent(c upstream.ConnID) int { return w.unsent[c] }

// AuthorizeAttempt permits every attempt, with the time that remains until its deadline.
func (w *FakeWorkers) AuthorizeAttempt(id uint64) dispatch.SendPermit {
	return dispatch.PermitSend(w.deadlines[id] - w.now)
}

// OnDisconnected implements upstream.ExchangeHandler.
func (*FakeWorkers) OnDisconnected(control.WorkerID) {}

// OnProcessUncertain implements upstream.ExchangeHandler.
func (*FakeWorkers) OnProcessUncertain(control.WorkerID) (verify bool) { return false }

// OnProcessConfirmed implements upstream.ExchangeHandler.
func (*FakeWorkers) OnProcessConfirmed(control.WorkerID) {}

// AuthorizeLoad implements upstream.ExchangeHandler.
func (*FakeWorkers) AuthorizeLoad(uint64) dispatch.SendPermit { return dispatch.PermitSend(0) }

// sendAttempt records the deadline of an attempt and passes it to the pool.
func (w *FakeWorkers) sendAttempt(now units.Seconds, attempt dispatch.Attempt) {
	if w.deadlines == nil {
		w.deadlines = map[uint64]units.Seconds{}
	}
	w.deadlines[attempt.ID] = now + attempt.Timeout
	w.Pool.SendAttempt(now, attempt)
}

// OnAttemptReply records the end of an attempt.
func (w *FakeWorkers) OnAttemptReply(id uint64, r dispatch.WorkerReply) {
	w.logf("attempt %d ended: %s found=%s running=%v waiting=%v report=%v digest=%q fields=%s body=%s",
		id, outcomeNames[r.Outcome], startTypeNames[r.Start], r.Report.Running, r.Report.Waiting, r.Report.Known, r.Digest,
		formatFields(r.Fields), formatBody(r.Body))
}

// OnLoadReply records the end of a load command.
func (w *FakeWorkers) OnLoadReply(id uint64, outcome control.Outcome, replicas int) {
	w.logf("load %d ended: %s copies=%d", id, outcomeNames[outcome], replicas)
}

// Act implements Actor. It also checks the invariants of the pool.
func (w *FakeWorkers) Act(now units.Seconds, verb string, args []string) []string {
	w.lines, w.now = nil, now
	w.execute(now, verb, args)
	w.Pool.Flush()
	if err := w.Pool.Check(); err != nil {
		w.logf("pool invariant violated: %v", err)
	}
	return w.lines
}

func (w *FakeWorkers) execute(now units.Seconds, verb string, args []string) {
	number := func() uint64 { return uint64(ParseNumber(args[0])) }
	switch verb {
	case "workers":
		w.setEndpoints(args[0])
	case "attempt":
		w.sendAttempt(now, parseAttempt(number(), args[1], ParseOptions(args[2:])))
	case "load":
		w.Pool.SendLoad(now, parseLoadCommand(number(), args[1], ParseOptions(args[2:])))
	case "withdraw":
		w.logf("withdrawn: %v", w.Pool.CancelUnsent(number()))
	case "cancel":
		w.Pool.Abandon(now, number())
	case "connected":
		w.Pool.OnDialed(now, upstream.ConnID(number()), nil)
	case "connect-failed":
		w.Pool.OnDialed(now, upstream.ConnID(number()), errors.New("connection refused"))
	case "closed":
		w.Pool.OnClosed(now, upstream.ConnID(number()))
	case "unsent":
		w.unsent[upstream.ConnID(number())] = int(ParseNumber(args[1]))
	case "pieces":
		w.chunkSize = int(number())
	case "tick":
		w.Pool.Tick(now)
	case "close-all":
		w.Pool.CloseAll(now)
	case "connections?":
		w.logf("connections: %d", w.Pool.Len())
	default:
		w.sendMessage(now, verb, args)
	}
}

// sendMessage encodes a worker message and passes it to the pool. The line is "verb connection ...". "+verb" holds the
// message back until the next one is sent.
func (w *FakeWorkers) sendMessage(now units.Seconds, verb string, args []string) {
	name, holdBack := strings.CutPrefix(verb, "+")
	data := w.Encode(name, args[1:])
	if data == nil {
		panic("unknown verb: " + verb)
	}
	w.pending = append(w.pending, data...)
	if holdBack {
		return
	}
	data, w.pending = w.pending, nil
	c := upstream.ConnID(ParseNumber(args[0]))
	for _, text := range w.Format(data) {
		w.logf("< worker on %d %s", c, text)
	}
	forEachChunk(data, w.chunkSize, func(chunk []byte) { w.Pool.OnData(now, c, chunk) })
}

// setEndpoints parses an endpoint list in its file format, and passes it to the pool.
func (w *FakeWorkers) setEndpoints(text string) {
	list, err := upstream.ParseEndpointList([]byte(text), 100)
	if err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			w.logf("list refused: %s", line)
		}
		return
	}
	for _, worker := range list.Workers {
		w.logf("worker %q at %q draining=%v zone=%q kind=%q cell=%d size=%v started=%v",
			worker.ID, list.Addresses[worker.ID], worker.State == control.Draining, worker.Zone, worker.MachineType, worker.FailureDomain, worker.Weight, worker.StartedAt)
	}
	w.Pool.SetEndpoints(list)
}

// NewFakeWorkers returns FakeWorkers whose Pool, Encode and Format the caller sets.
func NewFakeWorkers() *FakeWorkers { return &FakeWorkers{unsent: map[upstream.ConnID]int{}} }
