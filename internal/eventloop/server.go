// Package eventloop has the program's only real sockets and its only real clock: an event loop that carries bytes
// between clients, a front end, workers and the other front ends. One Server owns one proxy.Proxy: all of the proxy's
// state is used on one event loop, so that nothing in it is locked. The package makes no decision. The program's
// commands and the appliance start servers.
package eventloop

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/proxy"
	"streamcleat/internal/syscalls"
	"streamcleat/internal/upstream"
)

const (
	// storeTimeout is how long Stop waits for records to reach the disk.
	storeTimeout = 5 * time.Second
	// sendTimeout is how long Stop waits for the last responses to leave.
	sendTimeout = time.Second
	// loopStopTimeout is how long Stop waits for the event loop's end.
	loopStopTimeout = 5 * time.Second
	// pollInterval is how often Stop looks whether what it waits for has happened.
	pollInterval = 10 * time.Millisecond
	// readAheadSize is how many bytes are read at a time ahead of the event loop.
	readAheadSize = 16 << 10
)

// Errors of servers.
var (
	// ErrLoopEnded is returned by functions that need the event loop once it has ended.
	ErrLoopEnded = errors.New("event loop ended")
	// ErrLoopStalled is returned by Stop where the event loop does not end.
	ErrLoopStalled = errors.New("event loop does not end")
)

// Settings of one front end's sockets.
type Settings struct {
	proxy.Settings
	Listen        string   // host:port for clients; port 0 takes a free one
	PeerListen    string   // host:port for other front ends' datagrams, "" for none
	Peers         []string // host:port of each other front end, and of this one where Self is set
	WorkersFile   string   // the endpoint list, read whenever it changes; "" for none
	PeerBroadcast string   // one address that reaches all other front ends; "": a datagram is sent to each of Peers
	// Self is this front end's own address among Peers. Where it is set, datagrams are taken from Peers alone.
	Self    string
	OnStart func(*proxy.Proxy) // called on the event loop before anything that came in; may be nil
	Kernel  syscalls.Kernel    // makes the system calls on sockets; nil: syscalls.Linux
}

// Server is one running front end.
type Server struct {
	settings        Settings
	log             *slog.Logger
	kernel          syscalls.Kernel
	reactor         *reactor
	listener        *listener
	proxy           *proxy.Proxy
	dials           map[upstream.ConnID]*dial
	readBuffer      []byte
	readAheadBuffer []byte
	counters        counters
	unanswered      []dispatch.Response // see Unanswered
	peers           *peerSockets
	fileWatch       *fileWatch // nil without a file

	started   chan error    // takes the result of the start
	loopEnded chan struct{} // closed with the loop's end
	loopErr   error         // valid after loopEnded

	background       sync.WaitGroup // goroutines that Stop waits for
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc

	stopOnce sync.Once
	stopErr  error
}

// Start opens the sockets of a front end and returns once it serves.
func Start(settings Settings) (*Server, error) {
	s, err := newServer(settings)
	if err != nil {
		return nil, err
	}
	s.background.Go(s.runLoop)
	if err := <-s.started; err != nil {
		s.cancelBackground()
		s.peers.close()
		return nil, fmt.Errorf("front end %s: %w", settings.Name, err)
	}
	if settings.WorkersFile != "" {
		if s.fileWatch, err = watchFile(settings.WorkersFile, s.readEndpointList); err != nil {
			_ = s.Stop(0) // the watch's error is the one that tells why
			return nil, fmt.Errorf("list of workers %s: %w", settings.WorkersFile, err)
		}
	}
	if s.peers.receives {
		s.background.Go(s.receiveDatagrams)
	}
	s.log.Info("serving", "listen", s.settings.Listen, "peers", len(s.peers.targets))
	return s, nil
}

// newServer makes a server whose address is bound and which does not run yet.
func newServer(settings Settings) (*Server, error) {
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	settings.Log = settings.Log.With("front_end", settings.Name)
	if settings.Kernel == nil {
		settings.Kernel = syscalls.Linux{}
	}
	s := &Server{
		log:             settings.Log,
		kernel:          settings.Kernel,
		dials:           map[upstream.ConnID]*dial{},
		readBuffer:      make([]byte, readSize),
		readAheadBuffer: make([]byte, readAheadSize),
		started:         make(chan error, 1),
		loopEnded:       make(chan struct{}),
	}
	if err := s.open(&settings); err != nil {
		return nil, err
	}
	s.settings = settings
	s.backgroundCtx, s.cancelBackground = context.WithCancel(context.Background())
	return s, nil
}

// open opens the sockets and the loop. Where the machine lacks a resource at the moment it waits for it.
func (s *Server) open(settings *Settings) error {
	var bound string
	err := retryStart(func() (err error) {
		s.listener, bound, err = openListener(s.kernel, settings.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("listen on %s: %w", settings.Listen, err)
	}
	settings.Listen = bound
	err = retryStart(func() (err error) {
		s.reactor, err = newReactor(s.kernel, s.log, &s.counters)
		return err
	})
	if err != nil {
		return errors.Join(err, s.kernel.Close(s.listener.fd))
	}
	if s.peers, err = openPeerSockets(settings); err != nil {
		s.reactor.close()
		return errors.Join(err, s.kernel.Close(s.listener.fd))
	}
	return nil
}

// runLoop serves until the loop is stopped.
func (s *Server) runLoop() {
	err := s.begin()
	if err == nil {
		s.started <- nil
		err = s.reactor.run()
	}
	s.reactor.end()
	s.listener.close()
	s.closeConnections()
	s.reactor.close()
	if s.loopErr = err; err != nil {
		s.log.Error("event loop ended", "error", err)
		select {
		case s.started <- err:
		default:
		}
	}
	close(s.loopEnded)
}

// begin makes the front end and lets clients connect.
func (s *Server) begin() error {
	s.proxy = proxy.New(s.settings.Settings, loopHost{s})
	s.reactor.onTick = s.proxy.Tick
	s.reactor.onSweep = s.sweep
	s.unanswered = s.proxy.Unanswered()
	if s.settings.OnStart != nil {
		s.settings.OnStart(s.proxy)
	}
	s.reactor.sweepAt = time.Now()
	return s.listener.listen(s)
}

// closeConnections closes all sockets of a loop that has ended; nothing is reported of them.
func (s *Server) closeConnections() {
	for _, id := range sortedKeys(s.reactor.registrations) {
		if registered := s.reactor.registrations[id]; registered != nil {
			s.reactor.unregister(registered)
		}
	}
}

// sortedKeys are the keys of a map in their order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Unanswered are requests of an earlier process that may have run and must not run again; nobody was told how they ended.
func (s *Server) Unanswered() []dispatch.Response { return s.unanswered }

// Addr is where clients connect.
func (s *Server) Addr() string { return s.settings.Listen }

// Wait returns when the loop has ended, with its error.
func (s *Server) Wait() error {
	<-s.loopEnded
	return s.loopErr
}

// StopListening takes no more connections and requests; what is open goes on. Stop follows.
func (s *Server) StopListening() error { return s.Do((*proxy.Proxy).StopListening) }

// Stop takes no more connections and requests, waits up to grace for what is open, answers the rest at once and ends
// the loop.
func (s *Server) Stop(grace time.Duration) error {
	s.stopOnce.Do(func() { s.stopErr = s.stop(grace) })
	return s.stopErr
}

func (s *Server) stop(grace time.Duration) error {
	if s.fileWatch != nil {
		s.fileWatch.close()
	}
	s.doIfRunning((*proxy.Proxy).StopListening)
	s.waitUntil(grace, func(p *proxy.Proxy) bool { return p.Dispatcher().Idle() })
	s.doIfRunning((*proxy.Proxy).Terminate)
	s.waitUntil(storeTimeout, (*proxy.Proxy).RecordsStored)
	s.doIfRunning((*proxy.Proxy).CloseUpstream)
	s.waitUntil(sendTimeout, (*proxy.Proxy).AllSent)
	s.postIfRunning(s.reactor.stop)
	s.cancelBackground()
	s.peers.close()
	select {
	case <-s.loopEnded:
		s.background.Wait()
	case <-time.After(loopStopTimeout): // what depends on the loop may hang with it
		return ErrLoopStalled
	}
	s.log.Info("stopped")
	return nil
}

// waitUntil waits for a condition, for a limited time.
func (s *Server) waitUntil(timeout time.Duration, condition func(*proxy.Proxy) bool) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		holds := false
		if s.Do(func(p *proxy.Proxy) { holds = condition(p) }) != nil || holds {
			return
		}
	}
}
