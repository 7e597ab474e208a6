package simulation

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// The explorer is the second level: a small world of two front ends (cores with their decisions), two workers and
// three events, in which everything may happen in every order, to a stated depth. What is checked are rules 1 to 3.
//
// A core is a function of what came in and when. Two ways that give each front end the same inputs lead to the same
// world, so a world is known by the histories of its front ends, and ways that only order what happens at different
// front ends in another way are gone once.

// Explored is what an exploration came to.
type Explored struct {
	Depth  int      `json:"depth"`
	States int      `json:"states"` // worlds that differ
	Merged int      `json:"merged"` // ways that led to a world that was known
	Ways   int      `json:"ways"`   // run to their end, with nothing more coming from outside
	Whole  bool     `json:"whole"`  // false: the limit of states ended it
	Broke  []string `json:"broke,omitempty"`
}

const (
	smallAge  = 2.0
	smallSpan = 3.0 // for which workers remember keyed events
)

// smallAsk is one ask of the small world: whose event it is, at which front end.
type smallAsk struct {
	front    int
	id, kind string
	wait     float64
}

var smallAsks = []smallAsk{
	{0, "a", "once", smallAge}, {0, "a", "once", smallAge}, {0, "b", "keyed", smallAge},
	{1, "b", "keyed", 1}, {1, "c", "again", smallAge},
}

// move is one thing that may happen.
type move struct {
	what     string // ask, hang, leave, end, load, drain, time
	front, n int    // which ask, launch, order or worker
	result   control.Outcome
}

type smallLaunch struct {
	l    dispatch.Attempt
	left bool
}

// smallFront is one front end with what is out, and the plain model of the rules.
type smallFront struct {
	w       *smallWorld
	no      int
	core    *dispatch.Dispatcher
	out     []smallLaunch
	orders  []dispatch.LoadCommand
	drained [2]bool
	ran     map[string]float64 // events that may have run here, since when
	history []byte
}

type smallWorld struct {
	now    float64
	fronts [2]*smallFront
	asked  [5]bool
	at     [5]float64
	got    [5]int
	hung   [5]bool
	broke  []string
}

func (w *smallWorld) fault(format string, args ...any) {
	w.broke = append(w.broke, fmt.Sprintf(format, args...))
}

var smallWorkers = []control.Worker{{ID: "wk-0", Weight: 1}, {ID: "wk-1", Weight: 1}}

func newSmallWorld() *smallWorld {
	w := &smallWorld{now: 1000}
	for i := range w.fronts {
		f := &smallFront{w: w, no: i, ran: map[string]float64{}}
		d := &control.Deployment{FrontEnds: 2, MissIsAnswered: i == 0, LoadCommandsAllowed: true, MaxAttempts: 3, MaxRetryAfter: 0.5, IdleReplicaLifetime: 8, MinRoundInterval: 0.004,
			ColdShare: 0.3, WarmUpTime: 10, OverloadFactor: 2.5, OverloadWindow: 1.5, RequestClasses: []control.RequestClass{{Name: "again", LatencyObjective: 0.8, Timeout: smallAge},
				{Name: "keyed", LatencyObjective: 0.8, Timeout: smallAge, Semantics: control.IdempotentByKey, DeduplicationWindow: smallSpan},
				{Name: "once", LatencyObjective: 0.8, Timeout: smallAge, Semantics: control.AtMostOnce}}}
		f.core = dispatch.New(dispatch.Settings{Deployment: d, Functions: func(string) dispatch.FunctionProfile { return dispatch.FunctionProfile{Concurrency: 1} }, ResponseMargin: 0.1,
			LoadTimeout: 1, MaxOpen: 10, DeduplicationWindow: 60, MaxCachedBytes: 1 << 16, Seed: uint64(7 + i)}, f, w.now)
		f.core.OnEndpointUpdate(w.now, true, smallWorkers)
		w.fronts[i] = f
	}
	return w
}

// open tells whether somebody still asks for an event here.
func (f *smallFront) open(id string) bool {
	for i, a := range smallAsks {
		if a.front == f.no && a.id == id && f.w.asked[i] && f.w.got[i] == 0 && !f.w.hung[i] {
			return true
		}
	}
	return false
}

func (f *smallFront) Respond(to dispatch.WaiterID, a dispatch.Response) {
	w, i := f.w, int(to)
	w.got[i]++
	switch id := smallAsks[i].id; {
	case w.got[i] > 1:
		w.fault("rule 1: ask %d has %d answers", i, w.got[i])
	case w.hung[i]:
		w.fault("rule 1: ask %d is answered after it hung up", i)
	case a.Kind == dispatch.Rejected && smallAsks[i].kind == "once" && (f.mayHaveRun(id) || f.isOut(id)):
		w.fault("rule 2: ask %d is deferred, and %s may have run", i, id)
	}
}

func (f *smallFront) mayHaveRun(id string) bool { _, ran := f.ran[id]; return ran }

func (f *smallFront) isOut(id string) bool {
	return slices.ContainsFunc(f.out, func(x smallLaunch) bool { return x.l.Identity.ID == id && x.left })
}

func (f *smallFront) SendAttempt(l dispatch.Attempt) {
	id, w := l.Identity.ID, f.w
	kind := map[string]string{"a": "once", "b": "keyed", "c": "again"}[id]
	for _, x := range f.out {
		if x.l.Identity.ID == id {
			w.fault("rule 2: %s is launched while a launch of it is out", id)
		}
	}
	since, ran := f.ran[id]
	switch {
	case kind == "once" && ran:
		w.fault("rule 2: %s is launched and may have run", id)
	case kind == "keyed" && ran && w.now >= since+smallSpan:
		w.fault("rule 2: %s is launched when workers may have forgotten it", id)
	case !f.open(id):
		w.fault("rule 1: %s is launched and nobody asks for it", id)
	}
	for i, wk := range smallWorkers {
		if wk.ID == l.Worker && f.drained[i] {
			w.fault("rule 3: %s is launched at %s, which drains", id, wk.ID)
		}
	}
	f.out = append(f.out, smallLaunch{l: l})
}

func (f *smallFront) SendLoad(o dispatch.LoadCommand) {
	for i, wk := range smallWorkers {
		if wk.ID == o.Worker && f.drained[i] && o.Replicas > 0 {
			f.w.fault("rule 3: a load is ordered of %s, which drains", wk.ID)
		}
	}
	f.orders = append(f.orders, o)
}

func (f *smallFront) take(job uint64) (smallLaunch, bool) {
	for i, x := range f.out {
		if x.l.ID == job {
			f.out = append(f.out[:i:i], f.out[i+1:]...)
			return x, true
		}
	}
	return smallLaunch{}, false
}

func (f *smallFront) mark(x smallLaunch) {
	if _, ran := f.ran[x.l.Identity.ID]; !ran {
		f.ran[x.l.Identity.ID] = f.w.now
	}
}

func (f *smallFront) Abandon(job uint64) {
	if x, ok := f.take(job); ok && x.left {
		f.mark(x)
	}
	f.orders = slices.DeleteFunc(f.orders, func(o dispatch.LoadCommand) bool { return o.ID == job })
}

func (f *smallFront) CancelUnsent(job uint64) bool {
	for _, x := range f.out {
		if x.l.ID == job && !x.left {
			f.take(job)
			return true
		}
	}
	return false
}

func (f *smallFront) Broadcast([]byte)                                {}
func (f *smallFront) Store(dispatch.Record)                           {}
func (f *smallFront) OnRequestEnd(dispatch.Response, *dispatch.Trace) {}

// moves are all that may happen now.
func (w *smallWorld) moves() (list []move) {
	for i := range smallAsks {
		switch {
		case !w.asked[i]:
			if i == 0 || smallAsks[i] != smallAsks[i-1] || w.asked[i-1] { // two asks that are alike come in one order
				list = append(list, move{what: "ask", n: i})
			}
		case w.got[i] == 0 && !w.hung[i]:
			list = append(list, move{what: "hang", n: i})
		}
	}
	for no, f := range w.fronts {
		for n, x := range f.out {
			if !x.left {
				list = append(list, move{what: "leave", front: no, n: n}, move{what: "end", front: no, n: n, result: control.Unreachable})
				continue
			}
			for _, r := range []control.Outcome{control.Succeeded, control.Failed, control.ConnectionLost, control.Rejected, control.ReplicaMissing} {
				list = append(list, move{what: "end", front: no, n: n, result: r})
			}
		}
		for n := range f.orders {
			list = append(list, move{what: "load", front: no, n: n, result: control.Succeeded}, move{what: "load", front: no, n: n, result: control.Failed})
		}
		for n, d := range f.drained {
			if !d {
				list = append(list, move{what: "drain", front: no, n: n})
			}
		}
	}
	return append(list, move{what: "time"})
}

func (m move) String() string {
	switch m.what {
	case "ask", "hang":
		return fmt.Sprintf("%s %d (%s at front %d)", m.what, m.n, smallAsks[m.n].id, smallAsks[m.n].front)
	case "end", "load":
		return fmt.Sprintf("%s %d at front %d: %d", m.what, m.n, m.front, m.result)
	case "time":
		return "time passes"
	}
	return fmt.Sprintf("%s %d at front %d", m.what, m.n, m.front)
}

// do makes a move, and adds it to the history of the front end that it reaches.
func (w *smallWorld) do(m move) {
	f := w.fronts[m.front]
	switch m.what {
	case "ask", "hang":
		f = w.fronts[smallAsks[m.n].front]
	case "time":
		w.pass()
		return
	}
	f.history = fmt.Appendf(f.history, "%s %d %d %.6f;", m.what, m.n, m.result, w.now)
	switch m.what {
	case "ask":
		a := smallAsks[m.n]
		w.asked[m.n], w.at[m.n] = true, w.now
		f.core.Submit(w.now, dispatch.WaiterID(m.n), dispatch.Request{Identity: dispatch.Identity{Source: "/t", ID: a.id}, Class: a.kind, Function: "f", Timeout: a.wait})
	case "hang":
		w.hung[m.n] = true
		f.core.OnCancel(w.now, dispatch.WaiterID(m.n))
	case "leave":
		f.out[m.n].left = true
	case "end":
		x, _ := f.take(f.out[m.n].l.ID)
		if m.result < control.Rejected {
			f.mark(x)
		}
		f.core.OnAttemptReply(w.now, x.l.ID, dispatch.WorkerReply{Outcome: m.result, Start: control.WarmStart})
	case "load":
		o := f.orders[m.n]
		f.orders = append(f.orders[:m.n:m.n], f.orders[m.n+1:]...)
		copies := 0
		if m.result == control.Succeeded {
			copies = 1
		}
		f.core.OnLoadReply(w.now, o.ID, m.result, copies)
	case "drain":
		f.drained[m.n] = true
		wk := smallWorkers[m.n]
		wk.State = control.Draining
		f.core.OnEndpointUpdate(w.now, false, []control.Worker{wk})
	}
	w.check()
}

// pass lets time go on to the next deadline.
func (w *smallWorld) pass() {
	w.now = max(min(w.fronts[0].core.NextTimer(), w.fronts[1].core.NextTimer()), w.now+0.001)
	for _, f := range w.fronts {
		if f.core.NextTimer() <= w.now {
			f.history = fmt.Appendf(f.history, "time %.6f;", w.now)
			f.core.Tick(w.now)
		}
	}
	w.check()
}

func (w *smallWorld) check() {
	for i, a := range smallAsks {
		if w.asked[i] && w.got[i] == 0 && !w.hung[i] && w.now > w.at[i]+a.wait {
			w.fault("rule 1: ask %d has no answer %.3f s after its time", i, w.now-w.at[i]-a.wait)
		}
	}
	for _, f := range w.fronts {
		if err := f.core.Check(true); err != nil {
			w.fault("front %d: %v", f.no, err)
		}
	}
}

// key knows a world by what each front end was told and when.
func (w *smallWorld) key() [32]byte {
	return sha256.Sum256(fmt.Appendf(nil, "%s|%s|%.6f", w.fronts[0].history, w.fronts[1].history, w.now))
}

// Explore goes every way of so many moves, as far as it leads to so many worlds, and lets each end by itself.
func Explore(depth, most int) *Explored {
	x := &Explored{Depth: depth, Whole: true}
	seen := map[[32]byte]int{} // worlds, with how many moves were left when they were gone through
	var path []move
	replay := func() *smallWorld {
		w := newSmallWorld()
		for _, m := range path {
			w.do(m)
		}
		return w
	}
	broke := func(w *smallWorld, last string) bool {
		if len(w.broke) == 0 {
			return false
		}
		var words []string
		for _, m := range path {
			words = append(words, m.String())
		}
		if len(x.Broke) < 10 {
			x.Broke = append(x.Broke, w.broke[0]+", after "+strings.Join(append(words, last), ", "))
		}
		return true
	}
	var visit func(left int)
	visit = func(left int) {
		w := replay()
		if broke(w, "") {
			return
		}
		key := w.key()
		if n, known := seen[key]; known && n >= left {
			x.Merged++
			return
		} else if !known {
			x.States++
		}
		seen[key] = left
		if x.States >= most {
			x.Whole = false
			return
		}
		if left == 0 {
			x.Ways++
			for end := w.now + 2*smallAge; w.now < end && len(w.broke) == 0; {
				w.pass()
			}
			for i := range smallAsks {
				if w.asked[i] && !w.hung[i] && w.got[i] != 1 {
					w.fault("rule 1: ask %d has %d answers in the end", i, w.got[i])
				}
			}
			broke(w, "and nothing more")
			return
		}
		for _, m := range w.moves() {
			path = append(path, m)
			visit(left - 1)
			path = path[:len(path)-1]
		}
	}
	visit(depth)
	return x
}
