// Package netloop has the program's only real sockets and its only real clock: gnet event loops that carry bytes
// between clients, the core, workers and the other front ends. One Server is one front end: all it has lives on
// one event loop, so nothing in it is locked. It decides nothing.
package netloop

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"streamcleat/control"
	fronthttp "streamcleat/front/http"
	"streamcleat/gateway"
	"streamcleat/workers"
)

// Settings of one front end. Times are seconds.
type Settings struct {
	Name        string // for Proxy-Status and logs
	Listen      string // host:port for clients; port 0 takes a free one
	PeerListen  string // host:port for other front ends' datagrams, "" for none
	Peers       []string
	Cluster     string // datagrams of another cluster are dropped
	WorkersFile string
	Core        gateway.Settings
	Pool        workers.Limits
	Front       fronthttp.Limits
	MostConns   int // client connections; past it new ones are closed
	Log         *slog.Logger
	Keeper      Keeper                               // keeps what must outlive the process; nil: nothing does
	KeepWithin  time.Duration                        // an answer waits no longer than this for its note
	Kept        []gateway.Kept                       // what an earlier process noted
	Known       []gateway.Known                      // copies that it believed in, with their ages at the start
	Ended       func(gateway.Answer, *gateway.Trace) // called on the loop for each ended event; may be nil
}

// Keeper keeps notes on disk.
type Keeper interface {
	// Commit keeps notes and then calls done once, from any goroutine. A Server has one commit out at a time; what is
	// noted meanwhile goes into the next.
	Commit(notes []gateway.Note, done func(error))
}

const (
	sweepEvery  = 100 * time.Millisecond // pause between looks at idle and slow connections
	lingerFor   = 1.0                    // seconds for which a client may still read after the last answer
	resyncEvery = 2 * time.Second        // pause between readings of the worker list without a sign of change
	clockBase   = 1e6                    // the clock at start; above 0, so that earlier starts of workers fit
)

var started = time.Now()

// Now is the clock of every front end of this process: seconds that never go back.
func Now() float64 { return clockBase + time.Since(started).Seconds() }

// client is one client connection.
type client struct {
	c       gnet.Conn
	session *fronthttp.Session
	dirty   bool
	shut    float64 // when our side was closed; 0 before
}

// backend is one connection to a worker.
type backend struct {
	no workers.Conn
	c  gnet.Conn
}

// op is something that the pool asked to be done on a connection.
type op struct {
	conn  workers.Conn
	data  []byte
	close bool
}

type source struct {
	cl   *client
	slot uint64
}

// Server is one running front end.
type Server struct {
	gnet.BuiltinEventEngine
	set      Settings
	log      *slog.Logger
	eng      gnet.Engine
	loop     gnet.EventLoop
	ready    chan error
	finished chan error
	core     *gateway.Core
	pool     *workers.Pool
	listed   *workers.Listed           // as the file has it
	list     *workers.Listed           // in force
	drained  map[control.WorkerID]bool // by order
	unload   uint64                    // numbers of unload orders, from the top down
	clients  map[gnet.Conn]*client
	backends map[workers.Conn]*backend
	askers   map[gateway.Asker]source
	inside   map[gateway.Asker]func(gateway.Answer) // askers within the process
	slots    map[*client]map[uint64]gateway.Asker
	asker    gateway.Asker
	ops      []op
	keep     keep
	lost     []gateway.Answer
	born     float64 // on the clock
	dirty    []*client
	settling bool
	draining bool
	timer    *time.Timer
	armed    float64
	udp      *net.UDPConn
	peers    []netip.AddrPort
	cluster  uint32
	watch    *watcher
	stop     sync.Once
	stopped  error
}

// Start opens the sockets of a front end and returns once it serves.
func Start(set Settings) (*Server, error) {
	addr, err := claim(set.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", set.Listen, err)
	}
	set.Listen = addr
	if set.Log == nil {
		set.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{set: set, log: set.Log.With("front_end", set.Name), ready: make(chan error, 1),
		finished: make(chan error, 1), clients: map[gnet.Conn]*client{}, backends: map[workers.Conn]*backend{},
		askers: map[gateway.Asker]source{}, inside: map[gateway.Asker]func(gateway.Answer){},
		slots: map[*client]map[uint64]gateway.Asker{}, drained: map[control.WorkerID]bool{}, cluster: crc32.ChecksumIEEE([]byte(set.Cluster))}
	for _, p := range set.Peers {
		a, err := net.ResolveUDPAddr("udp", p)
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", p, err)
		}
		s.peers = append(s.peers, a.AddrPort())
	}
	if len(s.peers) > 0 {
		if s.udp, err = net.ListenUDP("udp", nil); err != nil {
			return nil, fmt.Errorf("socket for peers: %w", err)
		}
	}
	listen := []string{"tcp://" + addr}
	if set.PeerListen != "" {
		listen = append(listen, "udp://"+set.PeerListen)
	}
	go func() {
		// ReusePort makes the one event loop accept by itself, so that nothing runs on a second one.
		err := gnet.Rotate(s, listen, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
			gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(quiet{s.log}))
		select {
		case s.ready <- errors.Join(err, errors.New("event loop ended")):
		default:
		}
		s.finished <- err
	}()
	if err := <-s.ready; err != nil {
		s.closeSockets()
		return nil, fmt.Errorf("front end %s: %w", set.Name, err)
	}
	if set.WorkersFile != "" {
		if s.watch, err = watchFile(set.WorkersFile, s.readList); err != nil {
			s.Stop(0)
			return nil, fmt.Errorf("list of workers %s: %w", set.WorkersFile, err)
		}
	}
	s.log.Info("serving", "listen", addr, "peers", len(s.peers))
	return s, nil
}

// claim finds out whether an address is free; with ReusePort two programs would share it unseen.
func claim(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Lost are events of an earlier process that may have run and must not run again; nobody was told how they ended.
func (s *Server) Lost() []gateway.Answer { return s.lost }

// Addr is where clients connect.
func (s *Server) Addr() string { return s.set.Listen }

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.eng = eng
	go s.knock()
	return gnet.None
}

// knock makes gnet hand out the event loop, which it does with a connection only: the first one that comes in will
// do, and this is one if there is no other.
func (s *Server) knock() {
	c, err := net.DialTimeout("tcp", s.set.Listen, 5*time.Second)
	if err != nil {
		s.ready <- err
		return
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	c.Read(make([]byte, 1)) // until it is closed
}

// begin is called on the event loop with the first connection.
func (s *Server) begin(loop gnet.EventLoop) {
	s.loop = loop
	s.pool = workers.NewPool(s.set.Pool, (*wire)(s), (*sink)(s))
	s.born = Now()
	s.core = gateway.New(s.set.Core, (*outside)(s), Now())
	s.lost = s.core.Restore(Now(), s.set.Kept)
	s.set.Kept = nil
	s.timer = time.AfterFunc(time.Hour, func() { s.post(s.tick) })
	s.arm()
	go s.sweepLoop()
	s.ready <- nil
}

type runnable func()

func (r runnable) Run(context.Context) error {
	r()
	return nil
}

// post runs f on the event loop.
func (s *Server) post(f func()) error { return s.loop.Execute(context.Background(), runnable(f)) }

// Do runs f on the event loop and waits for it; an error tells that the loop has ended.
func (s *Server) Do(f func(*gateway.Core)) error {
	done := make(chan struct{})
	if err := s.post(func() { defer close(done); f(s.core); s.settle() }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case err := <-s.finished:
		s.finished <- err
		return errors.New("event loop ended")
	}
}

// Counts are the core's totals and the number of connections to clients and workers.
func (s *Server) Counts() (n gateway.Counts, clients, backends int, err error) {
	err = s.Do(func(c *gateway.Core) { n, clients, backends = c.Counts(), len(s.clients), s.pool.Conns() })
	return
}

// Take takes an event from within the process; answer is called on the loop, exactly once.
func (s *Server) Take(ask gateway.Ask, answer func(gateway.Answer)) error {
	return s.post(func() {
		s.asker++
		s.inside[s.asker] = answer
		s.core.Take(Now(), s.asker, ask)
		s.settle()
	})
}

func (s *Server) tick() {
	s.armed = 0
	s.core.Tick(Now())
	s.settle()
}

func (s *Server) arm() {
	if at := s.core.Next(); s.armed == 0 || at != s.armed {
		s.armed = at
		s.timer.Reset(max(time.Duration((at-Now())*float64(time.Second)), 0))
	}
}

// settle carries out what the pool and the core asked for since, until nothing is left. Whatever happens on a
// connection meanwhile may ask for more; it is not entered anew.
func (s *Server) settle() {
	if s.settling {
		return
	}
	s.settling = true
	for len(s.ops) > 0 || len(s.dirty) > 0 || s.pool.Pending() {
		s.pool.Flush()
		s.commit()
		ops := s.ops
		s.ops = nil
		for _, o := range ops {
			s.carry(o)
		}
		dirty := s.dirty
		s.dirty = nil
		for _, cl := range dirty {
			cl.dirty = false
			cl.session.Advance(Now())
			s.send(cl)
		}
	}
	s.commit()
	s.settling = false
	s.arm()
}

func (s *Server) carry(o op) {
	b := s.backends[o.conn]
	if b == nil {
		return
	}
	if o.close {
		delete(s.backends, o.conn)
		b.c.SetContext(nil)
		s.loop.Close(b.c)
		return
	}
	b.c.Write(o.data)
}

func (s *Server) mark(cl *client) {
	if !cl.dirty {
		cl.dirty = true
		s.dirty = append(s.dirty, cl)
	}
}

// send writes what a session has to say and closes it behind its last answer.
func (s *Server) send(cl *client) {
	if s.clients[cl.c] != cl {
		return
	}
	if out := cl.session.Output(); len(out) > 0 {
		cl.c.Write(out)
		if s.clients[cl.c] != cl {
			return // the write broke it
		}
		if cl.c.OutboundBuffered() > s.set.Front.Unread {
			s.log.Warn("client does not read its answers", "client", cl.c.RemoteAddr().String())
			s.loop.Close(cl.c)
			return
		}
	}
	if cl.session.Done() && cl.shut == 0 && cl.c.OutboundBuffered() == 0 {
		// The client may still be sending: a close now could take the answer from it (RFC 9112 9.6).
		cl.shut = Now()
		syscall.Shutdown(cl.c.Fd(), syscall.SHUT_WR)
	}
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if b, ok := c.Context().(*backend); ok {
		b.c = c
		s.backends[b.no] = b
		s.pool.Dialed(Now(), b.no, nil)
		s.settle()
		return nil, gnet.None
	}
	if s.core == nil {
		s.begin(c.EventLoop())
		return nil, gnet.Close
	}
	if s.draining || len(s.clients) >= s.set.MostConns {
		return nil, gnet.Close
	}
	cl := &client{c: c}
	cl.session = fronthttp.NewSession(s.set.Front, s.set.Name, &taker{s, cl}, Now())
	s.clients[c] = cl
	c.SetContext(cl)
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	switch x := c.Context().(type) {
	case *client:
		delete(s.clients, c)
		x.session.Gone()
		delete(s.slots, x)
	case *backend:
		delete(s.backends, x.no)
		s.pool.Closed(Now(), x.no)
	default:
		return gnet.None
	}
	s.settle()
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err != nil || s.core == nil {
		return gnet.None
	}
	switch x := c.Context().(type) {
	case *client:
		if x.shut == 0 {
			x.session.Feed(Now(), time.Now(), data)
			s.mark(x)
		}
	case *backend:
		s.pool.Data(Now(), x.no, data)
	default:
		s.heard(data)
	}
	s.settle()
	return gnet.None
}

// heard takes a datagram: "SCL1", the cluster's checksum, and a message of the decisions.
func (s *Server) heard(data []byte) {
	if len(data) < 8 || string(data[:4]) != "SCL1" || [4]byte(data[4:8]) != s.header() {
		return
	}
	s.core.Told(Now(), data[8:])
}

func (s *Server) header() [4]byte {
	return [4]byte{byte(s.cluster), byte(s.cluster >> 8), byte(s.cluster >> 16), byte(s.cluster >> 24)}
}

func (s *Server) sweepLoop() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for range t.C {
		if s.post(s.sweep) != nil {
			return
		}
	}
}

func (s *Server) sweep() {
	now := Now()
	s.pool.Tick(now)
	for _, cl := range s.clients {
		if cl.shut > 0 && now-cl.shut > lingerFor {
			s.loop.Close(cl.c)
			continue
		}
		if cl.session.Tick(now) {
			s.mark(cl)
		}
	}
	s.settle()
}

// readList takes the worker list's file; a faulty one leaves the last good one in force.
func (s *Server) readList(data []byte, err error) {
	if err != nil {
		s.log.Warn("list of workers not read; the last one stays in force", "file", s.set.WorkersFile, "error", err)
		return
	}
	offset := Now() - float64(time.Now().UnixNano())/1e9
	list, err := workers.ReadList(data, offset)
	if err != nil {
		s.log.Error("list of workers is faulty; the last one stays in force", "file", s.set.WorkersFile, "error", err)
		return
	}
	s.post(func() {
		s.steady(list)
		s.listed = list
		s.relist()
	})
}

// relist puts the list in force that the file and the operators' orders make together.
func (s *Server) relist() {
	if s.listed == nil {
		return
	}
	list := &workers.Listed{Workers: slices.Clone(s.listed.Workers), Address: s.listed.Address}
	for i := range list.Workers {
		if s.drained[list.Workers[i].ID] {
			list.Workers[i].Phase = control.Draining
		}
	}
	change := workers.Change(s.list, list)
	s.list = list
	s.pool.List(list)
	if len(change) > 0 {
		s.core.Workers(Now(), false, change)
		s.recall()
		s.log.Info("list of workers", "workers", len(list.Workers), "changed", len(change))
	}
	s.settle()
}

// recall hands on, with the first list, what an earlier process knew of workers that have not started anew since.
func (s *Server) recall() {
	known := s.set.Known
	s.set.Known = nil
	for _, k := range known {
		k.Age += Now() - s.born
		if d := s.started(control.WorkerID(k.Worker)) - k.Started; d > -1 && d < 1 {
			s.core.Recall(Now(), k)
		}
	}
}

// started is a worker's start in Unix seconds, 0 where the list tells none.
func (s *Server) started(id control.WorkerID) float64 {
	if s.list != nil {
		for _, w := range s.list.Workers {
			if w.ID == id && w.Born > 0 {
				return w.Born - Now() + float64(time.Now().UnixNano())/1e9
			}
		}
	}
	return 0
}

// Knows is what this front end believes of copies.
func (s *Server) Knows() (list []gateway.Known) {
	s.Do(func(c *gateway.Core) { list = c.Knows(s.started) })
	return
}

// Drain makes a worker drain, or returns it to what the list says, whatever the list says meanwhile. It tells whether
// the list names the worker.
func (s *Server) Drain(id control.WorkerID, drain bool) (known bool, err error) {
	err = s.Do(func(*gateway.Core) {
		if s.listed == nil || s.listed.Address[id] == "" {
			return
		}
		known = true
		if drain {
			s.drained[id] = true
		} else {
			delete(s.drained, id)
		}
		s.relist()
	})
	return
}

// Drained are the workers that an order drains.
func (s *Server) Drained() (list []string) {
	s.Do(func(*gateway.Core) {
		for id := range s.drained {
			list = append(list, string(id))
		}
	})
	slices.Sort(list)
	return
}

// Ahead has a copy of a function loaded that will be asked for soon; it tells whether the decisions ordered one.
func (s *Server) Ahead(eventType, fn string) (ordered bool, err error) {
	err = s.Do(func(c *gateway.Core) { ordered = c.Ahead(Now(), eventType, fn) })
	return
}

// Unload asks every worker that is believed to hold a function to let its idle copies go, and tells how many.
func (s *Server) Unload(fn string) (asked int, err error) {
	err = s.Do(func(c *gateway.Core) {
		_, functions := c.Believed()
		for _, f := range functions {
			if string(f.ID) == fn {
				for _, wk := range f.Warm {
					s.unload--
					s.pool.Load(Now(), gateway.Order{Job: s.unload, Worker: wk, Function: fn})
					asked++
				}
			}
		}
	})
	return
}

// steady keeps the start times of an earlier reading where they mean the same: the clocks drift apart by parts of
// a second, and a worker must not seem to have started anew for that.
func (s *Server) steady(list *workers.Listed) {
	if s.listed == nil {
		return
	}
	for i := range list.Workers {
		for _, old := range s.listed.Workers {
			if d := old.Born - list.Workers[i].Born; old.ID == list.Workers[i].ID && d > -0.5 && d < 0.5 {
				list.Workers[i].Born = old.Born
			}
		}
	}
}

// Stop takes no more connections and events, waits up to patience for what is open, answers the rest at once and
// ends the loop.
func (s *Server) Stop(patience time.Duration) error {
	s.stop.Do(func() { s.stopped = s.end(patience) })
	return s.stopped
}

// Close takes no more connections and events; what is open goes on. Stop follows.
func (s *Server) Close() error {
	return s.Do(func(c *gateway.Core) {
		s.draining = true
		c.Stop(Now())
		for _, cl := range s.clients {
			cl.session.Drain()
			s.mark(cl)
		}
	})
}

func (s *Server) end(patience time.Duration) error {
	if s.watch != nil {
		s.watch.close()
	}
	if s.loop != nil && s.core != nil {
		s.Close()
		until := time.Now().Add(patience)
		for quiet := false; !quiet && time.Now().Before(until); {
			if s.Do(func(c *gateway.Core) { quiet = c.Quiet() }) != nil || quiet {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		s.Do(func(c *gateway.Core) { c.Finish(Now()) })
		s.waitKept()
		s.Do(func(*gateway.Core) { s.pool.CloseAll(Now()) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := s.eng.Stop(ctx)
	if s.timer != nil {
		s.timer.Stop()
	}
	s.closeSockets()
	s.log.Info("stopped")
	return err
}

func (s *Server) closeSockets() {
	if s.udp != nil {
		s.udp.Close()
	}
}

// Wait returns when the loop has ended.
func (s *Server) Wait() error {
	err := <-s.finished
	s.finished <- err
	return err
}

// quiet hands gnet's own messages to the program's log.
type quiet struct{ log *slog.Logger }

func (q quiet) Debugf(string, ...any)             {}
func (q quiet) Infof(string, ...any)              {}
func (q quiet) Warnf(format string, args ...any)  { q.log.Warn(fmt.Sprintf(format, args...)) }
func (q quiet) Errorf(format string, args ...any) { q.log.Error(fmt.Sprintf(format, args...)) }
func (q quiet) Fatalf(format string, args ...any) {
	q.log.Error(fmt.Sprintf(format, args...))
	os.Exit(1)
}
