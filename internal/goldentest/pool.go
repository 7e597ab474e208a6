package goldentest

import (
	"errors"
	"fmt"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/upstream"
)

// Pool is the worker side of a protocol.
type Pool interface {
	SetEndpoints(list *upstream.EndpointList)
	SendAttempt(now float64, l dispatch.Attempt)
	SendLoad(now float64, o dispatch.LoadCommand)
	CancelUnsent(no uint64) bool
	Abandon(now float64, no uint64)
	OnDialed(now float64, no upstream.ConnID, err error)
	OnData(now float64, no upstream.ConnID, data []byte)
	OnClosed(now float64, no upstream.ConnID)
	Tick(now float64)
	CloseAll(now float64)
	Flush()
	Len() int
	Check() error
}

// Workers plays all workers and the sockets to them. It is the wire and the sink of its pool.
type Workers struct {
	Pool   Pool
	Encode func(verb string, words []string) []byte // what a worker sends; nil for a verb of no such kind
	Show   func(data []byte) []string
	unsent map[upstream.ConnID]int
	held   []byte
	piece  int
	log    []string
}

func (w *Workers) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

// Dial notes that a connection is asked for.
func (w *Workers) Dial(c upstream.ConnID, addr string) { w.note("dial connection %d to %q", c, addr) }

// Write notes what leaves to a worker.
func (w *Workers) Write(c upstream.ConnID, data []byte) {
	for _, text := range w.Show(data) {
		w.note("> worker on %d %s", c, text)
	}
}

// Close notes that a connection is closed from this side.
func (w *Workers) Close(c upstream.ConnID) { w.note("close connection %d", c) }

// Unsent is what the script said of a connection's buffers.
func (w *Workers) Unsent(c upstream.ConnID) int { return w.unsent[c] }

// OnAttemptReply notes how an attempt ended.
func (w *Workers) OnAttemptReply(job uint64, r dispatch.WorkerReply) {
	w.note("attempt %d ended: %s found=%s running=%v waiting=%v report=%v digest=%q fields=%s body=%s", job, results[r.Outcome], warmths[r.Start],
		r.Report.Running, r.Report.Waiting, r.Report.Known, r.Digest, fields(r.Fields), clip(r.Body))
}

// OnLoadReply notes how a load order ended.
func (w *Workers) OnLoadReply(job uint64, res control.Outcome, copies int) {
	w.note("load %d ended: %s copies=%d", job, results[res], copies)
}

var results = map[control.Outcome]string{control.Succeeded: "served", control.Failed: "error", control.TimedOut: "timed-out",
	control.ConnectionLost: "broken", control.Cancelled: "cancelled", control.Rejected: "refused", control.Unreachable: "unreachable",
	control.NotSent: "never-sent", control.ReplicaMissing: "not-loaded"}

var warmths = map[control.StartType]string{control.StartUnknown: "unknown", control.WarmStart: "warm", control.ColdStart: "cold",
	control.JoinedColdStart: "joined", control.StartFailed: "load-failed"}

func warmth(word string) control.StartType {
	for w, text := range warmths {
		if text == word {
			return w
		}
	}
	panic("no such word: " + word)
}

// Act carries out one line.
func (w *Workers) Act(now float64, verb string, words []string) []string {
	w.log = nil
	w.act(now, verb, words)
	w.Pool.Flush()
	if err := w.Pool.Check(); err != nil {
		w.note("state contradicts itself: %v", err)
	}
	return w.log
}

func (w *Workers) act(now float64, verb string, words []string) {
	number := func() uint64 { return uint64(Number(words[0])) }
	switch verb {
	case "workers":
		w.list(words[0])
	case "attempt":
		w.Pool.SendAttempt(now, attempt(number(), words[1], Options(words[2:])))
	case "load":
		w.Pool.SendLoad(now, order(number(), words[1], Options(words[2:])))
	case "withdraw":
		w.note("withdrawn: %v", w.Pool.CancelUnsent(number()))
	case "cancel":
		w.Pool.Abandon(now, number())
	case "connected":
		w.Pool.OnDialed(now, upstream.ConnID(number()), nil)
	case "connect-failed":
		w.Pool.OnDialed(now, upstream.ConnID(number()), errors.New("connection refused"))
	case "closed":
		w.Pool.OnClosed(now, upstream.ConnID(number()))
	case "unsent":
		w.unsent[upstream.ConnID(number())] = int(Number(words[1]))
	case "pieces":
		w.piece = int(number())
	case "tick":
		w.Pool.Tick(now)
	case "close-all":
		w.Pool.CloseAll(now)
	case "connections?":
		w.note("connections: %d", w.Pool.Len())
	default:
		w.receive(now, verb, words)
	}
}

// receive takes "verb connection ...", what a worker sends; "+verb" holds it back to go with the next.
func (w *Workers) receive(now float64, verb string, words []string) {
	name, hold := strings.CutPrefix(verb, "+")
	data := w.Encode(name, words[1:])
	if data == nil {
		panic("no such verb: " + verb)
	}
	if w.held = append(w.held, data...); hold {
		return
	}
	data, w.held = w.held, nil
	c := upstream.ConnID(Number(words[0]))
	for _, text := range w.Show(data) {
		w.note("< worker on %d %s", c, text)
	}
	for len(data) > 0 {
		n := len(data)
		if w.piece > 0 {
			n = min(n, w.piece)
		}
		w.Pool.OnData(now, c, data[:n])
		data = data[n:]
	}
}

// list reads the list of workers in the form of its file.
func (w *Workers) list(text string) {
	list, err := upstream.ParseEndpointList([]byte(text), 100)
	if err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			w.note("list refused: %s", line)
		}
		return
	}
	for _, wk := range list.Workers {
		w.note("worker %q at %q draining=%v zone=%q kind=%q cell=%d size=%v started=%v", wk.ID, list.Addresses[wk.ID], wk.State == control.Draining,
			wk.Zone, wk.MachineType, wk.FailureDomain, wk.Weight, wk.StartedAt)
	}
	w.Pool.SetEndpoints(list)
}

func attempt(job uint64, worker string, o map[string]string) dispatch.Attempt {
	l := dispatch.Attempt{ID: job, Worker: control.WorkerID(worker), Function: "7f3a9c21e0b4d655", Class: "call", Timeout: 1.5,
		Identity: dispatch.Identity{ID: fmt.Sprintf("%016x", job)}, Body: []byte(o["body"]), Binding: binding(o)}
	for name, to := range map[string]*string{"function": &l.Function, "type": &l.Class, "id": &l.Identity.ID} {
		if v, ok := o[name]; ok {
			*to = v
		}
	}
	if o["limit"] != "" {
		l.Timeout = Number(o["limit"])
	}
	if name, value, ok := strings.Cut(o["field"], ": "); ok {
		l.Fields = []dispatch.Field{{Name: name, Value: value}}
	}
	return l
}

func order(job uint64, worker string, o map[string]string) dispatch.LoadCommand {
	r := dispatch.LoadCommand{ID: job, Worker: control.WorkerID(worker), Function: "7f3a9c21e0b4d655", Replicas: int(Number(o["copies"])), Binding: binding(o)}
	if v, ok := o["function"]; ok {
		r.Function = v
	}
	return r
}

func binding(o map[string]string) dispatch.Binding {
	if o["version"] == "" {
		return dispatch.Binding{}
	}
	return dispatch.Binding{ID: "f@" + o["digest"], Function: "f", Version: o["version"], Digest: o["digest"]}
}

// NewWorkers makes workers without a pool, which the caller sets.
func NewWorkers() *Workers { return &Workers{unsent: map[upstream.ConnID]int{}} }
