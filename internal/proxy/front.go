// Package proxy is one front end without its sockets and its clock: the clients' sessions, the core, the
// connections to workers, the list of workers, and what waits for the disk. It is called on one goroutine, with what
// came in, and calls out through Host. netloop gives it real sockets; sim gives it a world of its own. Where an event
// runs is decided in control and nowhere here.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"slices"
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	fronthttp "streamcleat/internal/ingress/http"
	"streamcleat/internal/upstream"
)

// Settings of one front end. Times are seconds.
type Settings struct {
	Name             string // for Proxy-Status and logs
	Cluster          string // datagrams of another cluster are dropped
	Dispatch         dispatch.Settings
	Upstream         upstream.Limits
	Downstream       fronthttp.Limits
	MaxClients       int                                                // client connections; past it new ones are closed
	EvictIdleClients bool                                               // the client connection idle longest goes instead
	NewSession       func(t RequestHandler, now float64) Session        // a client's connection; nil: the HTTP front
	NewPool          func(w Transport, s upstream.Results) UpstreamPool // connections to workers; nil: Open Inference Protocol
	Log              *slog.Logger
	RecordStore      RecordStore                              // keeps what must outlive the process; nil: nothing does
	RecordTimeout    float64                                  // an answer waits no longer than this for its note
	Recovered        []dispatch.RecoveredRecord               // what an earlier process noted
	ReplicaSnapshots []dispatch.ReplicaSnapshot               // copies that it believed in, with their ages at the start
	OnRequestEnd     func(dispatch.Response, *dispatch.Trace) // called on the loop for each ended event; may be nil
}

// RecordStore keeps notes on disk.
type RecordStore interface {
	// Commit keeps notes and then calls done once, from any goroutine. A Front has one commit out at a time; what is
	// noted meanwhile goes into the next.
	Commit(notes []dispatch.Record, done func(error))
}

// RequestHandler takes events on behalf of a session.
type RequestHandler = fronthttp.RequestHandler

// Session is what one client connection says and is told, in whatever protocol. It has no socket and no clock.
type Session interface {
	Feed(now float64, wall time.Time, data []byte)
	Respond(now float64, slot uint64, a dispatch.Response) // the final answer to what Taker.Take took
	Advance(now float64)                                   // after answers came
	Output() []byte                                        // what is to be sent
	Done() bool                                            // the connection is to be closed once all output is sent
	Tick(now float64) bool                                 // tells whether there is output, or an end, since
	Drain()                                                // no more events; those that wait are answered
	Disconnected()                                         // the client left
	Idle() (since float64, free bool)                      // nothing is open or half read, and since when
}

// Transport carries the bytes of Backends.
type Transport interface {
	upstream.Transport
	Unsent(c upstream.ConnID) int // bytes that were written and have not left
}

// UpstreamPool are the connections to workers, in whatever protocol. It has no socket and no clock.
type UpstreamPool interface {
	SetEndpoints(list *upstream.EndpointList)
	SendAttempt(now float64, l dispatch.Attempt)
	SendLoad(now float64, o dispatch.LoadCommand)
	CancelUnsent(job uint64) bool
	Abandon(now float64, job uint64)
	OnDialed(now float64, c upstream.ConnID, err error)
	OnData(now float64, c upstream.ConnID, data []byte)
	OnClosed(now float64, c upstream.ConnID)
	Tick(now float64)
	Pending() bool
	Flush()
	CloseAll(now float64)
	Len() int
	Check() error
}

// Host is what a front end stands on.
type Host interface {
	Now() float64        // seconds that never go back
	Wall() time.Time     // time of day; it may jump
	SetTimer(at float64) // Tick is wanted then; an earlier wish is void
	After(seconds float64, f func())
	Post(f func())                        // runs f on the front end's goroutine, soon; from any goroutine
	Dial(no upstream.ConnID, addr string) // Dialed follows, at once or later
	Broadcast(datagram []byte)            // to every other front end; a datagram may be lost
}

// Conn is one connection as the host has it. Close is final: nothing is told of it after.
type Conn interface {
	Write(data []byte)
	Close()
	CloseWrite() // closes our side behind what was written; the other side is still read
	Unsent() int // bytes written that have not left
	// ReadAhead hands out bytes that came and were not handed over yet, or nil; open is false where the connection has
	// ended. For clients only.
	ReadAhead() (data []byte, open bool)
	Name() string
}

// Client is one client connection.
type Client struct {
	c       Conn
	at      int // in the list of clients
	session Session
	slots   map[uint64]dispatch.WaiterID
	dirty   bool
	leaving bool    // our side is to be closed behind its last answer
	shut    float64 // when our side was closed; 0 before
	late    int     // bytes that came since
	gone    bool
}

// op is something that the pool asked to be done on a connection.
type op struct {
	conn  upstream.ConnID
	data  []byte
	close bool
}

type source struct {
	cl   *Client
	slot uint64
}

// Proxy is the state of one front end.
type Proxy struct {
	set      Settings
	host     Host
	log      *slog.Logger
	core     *dispatch.Dispatcher
	pool     UpstreamPool
	listed   *upstream.EndpointList       // as the file has it
	offset   float64                      // from Unix seconds to the host's clock, when it was read
	stated   map[control.WorkerID]float64 // when workers started, in Unix seconds as the file has it
	readAt   float64                      // on the host's clock
	list     *upstream.EndpointList       // in force
	drained  map[control.WorkerID]bool    // by order
	unload   uint64                       // numbers of unload orders, from the top down
	clients  []*Client
	backends map[upstream.ConnID]Conn
	askers   map[dispatch.WaiterID]source
	inside   map[dispatch.WaiterID]func(dispatch.Response) // askers within the process
	asker    dispatch.WaiterID
	ops      []op
	keep     keep
	refused  []uint64 // launches whose notes can't be taken
	waited   []held   // launches of events that waited, until their clients' input is read
	lost     []dispatch.Response
	born     float64 // on the clock
	dirty    []*Client
	settling bool
	draining bool
	armed    float64
	header   [8]byte // of datagrams
}

const (
	lingerFor = 1.0     // seconds for which a client may still read after the last answer
	lateMost  = 1 << 20 // bytes that it may send meanwhile
)

// SweepEvery is the pause, in seconds, at which Sweep wants to be called.
const SweepEvery = 0.1

// New makes a front end that serves from now on.
func New(set Settings, host Host) *Proxy {
	if set.Log == nil {
		set.Log = slog.New(slog.DiscardHandler)
	}
	f := &Proxy{set: set, host: host, log: set.Log, backends: map[upstream.ConnID]Conn{}, askers: map[dispatch.WaiterID]source{},
		inside: map[dispatch.WaiterID]func(dispatch.Response){}, drained: map[control.WorkerID]bool{}, born: host.Now()}
	copy(f.header[:], "SCL1")
	sum := crc32.ChecksumIEEE([]byte(set.Cluster))
	f.header[4], f.header[5], f.header[6], f.header[7] = byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24)
	if f.set.NewPool == nil {
		f.set.NewPool = func(w Transport, s upstream.Results) UpstreamPool { return upstream.NewPool(set.Upstream, w, s) }
	}
	if f.set.NewSession == nil {
		f.set.NewSession = func(t RequestHandler, now float64) Session {
			return fronthttp.NewSession(set.Downstream, set.Name, t, now)
		}
	}
	f.pool = f.set.NewPool((*wire)(f), (*sink)(f))
	f.core = dispatch.New(set.Dispatch, (*outside)(f), f.born)
	f.lost = f.core.Recover(f.born, set.Recovered)
	f.set.Recovered = nil
	f.arm()
	return f
}

// Lost are events of an earlier process that may have run and must not run again; nobody was told how they ended.
func (f *Proxy) Lost() []dispatch.Response { return f.lost }

// Dispatcher is the front end's core; whoever changes it calls Settle.
func (f *Proxy) Dispatcher() *dispatch.Dispatcher { return f.core }

// Connections are the connections to clients and workers.
func (f *Proxy) Connections() (clients, backends int) { return len(f.clients), f.pool.Len() }

// Submit takes an event from within the process; answer is called exactly once, on the front end's goroutine.
func (f *Proxy) Submit(ask dispatch.Request, answer func(dispatch.Response)) {
	f.asker++
	f.inside[f.asker] = answer
	f.core.Submit(f.host.Now(), f.asker, ask)
	f.Flush()
}

// Tick fires what has come due.
func (f *Proxy) Tick() {
	f.armed = 0
	f.core.Tick(f.host.Now())
	f.Flush()
}

func (f *Proxy) arm() {
	if at := f.core.NextTimer(); f.armed == 0 || at != f.armed {
		f.armed = at
		f.host.SetTimer(at)
	}
}

// Flush carries out what the pool and the core asked for since, until nothing is left. Whatever happens on a
// connection meanwhile may ask for more; it is not entered anew.
func (f *Proxy) Flush() {
	if f.settling {
		return
	}
	f.settling = true
	for len(f.ops) > 0 || len(f.dirty) > 0 || len(f.refused) > 0 || len(f.waited) > 0 || f.pool.Pending() {
		f.pool.Flush()
		f.heed()
		refused := f.refused
		f.refused = nil
		for _, job := range refused {
			f.core.OnAttemptReply(f.host.Now(), job, dispatch.WorkerReply{Outcome: control.NotSent})
		}
		f.commit()
		ops := f.ops
		f.ops = nil
		for _, o := range ops {
			f.carry(o)
		}
		dirty := f.dirty
		f.dirty = nil
		for _, cl := range dirty {
			cl.dirty = false
			cl.session.Advance(f.host.Now())
			f.send(cl)
		}
	}
	f.commit()
	f.settling = false
	f.arm()
}

// heed sends the launches of events that waited, each once all that its client sent is read: a cancel or a close that
// lies unread, behind a worker's answer that was read first or behind much other input, must not find a further launch
// on its way.
func (f *Proxy) heed() {
	for len(f.waited) > 0 {
		h := &f.waited[0]
		if src, ok := f.askers[h.launch.Waiter]; ok && !h.gone {
			f.readAhead(src.cl)
		}
		gone, l := f.waited[0].gone, f.waited[0].launch // reading may have added others
		f.waited = f.waited[1:]
		if !gone {
			f.pool.SendAttempt(f.host.Now(), *l)
		}
	}
	f.waited = nil
}

// readAhead takes what a client sent and the host has not handed over, within bounds.
func (f *Proxy) readAhead(cl *Client) {
	for read := 0; !cl.gone && read < lateMost; {
		data, open := cl.c.ReadAhead()
		if !open {
			f.forget(cl) // the host tells of its end too, later
			return
		}
		if len(data) == 0 {
			return
		}
		read += len(data)
		f.feed(cl, data)
	}
}

func (f *Proxy) carry(o op) {
	c := f.backends[o.conn]
	if c == nil {
		return
	}
	if o.close {
		delete(f.backends, o.conn)
		c.Close()
		return
	}
	c.Write(o.data)
}

func (f *Proxy) mark(cl *Client) {
	if !cl.dirty {
		cl.dirty = true
		f.dirty = append(f.dirty, cl)
	}
}

// send writes what a session has to say and closes it behind its last answer.
func (f *Proxy) send(cl *Client) {
	if cl.gone {
		return
	}
	if out := cl.session.Output(); len(out) > 0 {
		cl.c.Write(out)
		if cl.gone {
			return // the write broke it
		}
		if cl.c.Unsent() > f.set.Downstream.Unread {
			f.log.Warn("client does not read its answers", "client", cl.c.Name())
			f.closeClient(cl)
			return
		}
	}
	over := cl.session.Done() || cl.leaving && len(cl.slots) == 0
	if over && cl.shut == 0 && cl.c.Unsent() == 0 {
		// The client may still be sending: a close now could take the answer from it (RFC 9112 9.6).
		cl.shut = f.host.Now()
		cl.c.CloseWrite()
	}
}

// Accept takes a client's connection, or nil where there is no room for it and it is to be closed.
func (f *Proxy) Accept(c Conn) *Client {
	if f.draining || len(f.clients) >= f.set.MaxClients && !f.evict() {
		return nil
	}
	cl := &Client{c: c, at: len(f.clients), slots: map[uint64]dispatch.WaiterID{}}
	cl.session = f.set.NewSession(&taker{f, cl}, f.host.Now())
	f.clients = append(f.clients, cl)
	return cl
}

// evict closes the client connection that has been idle longest. One with an event open, or on which a part of one
// came, is never closed; nor is one on which a request lies unread, which closing would cut off.
func (f *Proxy) evict() bool {
	for f.set.EvictIdleClients {
		var oldest *Client
		at := 0.0
		for _, cl := range f.clients {
			if since, free := cl.session.Idle(); free && (oldest == nil || since < at) {
				oldest, at = cl, since
			}
		}
		if oldest == nil {
			return false
		}
		f.readAhead(oldest)
		f.Flush()
		if since, free := oldest.session.Idle(); oldest.gone || free && since == at {
			f.closeClient(oldest)
			return true
		}
	}
	return false
}

// OnClientData takes bytes from a client.
func (f *Proxy) OnClientData(cl *Client, data []byte) {
	if cl.gone {
		return
	}
	f.feed(cl, data)
	f.Flush()
}

func (f *Proxy) feed(cl *Client, data []byte) {
	if cl.shut > 0 { // what comes behind the end is dropped, within bounds
		if cl.late += len(data); cl.late > lateMost {
			f.closeClient(cl)
		}
	} else {
		cl.session.Feed(f.host.Now(), f.host.Wall(), data)
		f.mark(cl)
	}
}

// OnClientClosed tells that a client's connection closed or broke.
func (f *Proxy) OnClientClosed(cl *Client) {
	if f.forget(cl) {
		f.Flush()
	}
}

func (f *Proxy) closeClient(cl *Client) {
	if f.forget(cl) {
		cl.c.Close()
	}
}

func (f *Proxy) forget(cl *Client) bool {
	if cl.gone {
		return false
	}
	cl.gone = true
	last := len(f.clients) - 1
	f.clients[cl.at], f.clients[last].at = f.clients[last], cl.at
	f.clients[last] = nil
	f.clients = f.clients[:last]
	cl.session.Disconnected()
	return true
}

// OnDialed tells how a dial ended: with a connection or an error.
func (f *Proxy) OnDialed(no upstream.ConnID, c Conn, err error) {
	if err == nil {
		f.backends[no] = c
	}
	f.pool.OnDialed(f.host.Now(), no, err)
	f.Flush()
}

// OnUpstreamData takes bytes from a worker.
func (f *Proxy) OnUpstreamData(no upstream.ConnID, data []byte) {
	if f.backends[no] == nil {
		return
	}
	f.pool.OnData(f.host.Now(), no, data)
	f.Flush()
}

// OnUpstreamClosed tells that a connection to a worker closed or broke.
func (f *Proxy) OnUpstreamClosed(no upstream.ConnID) {
	if f.backends[no] == nil {
		return
	}
	delete(f.backends, no)
	f.pool.OnClosed(f.host.Now(), no)
	f.Flush()
}

// OnDatagram takes a datagram: "SCL1", the cluster's checksum, and a message of the decisions.
func (f *Proxy) OnDatagram(data []byte) {
	if len(data) >= 8 && [8]byte(data[:8]) == f.header {
		f.core.OnGossip(f.host.Now(), data[8:])
		f.Flush()
	}
}

// Sweep looks at idle and slow connections.
func (f *Proxy) Sweep() {
	now := f.host.Now()
	f.pool.Tick(now)
	for i := len(f.clients) - 1; i >= 0; i-- { // from the end: one that goes is replaced by one that was looked at
		cl := f.clients[i]
		if cl.shut > 0 && now-cl.shut > lingerFor {
			f.closeClient(cl)
			continue
		}
		if cl.session.Tick(now) || cl.leaving {
			f.mark(cl)
		}
	}
	f.Flush()
}

// Drain tells clients to send no more events here; those that come all the same are taken.
func (f *Proxy) Drain() {
	for _, cl := range f.clients {
		cl.session.Drain()
		f.mark(cl)
	}
	f.Flush()
}

// Idle tells that nothing is open: no event, and on no connection a part of a request.
func (f *Proxy) Idle() bool {
	return f.core.Idle() && !slices.ContainsFunc(f.clients, func(cl *Client) bool {
		_, free := cl.session.Idle()
		return !free && cl.shut == 0
	})
}

// HasClients tells that some client may not have read all that it was told.
func (f *Proxy) HasClients() bool { return len(f.clients) > 0 }

// CloseClients closes our side of every connection behind its last answer. What still comes is read, and dropped: a
// connection that is closed over unread bytes takes its answers with it.
func (f *Proxy) CloseClients() {
	for _, cl := range f.clients {
		cl.leaving = true
		f.mark(cl)
	}
	f.Flush()
}

// StopListening takes no more connections and events; what is open goes on.
func (f *Proxy) StopListening() {
	f.draining = true
	f.core.Drain(f.host.Now())
	for _, cl := range f.clients {
		cl.session.Drain()
		f.mark(cl)
	}
	f.Flush()
}

// Terminate answers at once whatever is open, after CloseDoors.
func (f *Proxy) Terminate() {
	f.core.Terminate(f.host.Now())
	f.Flush()
}

// RecordsStored tells that everything noted is on disk and that what waited for it has left.
func (f *Proxy) RecordsStored() bool {
	return !f.keep.busy && len(f.keep.notes) == 0 && len(f.keep.held) == 0
}

// CloseUpstream closes all connections to workers, after Finish.
func (f *Proxy) CloseUpstream() {
	f.pool.CloseAll(f.host.Now())
	f.Flush()
}

// Check tells of state that contradicts itself; it is for tests and the simulation.
func (f *Proxy) Check(full bool) error {
	errs := []error{f.core.Check(full), f.pool.Check()}
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if n := len(f.dirty) + len(f.ops) + len(f.refused) + len(f.waited); n > 0 {
		fault("%d things are left to be carried out", n)
	}
	slots := 0
	for i, cl := range f.clients {
		if cl.at != i || cl.gone {
			fault("client %d is out of place", i)
		}
		for slot, a := range cl.slots {
			slots++
			if f.askers[a] != (source{cl, slot}) {
				fault("asker %d of a client is not known", a)
			}
		}
	}
	if slots != len(f.askers) {
		fault("%d askers, %d of them of open connections", len(f.askers), slots)
	}
	if n := f.core.Waiters(); n > slots+len(f.inside) || !f.keep.busy && len(f.keep.held) == 0 && n != slots+len(f.inside) {
		fault("the core knows %d askers, connections %d and the process %d", n, slots, len(f.inside))
	}
	if n := f.pool.Len(); len(f.backends) > n {
		fault("%d connections to workers, the pool knows %d", len(f.backends), n)
	}
	if len(f.keep.held) > 0 && len(f.keep.notes) == 0 || !f.keep.busy && len(f.keep.out)+len(f.keep.notes) > 0 {
		fault("something waits for a note that nobody keeps")
	}
	return errors.Join(errs...)
}

// taker hands one client connection's events to the core.
type taker struct {
	f  *Proxy
	cl *Client
}

func (t *taker) Submit(slot uint64, ask dispatch.Request) {
	f := t.f
	f.asker++
	f.askers[f.asker] = source{t.cl, slot}
	t.cl.slots[slot] = f.asker
	f.core.Submit(f.host.Now(), f.asker, ask)
}

func (t *taker) Cancel(slot uint64) {
	if a, ok := t.cl.slots[slot]; ok {
		delete(t.cl.slots, slot)
		delete(t.f.askers, a)
		t.f.core.OnCancel(t.f.host.Now(), a)
	}
}

// outside carries out what the core asks for.
type outside Proxy

func (o *outside) Respond(to dispatch.WaiterID, a dispatch.Response) {
	f := (*Proxy)(o)
	switch k := &f.keep; { // its note waits for the next commit, or is in the one that is out, or is kept
	case !a.AwaitsRecord || f.set.RecordStore == nil || f.full():
		f.answer(to, a)
	case len(k.notes) > 0:
		f.hold(&k.held, to, a)
	case k.busy:
		f.hold(&k.out, to, a)
	default:
		f.answer(to, a)
	}
}

func (f *Proxy) answer(to dispatch.WaiterID, a dispatch.Response) {
	if tell := f.inside[to]; tell != nil {
		delete(f.inside, to)
		tell(a)
		return
	}
	src, ok := f.askers[to]
	if !ok {
		return
	}
	delete(f.askers, to)
	delete(src.cl.slots, src.slot)
	src.cl.session.Respond(f.host.Now(), src.slot, a)
	f.mark(src.cl)
}

func (o *outside) SendAttempt(l dispatch.Attempt) {
	if l.AwaitsRecord && o.set.RecordStore != nil {
		if (*Proxy)(o).full() {
			o.refused = append(o.refused, l.ID)
			return
		}
		o.keep.held = append(o.keep.held, held{launch: &l})
		return
	}
	if l.Delayed {
		o.waited = append(o.waited, held{launch: &l})
		return
	}
	o.pool.SendAttempt(o.host.Now(), l)
}

func (o *outside) SendLoad(order dispatch.LoadCommand) { o.pool.SendLoad(o.host.Now(), order) }

func (o *outside) Abandon(job uint64) {
	abandon(job, o.keep.held, o.keep.out, o.waited)
	o.pool.Abandon(o.host.Now(), job)
}

func (o *outside) CancelUnsent(job uint64) bool {
	return abandon(job, o.keep.held, o.keep.out, o.waited) || o.pool.CancelUnsent(job)
}

func (o *outside) Store(n dispatch.Record) {
	switch {
	case o.set.RecordStore == nil:
	case !(*Proxy)(o).full():
		o.keep.notes = append(o.keep.notes, n)
	case !o.keep.full:
		o.keep.full = true
		o.log.Error("the disk takes no notes: events that must not run twice are deferred", "waiting", len(o.keep.notes))
	}
}

func (o *outside) Broadcast(message []byte) {
	o.host.Broadcast(append(append(make([]byte, 0, 8+len(message)), o.header[:]...), message...))
}

func (o *outside) OnRequestEnd(a dispatch.Response, t *dispatch.Trace) {
	if o.set.OnRequestEnd != nil {
		o.set.OnRequestEnd(a, t)
	}
	if o.log.Enabled(context.Background(), slog.LevelDebug) || a.Kind != dispatch.Succeeded {
		level := o.log.Debug
		if a.Kind != dispatch.Succeeded {
			level = o.log.Info
		}
		level("event ended", "event", a.Identity.String(), "outcome", a.Kind.String(), "cause", a.Cause.String(),
			"function", a.Function, "worker", a.Worker, "launches", a.Attempts, "seconds", a.Elapsed)
	}
}

// sink takes what workers answered.
type sink Proxy

func (k *sink) OnAttemptReply(job uint64, r dispatch.WorkerReply) {
	k.core.OnAttemptReply(k.host.Now(), job, r)
}

func (k *sink) OnLoadReply(job uint64, res control.Outcome, copies int) {
	k.core.OnLoadReply(k.host.Now(), job, res, copies)
}

// wire carries the pool's bytes. Writes and closes wait until the pool's call is over.
type wire Proxy

func (w *wire) Write(c upstream.ConnID, data []byte) { w.ops = append(w.ops, op{conn: c, data: data}) }

func (w *wire) Close(c upstream.ConnID) { w.ops = append(w.ops, op{conn: c, close: true}) }

func (w *wire) Unsent(c upstream.ConnID) int {
	if b := w.backends[c]; b != nil {
		return b.Unsent()
	}
	return 0
}

func (w *wire) Dial(no upstream.ConnID, addr string) { w.host.Dial(no, addr) }

// DrainedWorkers are the workers that an order drains.
func (f *Proxy) DrainedWorkers() (list []string) {
	for id := range f.drained {
		list = append(list, string(id))
	}
	slices.Sort(list)
	return
}
