// Package eventloop has the program's only real sockets and its only real clock: gnet event loops that carry bytes
// between clients, a front end, workers and the other front ends. One Server runs one frontend.Front: all it has lives
// on one event loop, so nothing in it is locked. It decides nothing.
package eventloop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"golang.org/x/sys/unix"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/proxy"
	"streamcleat/internal/upstream"
)

// Settings of one front end's sockets.
type Settings struct {
	proxy.Settings
	Listen        string // host:port for clients; port 0 takes a free one
	PeerListen    string // host:port for other front ends' datagrams, "" for none
	Peers         []string
	WorkersFile   string
	PeerBroadcast string // one address that reaches all other front ends; "": each of Peers is told by itself
	Self          string // this front end's own address among Peers. Where it is set, datagrams leave from
	// PeerListen, and are taken from Peers alone
	OnStart func(*proxy.Proxy) // called on the event loop before anything that came in; may be nil

	knockAfter <-chan struct{} // holds back the program's own first connection; nil: at once
}

const (
	resyncEvery = 2 * time.Second // pause between readings of the worker list without a sign of change
	clockBase   = 1e6             // the clock at start; above 0, so that earlier starts of workers fit
)

var started = time.Now()

// Now is the clock of every front end of this process: seconds that never go back.
func Now() float64 { return clockBase + time.Since(started).Seconds() }

// link is one connection: of a client, or to a worker.
type link struct {
	c      gnet.Conn
	loop   gnet.EventLoop
	client *proxy.Client
	no     upstream.ConnID // to a worker
}

func (l *link) Write(data []byte) { l.c.Write(data) }
func (l *link) Close() {
	l.c.SetContext(nil)
	l.loop.Close(l.c)
}
func (l *link) CloseWrite()  { unix.Shutdown(l.c.Fd(), unix.SHUT_WR) }
func (l *link) Unsent() int  { return l.c.OutboundBuffered() }
func (l *link) Name() string { return l.c.RemoteAddr().String() }

// ReadAhead reads from the socket what the event loop has not come to yet. OnTraffic takes all there is each time, so that
// nothing lies between the two.
func (l *link) ReadAhead() (data []byte, open bool) {
	buf := make([]byte, 16<<10)
	n, err := unix.Read(l.c.Fd(), buf)
	switch {
	case n > 0:
		return buf[:n], true
	case err == unix.EAGAIN || err == unix.EINTR:
		return nil, true
	}
	return nil, false
}

// Server is one running front end.
type Server struct {
	gnet.BuiltinEventEngine
	set      Settings
	log      *slog.Logger
	eng      gnet.Engine
	loop     gnet.EventLoop
	ready    chan error
	begun    chan struct{}
	entering chan struct{} // connections to workers that hold two descriptors while the loop takes them over
	finished chan error
	front    *proxy.Proxy
	lost     []dispatch.Response
	timer    *time.Timer
	udp      *net.UDPConn
	peers    []netip.AddrPort        // that are told
	known    map[netip.AddrPort]bool // that are heard, where not everybody is
	watch    *watcher
	stop     sync.Once
	stopped  error
}

// Start opens the sockets of a front end and returns once it serves.
func Start(set Settings) (*Server, error) {
	addr, err := free(set.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", set.Listen, err)
	}
	set.Listen = addr
	if set.Log == nil {
		set.Log = slog.New(slog.DiscardHandler)
	}
	set.Log = set.Log.With("front_end", set.Name)
	s := &Server{set: set, log: set.Log, ready: make(chan error, 1), begun: make(chan struct{}),
		entering: make(chan struct{}, 8), finished: make(chan error, 1)}
	if set.Self != "" {
		s.known = map[netip.AddrPort]bool{}
	}
	for _, p := range set.Peers {
		a, err := net.ResolveUDPAddr("udp", p)
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", p, err)
		}
		if p == set.Self {
			continue
		}
		s.peers = append(s.peers, a.AddrPort())
		if s.known != nil {
			s.known[a.AddrPort()] = true
		}
	}
	if set.PeerBroadcast != "" {
		a, err := net.ResolveUDPAddr("udp", set.PeerBroadcast)
		if err != nil {
			return nil, fmt.Errorf("all peers %s: %w", set.PeerBroadcast, err)
		}
		s.peers = []netip.AddrPort{a.AddrPort()}
	}
	if len(s.peers) > 0 || s.known != nil {
		var from *net.UDPAddr
		if s.known != nil {
			if from, err = net.ResolveUDPAddr("udp", set.PeerListen); err != nil {
				return nil, fmt.Errorf("socket for peers %s: %w", set.PeerListen, err)
			}
		}
		if s.udp, err = net.ListenUDP("udp", from); err != nil {
			return nil, fmt.Errorf("socket for peers: %w", err)
		}
	}
	listen := []string{"tcp://" + addr}
	if set.PeerListen != "" && s.known == nil {
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
	if s.known != nil {
		go s.hear()
	}
	s.log.Info("serving", "listen", addr, "peers", len(s.peers))
	return s, nil
}

// free finds out whether an address is free, and which one port 0 stands for: with ReusePort two programs would share
// it unseen. The socket that tries is bound and never listens, so that no client can connect to it and be cut off when
// it is closed.
func free(addr string) (string, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return "", err
	}
	family, at := unix.AF_INET6, unix.Sockaddr(&unix.SockaddrInet6{Port: a.Port, Addr: [16]byte(append(a.IP.To16(), make([]byte, 16)...)[:16])})
	if ip := a.IP.To4(); ip != nil || a.IP == nil {
		family, at = unix.AF_INET, &unix.SockaddrInet4{Port: a.Port, Addr: [4]byte(append(ip, make([]byte, 4)...)[:4])}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", os.NewSyscallError("socket", err)
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // connections of an earlier process may linger
	if err := unix.Bind(fd, at); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	if a.Port == 0 {
		got, err := unix.Getsockname(fd)
		if err != nil {
			return "", os.NewSyscallError("getsockname", err)
		}
		switch got := got.(type) {
		case *unix.SockaddrInet4:
			a.Port = got.Port
		case *unix.SockaddrInet6:
			a.Port = got.Port
		}
	}
	return a.String(), nil
}

// Lost are events of an earlier process that may have run and must not run again; nobody was told how they ended.
func (s *Server) Lost() []dispatch.Response { return s.lost }

// Addr is where clients connect.
func (s *Server) Addr() string { return s.set.Listen }

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.eng = eng
	go s.knock()
	return gnet.None
}

// knock makes gnet hand out the event loop, which it does with a connection only: the first one that comes in will
// do, and this is one if there is no other. It is a client that asks for nothing and leaves.
func (s *Server) knock() {
	if s.set.knockAfter != nil {
		<-s.set.knockAfter
	}
	c, err := net.DialTimeout("tcp", s.set.Listen, 5*time.Second)
	if err == nil {
		defer c.Close()
		select {
		case <-s.begun:
			return
		case <-time.After(5 * time.Second):
			err = errors.New("its first connection does not come up")
		}
	}
	select {
	case s.ready <- err:
	default:
	}
}

// begin is called on the event loop with the first connection, which is then served as any other: it may be a
// client's.
func (s *Server) begin(loop gnet.EventLoop) {
	s.loop = loop
	s.timer = time.AfterFunc(time.Hour, func() { s.post(func() { s.front.Tick() }) })
	s.front = proxy.New(s.set.Settings, (*host)(s))
	s.lost = s.front.Lost()
	if s.set.OnStart != nil {
		s.set.OnStart(s.front)
	}
	go s.sweepLoop()
	close(s.begun)
	s.ready <- nil
}

type runnable func()

func (r runnable) Run(context.Context) error {
	r()
	return nil
}

// post runs f on the event loop.
func (s *Server) post(f func()) error { return s.loop.Execute(context.Background(), runnable(f)) }

// do runs f on the event loop and waits for it; an error tells that the loop has ended.
func (s *Server) do(f func(*proxy.Proxy)) error {
	done := make(chan struct{})
	if err := s.post(func() { defer close(done); f(s.front); s.front.Flush() }); err != nil {
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

// DoDispatcher runs f with the core, likewise.
func (s *Server) DoDispatcher(f func(*dispatch.Dispatcher)) error {
	return s.do(func(x *proxy.Proxy) { f(x.Dispatcher()) })
}

// Do runs f with the front end, likewise.
func (s *Server) Do(f func(*proxy.Proxy)) error { return s.do(f) }

// Post runs f with the front end on the event loop, soon.
func (s *Server) Post(f func(*proxy.Proxy)) error { return s.post(func() { f(s.front) }) }

// hear reads the datagrams of the front ends that are known.
func (s *Server) hear() {
	buf := make([]byte, 2048)
	for {
		n, from, err := s.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an error that stays must not take the only core
			s.log.Warn("datagram not read", "address", s.set.PeerListen, "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !s.known[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())] {
			continue
		}
		data := bytes.Clone(buf[:n])
		s.post(func() { s.front.OnDatagram(data) })
	}
}

// Counts are the core's totals and the number of connections to clients and workers.
func (s *Server) Counts() (n dispatch.Counts, clients, backends int, err error) {
	err = s.do(func(f *proxy.Proxy) {
		n = f.Dispatcher().Counts()
		clients, backends = f.Connections()
	})
	return
}

// Submit takes an event from within the process; answer is called on the loop, exactly once.
func (s *Server) Submit(ask dispatch.Request, answer func(dispatch.Response)) error {
	return s.post(func() { s.front.Submit(ask, answer) })
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if l, ok := c.Context().(*link); ok {
		l.c = c
		s.front.OnDialed(l.no, l, nil)
		return nil, gnet.None
	}
	if s.front == nil {
		s.begin(c.EventLoop())
	}
	l := &link{c: c, loop: s.loop}
	if l.client = s.front.Accept(l); l.client == nil {
		return nil, gnet.Close
	}
	c.SetContext(l)
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	switch l, _ := c.Context().(*link); {
	case l == nil:
	case l.client != nil:
		s.front.OnClientClosed(l.client)
	default:
		s.front.OnUpstreamClosed(l.no)
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err != nil || s.front == nil {
		return gnet.None
	}
	switch l, _ := c.Context().(*link); {
	case l == nil:
		s.front.OnDatagram(data)
	case l.client != nil:
		s.front.OnClientData(l.client, data)
	default:
		s.front.OnUpstreamData(l.no, data)
	}
	return gnet.None
}

func (s *Server) sweepLoop() {
	t := time.NewTicker(time.Duration(proxy.SweepEvery * float64(time.Second)))
	defer t.Stop()
	for range t.C {
		if s.post(s.front.Sweep) != nil {
			return
		}
	}
}

// readList takes the worker list's file; a faulty one leaves the last good one in force.
func (s *Server) readList(data []byte, err error) {
	if err != nil {
		s.log.Warn("list of workers not read; the last one stays in force", "file", s.set.WorkersFile, "error", err)
		return
	}
	s.post(func() {
		if err := s.front.ReadEndpointList(data); err != nil {
			s.log.Error("list of workers is faulty; the last one stays in force", "file", s.set.WorkersFile, "error", err)
		}
	})
}

// ReplicaSnapshots is what this front end believes of copies.
func (s *Server) ReplicaSnapshots() (list []dispatch.ReplicaSnapshot) {
	s.do(func(f *proxy.Proxy) { list = f.ReplicaSnapshots() })
	return
}

// DrainWorker makes a worker drain, or returns it to what the list says, whatever the list says meanwhile. It tells whether
// the list names the worker.
func (s *Server) DrainWorker(id control.WorkerID, drain bool) (known bool, err error) {
	err = s.do(func(f *proxy.Proxy) { known = f.DrainWorker(id, drain) })
	return
}

// DrainedWorkers are the workers that an order drains.
func (s *Server) DrainedWorkers() (list []string) {
	s.do(func(f *proxy.Proxy) { list = f.DrainedWorkers() })
	return
}

// Preload has a copy of a function loaded that will be asked for soon; it tells whether the decisions ordered one.
func (s *Server) Preload(eventType, fn string) (ordered bool, err error) {
	err = s.do(func(f *proxy.Proxy) { ordered = f.Preload(eventType, fn) })
	return
}

// UnloadReplicas asks every worker that is believed to hold a function to let its idle copies go, and tells how many.
func (s *Server) UnloadReplicas(fn string) (asked int, err error) {
	err = s.do(func(f *proxy.Proxy) { asked = f.UnloadReplicas(fn) })
	return
}

// Stop takes no more connections and events, waits up to patience for what is open, answers the rest at once and
// ends the loop.
func (s *Server) Stop(patience time.Duration) error {
	s.stop.Do(func() { s.stopped = s.end(patience) })
	return s.stopped
}

// StopListening takes no more connections and events; what is open goes on. Stop follows.
func (s *Server) StopListening() error { return s.do((*proxy.Proxy).StopListening) }

// until waits for something to be so, looking every 10 ms.
func (s *Server) until(patience time.Duration, so func(*proxy.Proxy) bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		yes := false
		if s.do(func(f *proxy.Proxy) { yes = so(f) }) != nil || yes {
			return
		}
	}
}

func (s *Server) end(patience time.Duration) error {
	if s.watch != nil {
		s.watch.close()
	}
	if s.loop != nil && s.front != nil {
		s.StopListening()
		s.until(patience, func(f *proxy.Proxy) bool { return f.Dispatcher().Idle() })
		s.do((*proxy.Proxy).Terminate)
		s.until(5*time.Second, (*proxy.Proxy).RecordsStored)
		s.do((*proxy.Proxy).CloseUpstream)
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
