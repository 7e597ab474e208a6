package upstream

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/upstream"
)

// Limits of the connections to workers; times in seconds.
type Limits struct {
	DialTimeout         float64 // a connection that is not up by then counts as unreachable
	IdleTimeout         float64 // an idle connection is closed after this
	MaxTotal            int     // connections to all workers, those being dialed included
	MaxPerWorker        int     // and to one worker, while it shares them out
	MaxStreams          int     // launches that one connection carries at a time
	IdempotencyKeyField string  // field of a launch that is the mark by which workers know repeats
}

// Transport carries the pool's bytes. It must not call back into the pool before a method returns.
type Transport interface {
	upstream.Transport
	Unsent(c upstream.ConnID) int // bytes that were written and have not left
}

type job struct {
	no      uint64
	id      uint64 // as the worker knows it
	wk      control.WorkerID
	data    []byte
	load    bool
	conn    *conn
	sent    bool // bytes of it may have reached the worker
	startAt float64
}

// usedMost is how many ids lately answered a connection remembers.
const usedMost = 32

type conn struct {
	no    upstream.ConnID
	wk    control.WorkerID
	up    bool
	jobs  map[uint64]*job // by id; before it is up, those that wait
	wait  []*job          // in the order they came
	since float64         // when the dial began, or when it fell idle
	in    framer
	used  [usedMost]uint64
	nused int
	old   bool // its worker drains, is gone or began anew: nothing more goes out on it
}

// Pool is the state of one front end's connections, each with several launches at a time. It tells apart what was never
// sent, what is proven not to have run and what may have run. It is not safe for use by two goroutines.
type Pool struct {
	limits Limits
	wire   Transport
	sink   upstream.Results
	next   upstream.ConnID
	list   *upstream.EndpointList
	born   map[control.WorkerID]float64
	open   map[control.WorkerID]bool // in the list and serving
	conns  map[upstream.ConnID]*conn
	of     map[control.WorkerID][]*conn // in the order they were dialed
	jobs   map[uint64]*job
	failed []*job // could not be sent, told at the next Flush
	orders uint64
}

// NewPool makes a pool without workers.
func NewPool(l Limits, wire Transport, sink upstream.Results) *Pool {
	return &Pool{limits: l, wire: wire, sink: sink, list: &upstream.EndpointList{}, born: map[control.WorkerID]float64{},
		open: map[control.WorkerID]bool{}, conns: map[upstream.ConnID]*conn{}, of: map[control.WorkerID][]*conn{},
		jobs: map[uint64]*job{}}
}

// Len is how many connections are open or being dialed.
func (p *Pool) Len() int { return len(p.conns) }

// SetEndpoints takes the list of workers. What waits for a connection to one that drains, is gone or began anew is given back
// as never sent; connections without launches are closed, others once theirs have ended. Connections belong to a
// worker and not to its address, which another may take.
func (p *Pool) SetEndpoints(list *upstream.EndpointList) {
	open, born := map[control.WorkerID]bool{}, map[control.WorkerID]float64{}
	for _, wk := range list.Workers {
		open[wk.ID], born[wk.ID] = wk.State == control.Serving, wk.StartedAt
	}
	for _, id := range slices.Sorted(maps.Keys(p.of)) {
		if !open[id] || born[id] != p.born[id] || list.Addresses[id] != p.list.Addresses[id] {
			p.leave(id)
		}
	}
	p.list, p.open, p.born = list, open, born
}

func (p *Pool) leave(wk control.WorkerID) {
	for _, c := range slices.Clone(p.of[wk]) {
		c.old = true
		for _, j := range c.wait {
			delete(c.jobs, j.id)
			p.never(j)
		}
		c.wait = nil
		if len(c.jobs) == 0 {
			p.close(c)
		}
	}
}

// SendAttempt sends a launch. Its id at the worker is the event's own.
func (p *Pool) SendAttempt(now float64, l dispatch.Attempt) {
	id, err := strconv.ParseUint(l.Identity.ID, 16, 64)
	j := &job{no: l.ID, id: id, wk: l.Worker, startAt: now}
	if err != nil {
		p.jobs[j.no] = j
		p.never(j)
		return
	}
	fields := "queue=" + l.Class + ",path=" + l.Function + ",budget=" + strconv.FormatFloat(max(l.Timeout, 0.001)*1000, 'f', 0, 64)
	for _, f := range l.Fields {
		if f.Name == p.limits.IdempotencyKeyField && f.Value != "" {
			fields += ",uniq=" + f.Value
		}
	}
	j.data = putFrame(nil, cmdLaunch, id, fields, l.Body)
	p.send(now, j)
}

// SendLoad sends a load order, or with no copies wanted an order to unload idle ones, which is not
// answered, and is dropped where no connection is up.
func (p *Pool) SendLoad(now float64, o dispatch.LoadCommand) {
	if o.Replicas <= 0 {
		fn, err := strconv.ParseUint(o.Function, 16, 64)
		if c := p.pick(now, o.Worker, 0); err == nil && c != nil && c.up {
			p.wire.Write(c.no, putFrame(nil, cmdUnload, fn, "", nil))
		}
		return
	}
	p.orders++
	j := &job{no: o.ID, id: p.orders | 1<<63, wk: o.Worker, load: true, startAt: now}
	j.data = putFrame(nil, cmdHold, j.id, "path="+o.Function+",slots_up="+strconv.Itoa(o.Replicas), nil)
	p.send(now, j)
}

func (p *Pool) send(now float64, j *job) {
	p.jobs[j.no] = j
	c := p.pick(now, j.wk, j.id)
	if c == nil {
		p.never(j)
		return
	}
	j.conn = c
	c.jobs[j.id] = j
	if !c.up {
		c.wait = append(c.wait, j)
		return
	}
	p.write(c, j)
}

func (p *Pool) write(c *conn, j *job) {
	j.sent = true
	p.wire.Write(c.no, j.data)
	j.data = nil
}

// pick is the connection for one more launch: an idle one; else a new one while the worker may have more, so that a
// reset harms few; else the one with the fewest. One on which the id was in use lately is passed over: a late or
// second answer of the earlier launch would be taken for that of the next.
func (p *Pool) pick(now float64, wk control.WorkerID, id uint64) *conn {
	if !p.open[wk] {
		return nil
	}
	var best *conn
	n := 0
	for _, c := range p.of[wk] {
		if c.old {
			continue
		}
		n++
		if len(c.jobs) >= p.limits.MaxStreams || c.jobs[id] != nil || slices.Contains(c.used[:min(c.nused, usedMost)], id) || c.up && p.wire.Unsent(c.no) > 0 {
			continue
		}
		if best == nil || len(c.jobs) < len(best.jobs) {
			best = c
		}
	}
	if best != nil && (len(best.jobs) == 0 || n >= p.limits.MaxPerWorker) || len(p.conns) >= p.limits.MaxTotal {
		return best
	}
	p.next++
	c := &conn{no: p.next, wk: wk, since: now, jobs: map[uint64]*job{}}
	p.conns[c.no] = c
	p.of[wk] = append(p.of[wk], c)
	p.wire.Dial(c.no, p.list.Addresses[wk])
	return c
}

// never notes a job that can't be sent; it is told at Flush, not from within the call that asked for it.
func (p *Pool) never(j *job) { p.failed = append(p.failed, j) }

// Pending tells that Flush has something to tell.
func (p *Pool) Pending() bool { return len(p.failed) > 0 }

// Flush tells of jobs that could not be sent.
func (p *Pool) Flush() {
	for len(p.failed) > 0 {
		list := p.failed
		p.failed = nil
		for _, j := range list {
			p.end(j, dispatch.WorkerReply{Outcome: control.Unreachable}, 0)
		}
	}
}

func (p *Pool) end(j *job, r dispatch.WorkerReply, copies int) {
	if p.jobs[j.no] != j {
		return
	}
	delete(p.jobs, j.no)
	if j.load {
		p.sink.OnLoadReply(j.no, r.Outcome, copies)
	} else {
		p.sink.OnAttemptReply(j.no, r)
	}
}

// OnDialed tells how a dial ended.
func (p *Pool) OnDialed(now float64, no upstream.ConnID, err error) {
	c := p.conns[no]
	switch {
	case c == nil && err == nil:
		p.wire.Close(no) // given up meanwhile
		return
	case c == nil || c.up:
		return
	case err != nil:
		p.drop(c)
		p.lose(c)
		return
	}
	c.up, c.since = true, now
	wait := c.wait
	c.wait = nil
	for _, j := range wait {
		p.write(c, j)
	}
	p.rest(now, c)
}

// rest closes a connection that nothing may go out on any more, once nothing is open on it.
func (p *Pool) rest(now float64, c *conn) {
	if len(c.jobs) > 0 {
		return
	}
	c.since = now
	if c.old {
		p.close(c)
	}
}

// lose ends what was open on a connection that is no more. What had begun to leave may have run.
func (p *Pool) lose(c *conn) {
	jobs := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return int(int64(a.no - b.no)) })
	clear(c.jobs)
	for _, j := range jobs {
		if j.sent {
			p.end(j, dispatch.WorkerReply{Outcome: control.ConnectionLost}, 0)
		} else {
			p.end(j, dispatch.WorkerReply{Outcome: control.Unreachable}, 0)
		}
	}
}

// CancelUnsent takes a launch back of which nothing has left; false where something may have. A dial goes on for the next
// one.
func (p *Pool) CancelUnsent(no uint64) bool {
	j := p.jobs[no]
	if j == nil || j.sent {
		return false
	}
	p.forget(j)
	return true
}

func (p *Pool) forget(j *job) {
	delete(p.jobs, j.no)
	if c := j.conn; c != nil && c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		c.wait = slices.DeleteFunc(c.wait, func(w *job) bool { return w == j })
		c.ended(j.id)
	}
}

func (c *conn) ended(id uint64) {
	c.used[c.nused%usedMost] = id
	c.nused++
}

// Abandon gives a launch up and tells the worker that nobody waits. Where a part of it still waits in our own buffers,
// its connection ends instead: it must not leave any more.
func (p *Pool) Abandon(now float64, no uint64) {
	j := p.jobs[no]
	if j == nil {
		return
	}
	p.forget(j)
	c := j.conn
	switch {
	case c == nil || p.conns[c.no] != c:
		return
	case j.sent && p.wire.Unsent(c.no) > 0:
		p.close(c)
		p.lose(c)
		return
	case j.sent && !j.load:
		p.wire.Write(c.no, putFrame(nil, cmdGiveUp, j.id, "", nil))
	}
	p.rest(now, c)
}

// OnData takes bytes from a worker.
func (p *Pool) OnData(now float64, no upstream.ConnID, data []byte) {
	c := p.conns[no]
	if c == nil || !c.up {
		return
	}
	c.in.feed(data)
	for p.conns[no] == c {
		f, ok, err := c.in.next()
		if err != nil { // nothing that follows can be told apart, nor what was open answered
			p.close(c)
			p.lose(c)
			return
		}
		if !ok {
			break
		}
		p.answered(now, c, f)
	}
	c.in.settle()
}

var results = map[byte]control.Outcome{ansOK: control.Succeeded, ansMiss: control.ReplicaMissing, ansFull: control.Rejected,
	ansError: control.Failed, ansOver: control.NotSent}

var warmths = map[string]control.StartType{"hit": control.WarmStart, "spawn": control.ColdStart,
	"pending": control.JoinedColdStart, "spawn_failed": control.StartFailed}

// answered takes one whole answer. One under an id that is not open is passed over: it came late, twice or ahead.
func (p *Pool) answered(now float64, c *conn, f frame) {
	j := c.jobs[f.id]
	res, known := results[f.code]
	if j == nil || !known {
		return
	}
	delete(c.jobs, f.id)
	c.ended(f.id)
	if j.load {
		p.end(j, dispatch.WorkerReply{Outcome: res}, whole(f.fields, "slots_up"))
	} else {
		r := dispatch.WorkerReply{Outcome: res, Start: warmths[value(f.fields, "detail")]}
		if f.code == ansOK {
			r.Body = slices.Clone(f.body)
		}
		p.end(j, r, 0)
	}
	if p.conns[c.no] == c {
		p.rest(now, c)
	}
}

// OnClosed tells that a connection closed or broke. What was cut off in mid-answer is worth nothing.
func (p *Pool) OnClosed(now float64, no upstream.ConnID) {
	if c := p.conns[no]; c != nil {
		p.drop(c)
		p.lose(c)
	}
}

func (p *Pool) close(c *conn) {
	p.drop(c)
	p.wire.Close(c.no)
}

func (p *Pool) drop(c *conn) {
	if p.conns[c.no] != c {
		return
	}
	delete(p.conns, c.no)
	list := slices.DeleteFunc(p.of[c.wk], func(o *conn) bool { return o == c })
	if p.of[c.wk] = list; len(list) == 0 {
		delete(p.of, c.wk)
	}
}

// Tick closes what has been idle too long and gives up slow dials.
func (p *Pool) Tick(now float64) {
	for _, no := range slices.Sorted(maps.Keys(p.conns)) {
		switch c := p.conns[no]; {
		case c == nil:
		case !c.up && now-c.since >= p.limits.DialTimeout:
			p.close(c)
			p.lose(c)
		case c.up && len(c.jobs) == 0 && now-c.since >= p.limits.IdleTimeout:
			p.close(c)
		}
	}
}

// CloseAll closes every connection; jobs that are out are told as broken.
func (p *Pool) CloseAll(now float64) {
	for _, no := range slices.Sorted(maps.Keys(p.conns)) {
		if c := p.conns[no]; c != nil {
			p.close(c)
			p.lose(c)
		}
	}
}

// Check tells of state that contradicts itself; it is for tests.
func (p *Pool) Check() error {
	var errs []error
	n := 0
	for wk, list := range p.of {
		n += len(list)
		for _, c := range list {
			if c.wk != wk || p.conns[c.no] != c {
				errs = append(errs, fmt.Errorf("worker %s: connection %d is out of place", wk, c.no))
			}
			for id, j := range c.jobs {
				if j.id != id || j.conn != c || p.jobs[j.no] != j {
					errs = append(errs, fmt.Errorf("worker %s: job %d is out of place", wk, j.no))
				}
			}
		}
	}
	if n != len(p.conns) {
		errs = append(errs, fmt.Errorf("%d connections of workers, %d known", n, len(p.conns)))
	}
	return errors.Join(errs...)
}
