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
	Dial    float64 // a connection that is not up by then counts as unreachable
	Idle    float64 // an idle connection is closed after this
	Most    int     // connections to one worker, those being dialed included
	Message http1.Limits
	Via     string // the front end's name
}

// Conn is the number of one connection; it is never used again.
type Conn uint64

// Wire carries the pool's bytes. It must not call back into the pool before a method returns.
type Wire interface {
	Dial(c Conn, addr string)
	Write(c Conn, data []byte)
	Close(c Conn) // no Closed follows
}

// Sink takes what came back. It may call Launch, Load and Abandon of the pool.
type Sink interface {
	Launched(job uint64, r dispatch.Reply)
	Loaded(job uint64, res control.Result, copies int)
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
	no     Conn
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
	wire   Wire
	sink   Sink
	next   Conn
	addr   map[control.WorkerID]string
	shut   map[control.WorkerID]bool // draining or gone: nothing that is not sent yet goes there
	conns  map[Conn]*conn
	idle   map[control.WorkerID][]*conn // newest last
	held   map[control.WorkerID]int
	jobs   map[uint64]*job
	queue  []*conn // dialing or idle, in the order they fell so; entries may be stale
	failed []*job  // could not be sent, told at the next Flush
}

func NewPool(l Limits, wire Wire, sink Sink) *Pool {
	return &Pool{limits: l, wire: wire, sink: sink, addr: map[control.WorkerID]string{},
		shut: map[control.WorkerID]bool{}, conns: map[Conn]*conn{}, idle: map[control.WorkerID][]*conn{},
		held: map[control.WorkerID]int{}, jobs: map[uint64]*job{}}
}

// Conns is how many connections are open or being dialed.
func (p *Pool) Conns() int { return len(p.conns) }

// List takes the workers' addresses. What waits for a connection to one that drains, left or moved is given back
// as never sent; its idle connections are closed.
func (p *Pool) List(list *Listed) {
	for _, wk := range slices.Sorted(maps.Keys(p.addr)) {
		if list.Address[wk] != p.addr[wk] {
			p.leave(wk)
			delete(p.shut, wk)
		}
	}
	p.addr = list.Address
	for _, wk := range list.Workers {
		if wk.Phase == control.Serving {
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

// Launch sends a launch over an idle connection or a new one.
func (p *Pool) Launch(now float64, l dispatch.Launch) {
	p.send(now, &job{no: l.Job, wk: l.Worker, data: Infer(p.addr[l.Worker], p.limits.Via, l)})
}

// Load sends a load order likewise.
func (p *Pool) Load(now float64, o dispatch.Order) {
	p.send(now, &job{no: o.Job, wk: o.Worker, data: Load(p.addr[o.Worker], p.limits.Via, o), load: true, digest: o.Binding.Digest})
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
	if p.held[j.wk] >= p.limits.Most {
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
			p.end(j, dispatch.Reply{Result: control.Unreachable})
		}
	}
}

func (p *Pool) end(j *job, r dispatch.Reply) {
	if p.jobs[j.no] != j {
		return
	}
	delete(p.jobs, j.no)
	if j.load {
		p.sink.Loaded(j.no, r.Result, 0)
	} else {
		p.sink.Launched(j.no, r)
	}
}

// Dialed tells how a dial ended.
func (p *Pool) Dialed(now float64, no Conn, err error) {
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
			p.end(j, dispatch.Reply{Result: control.Unreachable})
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

// Withdraw takes a launch back of which nothing has left; false where something may have. A dial goes on for the next
// one.
func (p *Pool) Withdraw(no uint64) bool {
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

// Data takes bytes from a worker.
func (p *Pool) Data(now float64, no Conn, data []byte) {
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
		p.end(j, dispatch.Reply{Result: control.Broken})
	case j.load:
		delete(p.jobs, j.no)
		res, copies := Stand(m, j.digest)
		p.sink.Loaded(j.no, res, copies)
	default:
		p.end(j, Answer(m))
	}
}

// Closed tells that a connection closed or broke.
func (p *Pool) Closed(now float64, no Conn) {
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
		p.end(j, dispatch.Reply{Result: control.Broken})
	} else {
		p.end(j, dispatch.Reply{Result: control.Unreachable})
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
		case !c.up && now-c.since >= p.limits.Dial:
			j := c.job
			p.close(c)
			if j != nil {
				p.never(j)
			}
		case c.up && now-c.since >= p.limits.Idle:
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
			p.end(j, dispatch.Reply{Result: control.Broken})
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
