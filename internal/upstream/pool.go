package upstream

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

// Limits of the connections to workers; times in seconds.
type Limits struct {
	DialTimeout  float64 // a connection that is not up by then counts as unreachable
	IdleTimeout  float64 // an idle connection is closed after this
	MaxPerWorker int     // connections to one worker, those being dialed included
	Message      http1.Limits
	Via          string // the front end's name
}

// ConnID is the number of one connection; it is never used again.
type ConnID uint64

// Transport carries the pool's bytes. It must not call back into the pool before a method returns.
type Transport interface {
	Dial(c ConnID, addr string)
	Write(c ConnID, data []byte)
	Close(c ConnID) // no Closed follows
}

// Results takes what came back. It may call Launch, Load and Abandon of the pool.
type Results interface {
	OnAttemptReply(job uint64, r dispatch.WorkerReply)
	OnLoadReply(job uint64, res control.Outcome, copies int)
}

type job struct {
	no     uint64
	wk     control.WorkerID
	data   []byte
	load   bool
	digest string // that a load order asks for
	conn   *conn
	sent   bool // bytes of it may have reached the worker
}

type conn struct {
	no     ConnID
	wk     control.WorkerID
	addr   string
	up     bool
	job    *job
	since  float64 // when the dial began, or when it fell idle
	queued bool
	in     *http1.Framer
}

// Pool is the state of one front end's connections: one request at a time on each. It tells apart what was never
// sent from what may have run. It is not safe for use by two goroutines.
type Pool struct {
	limits Limits
	wire   Transport
	sink   Results
	next   ConnID
	addr   map[control.WorkerID]string
	shut   map[control.WorkerID]bool // draining or gone: nothing that is not sent yet goes there
	conns  map[ConnID]*conn
	idle   map[control.WorkerID][]*conn // newest last
	held   map[control.WorkerID]int
	jobs   map[uint64]*job
	queue  []*conn // dialing or idle, in the order they fell so; entries may be stale
	failed []*job  // could not be sent, told at the next Flush
}

func NewPool(l Limits, wire Transport, sink Results) *Pool {
	return &Pool{limits: l, wire: wire, sink: sink, addr: map[control.WorkerID]string{},
		shut: map[control.WorkerID]bool{}, conns: map[ConnID]*conn{}, idle: map[control.WorkerID][]*conn{},
		held: map[control.WorkerID]int{}, jobs: map[uint64]*job{}}
}

// Len is how many connections are open or being dialed.
func (p *Pool) Len() int { return len(p.conns) }

// SetEndpoints takes the workers' addresses. What waits for a connection to one that drains, left or moved is given back
// as never sent; its idle connections are closed.
func (p *Pool) SetEndpoints(list *EndpointList) {
	for _, wk := range slices.Sorted(maps.Keys(p.addr)) {
		if list.Addresses[wk] != p.addr[wk] {
			p.leave(wk)
			delete(p.shut, wk)
		}
	}
	p.addr = list.Addresses
	for _, wk := range list.Workers {
		if wk.State == control.Serving {
			delete(p.shut, wk.ID)
		} else if !p.shut[wk.ID] {
			p.shut[wk.ID] = true
			p.leave(wk.ID)
		}
	}
}

func (p *Pool) leave(wk control.WorkerID) {
	for _, c := range p.idle[wk] {
		p.close(c)
	}
	delete(p.idle, wk)
	for _, c := range p.queue { // what is being dialed stands there
		if c.wk == wk && !c.up && p.conns[c.no] == c {
			j := c.job
			p.close(c)
			if j != nil {
				p.never(j)
			}
		}
	}
}

// SendAttempt sends a launch over an idle connection or a new one.
func (p *Pool) SendAttempt(now float64, l dispatch.Attempt) {
	p.send(now, &job{no: l.ID, wk: l.Worker, data: InferRequest(p.addr[l.Worker], p.limits.Via, l)})
}

// SendLoad sends a load order likewise.
func (p *Pool) SendLoad(now float64, o dispatch.LoadCommand) {
	p.send(now, &job{no: o.ID, wk: o.Worker, data: LoadRequest(p.addr[o.Worker], p.limits.Via, o), load: true, digest: o.Binding.Digest})
}

func (p *Pool) send(now float64, j *job) {
	p.jobs[j.no] = j
	addr := p.addr[j.wk]
	if addr == "" || p.shut[j.wk] {
		p.never(j)
		return
	}
	if idle := p.idle[j.wk]; len(idle) > 0 {
		c := idle[len(idle)-1]
		p.idle[j.wk] = idle[:len(idle)-1]
		p.write(c, j)
		return
	}
	if p.held[j.wk] >= p.limits.MaxPerWorker {
		p.never(j)
		return
	}
	p.next++
	c := &conn{no: p.next, wk: j.wk, addr: addr, job: j, since: now, in: http1.NewResponses(p.limits.Message)}
	j.conn = c
	p.conns[c.no] = c
	p.held[c.wk]++
	p.watch(c)
	p.wire.Dial(c.no, addr)
}

func (p *Pool) write(c *conn, j *job) {
	c.job, j.conn, j.sent = j, c, true
	p.wire.Write(c.no, j.data)
	j.data = nil
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
			p.end(j, dispatch.WorkerReply{Outcome: control.Unreachable})
		}
	}
}

func (p *Pool) end(j *job, r dispatch.WorkerReply) {
	if p.jobs[j.no] != j {
		return
	}
	delete(p.jobs, j.no)
	if j.load {
		p.sink.OnLoadReply(j.no, r.Outcome, 0)
	} else {
		p.sink.OnAttemptReply(j.no, r)
	}
}

// OnDialed tells how a dial ended.
func (p *Pool) OnDialed(now float64, no ConnID, err error) {
	c := p.conns[no]
	if c == nil {
		if err == nil {
			p.wire.Close(no) // given up meanwhile
		}
		return
	}
	if c.up {
		return
	}
	if err != nil {
		j := c.job
		p.drop(c)
		if j != nil {
			p.end(j, dispatch.WorkerReply{Outcome: control.Unreachable})
		}
		return
	}
	c.up = true
	if c.job == nil {
		p.rest(now, c)
		return
	}
	p.write(c, c.job)
}

// CancelUnsent takes a launch back of which nothing has left; false where something may have. A dial goes on for the next
// one.
func (p *Pool) CancelUnsent(no uint64) bool {
	j := p.jobs[no]
	if j == nil || j.sent {
		return false
	}
	delete(p.jobs, no)
	if j.conn != nil {
		j.conn.job = nil
	}
	return true
}

// Abandon gives a launch up: its connection is closed, which tells the worker that nobody waits.
func (p *Pool) Abandon(now float64, no uint64) {
	j := p.jobs[no]
	if j == nil {
		return
	}
	delete(p.jobs, no)
	c := j.conn
	if c == nil {
		return
	}
	if !c.up { // the dial goes on for the next one
		c.job = nil
		return
	}
	p.close(c)
}

// OnData takes bytes from a worker.
func (p *Pool) OnData(now float64, no ConnID, data []byte) {
	c := p.conns[no]
	if c == nil || !c.up {
		return
	}
	if c.job == nil { // bytes that nobody asked for would pass for the next answer
		p.unlist(c)
		p.close(c)
		return
	}
	c.in.Feed(data)
	m, err := c.in.Next()
	if m == nil && err == nil {
		return
	}
	p.answered(now, c, m, err)
}

func (p *Pool) answered(now float64, c *conn, m *http1.Message, err error) {
	j := c.job
	c.job = nil
	if err != nil || m.Close || !c.in.Idle() || p.shut[c.wk] {
		p.close(c)
	} else {
		p.rest(now, c)
	}
	switch {
	case err != nil: // an answer that can't be read: it may have run
		p.end(j, dispatch.WorkerReply{Outcome: control.ConnectionLost})
	case j.load:
		delete(p.jobs, j.no)
		res, copies := ParseLoadResponse(m, j.digest)
		p.sink.OnLoadReply(j.no, res, copies)
	default:
		p.end(j, ParseInferResponse(m))
	}
}

// OnClosed tells that a connection closed or broke.
func (p *Pool) OnClosed(now float64, no ConnID) {
	c := p.conns[no]
	if c == nil {
		return
	}
	j := c.job
	if m, err := c.in.End(); j != nil && err == nil && m != nil {
		p.answered(now, c, m, nil)
		return
	}
	p.unlist(c)
	p.drop(c)
	if j == nil {
		return
	}
	// A request of which bytes were handed to the kernel may have been read, whether an answer began or not.
	if j.sent {
		p.end(j, dispatch.WorkerReply{Outcome: control.ConnectionLost})
	} else {
		p.end(j, dispatch.WorkerReply{Outcome: control.Unreachable})
	}
}

func (p *Pool) rest(now float64, c *conn) {
	c.since = now
	p.idle[c.wk] = append(p.idle[c.wk], c)
	p.watch(c)
}

func (p *Pool) watch(c *conn) {
	if !c.queued {
		c.queued = true
		p.queue = append(p.queue, c)
	}
}

func (p *Pool) unlist(c *conn) {
	list := p.idle[c.wk]
	for i := range list {
		if list[i] == c {
			p.idle[c.wk] = append(list[:i], list[i+1:]...)
			return
		}
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
	if p.held[c.wk]--; p.held[c.wk] == 0 {
		delete(p.held, c.wk)
		delete(p.idle, c.wk)
	}
}

// Tick closes what has been idle too long and gives up slow dials.
func (p *Pool) Tick(now float64) {
	kept := p.queue[:0]
	for _, c := range p.queue {
		switch {
		case p.conns[c.no] != c || c.up && c.job != nil:
			c.queued = false
		case !c.up && now-c.since >= p.limits.DialTimeout:
			j := c.job
			p.close(c)
			if j != nil {
				p.never(j)
			}
		case c.up && now-c.since >= p.limits.IdleTimeout:
			p.unlist(c)
			p.close(c)
		default:
			kept = append(kept, c)
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// CloseAll closes every connection; jobs that are out are told as broken.
func (p *Pool) CloseAll(now float64) {
	for _, no := range slices.Sorted(maps.Keys(p.conns)) {
		c := p.conns[no]
		j := c.job
		p.close(c)
		if j != nil {
			p.end(j, dispatch.WorkerReply{Outcome: control.ConnectionLost})
		}
	}
}

// Check tells of state that contradicts itself; it is for tests.
func (p *Pool) Check() error {
	var errs []error
	n := 0
	for wk, list := range p.idle {
		for _, c := range list {
			if c.job != nil || !c.up || p.conns[c.no] != c {
				errs = append(errs, fmt.Errorf("worker %s: connection %d rests but is not idle", wk, c.no))
			}
		}
	}
	for _, held := range p.held {
		n += held
	}
	if n != len(p.conns) {
		errs = append(errs, fmt.Errorf("%d connections held, %d known", n, len(p.conns)))
	}
	return errors.Join(errs...)
}
