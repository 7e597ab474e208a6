package eventloop

import (
	"cmp"
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
	// storeTimeout is the maximum time that Stop waits for records to be stored.
	storeTimeout = 5 * time.Second
	// sendTimeout is the maximum time that Stop waits for the last responses to be sent.
	sendTimeout = time.Second
	// loopStopTimeout is the maximum time that Stop waits for the event loop to end.
	loopStopTimeout = 5 * time.Second
	// pollInterval is the interval at which Stop checks whether a condition holds.
	pollInterval = 10 * time.Millisecond
	// readAheadSize is the maximum number of bytes that one call of ReadAhead returns.
	readAheadSize = 16 << 10
)

var (
	// ErrLoopEnded is returned by methods that need the event loop if it has ended.
	ErrLoopEnded = errors.New("event loop ended")
	// ErrLoopStalled is returned by Stop if the event loop does not end in time.
	ErrLoopStalled = errors.New("event loop stalled")
)

// Settings configure one front end and its sockets.
type Settings struct {
	proxy.Settings
	Listen           string   // host:port that clients connect to; port 0 selects a free port
	PeerListen       string   // host:port that receives gossip from other front ends; empty for none
	Peers            []string // host:port of the other front ends, and of this one if Self is set
	EndpointListFile string   // endpoint list file, read again whenever it changes; empty for none
	PeerBroadcast    string   // address that reaches all other front ends; if empty, a datagram is sent to each of Peers
	// Self is the address of this front end in Peers. If it is set, datagrams are accepted from Peers only.
	Self    string
	OnStart func(*proxy.Proxy) // called on the event loop before any input is handled; may be nil
	Kernel  syscalls.Kernel    // makes the system calls on sockets; nil means syscalls.Linux
}

// Server is one running front end.
type Server struct {
	settings         Settings
	log              *slog.Logger
	kernel           syscalls.Kernel
	reactor          *reactor
	listener         *listener
	proxy            *proxy.Proxy
	dials            map[upstream.ConnID]*dial
	readBuffer       []byte
	readAheadBuffer  []byte
	counters         counters
	failedAtRecovery []dispatch.Response // see FailedAtRecovery
	peers            *peerSocket
	fileWatch        *fileWatch // nil without an EndpointListFile

	started    chan error     // receives the result of startServing
	loopEnded  chan struct{}  // closed when the event loop has ended
	loopErr    error          // valid once loopEnded is closed
	background sync.WaitGroup // goroutines that Stop waits for

	stopOnce sync.Once
	stopErr  error
}

// Start starts a front end and returns when it accepts connections.
func Start(settings Settings) (*Server, error) {
	s, err := newServer(settings)
	if err != nil {
		return nil, err
	}
	s.background.Go(s.runLoop)
	s.background.Go(func() { s.reactor.stalls.run(s.loopEnded) })
	if err := <-s.started; err != nil {
		s.peers.close()
		return nil, fmt.Errorf("front end %s: %w", settings.Name, err)
	}
	if settings.EndpointListFile != "" {
		if s.fileWatch, err = watchFile(settings.EndpointListFile, s.readEndpointList); err != nil {
			_ = s.Stop(0) // the error of watchFile is returned
			return nil, fmt.Errorf("watch endpoint list %s: %w", settings.EndpointListFile, err)
		}
	}
	if s.peers.receives {
		s.background.Go(s.receiveDatagrams)
	}
	s.log.Info("serving", "listen", s.settings.Listen, "peers", len(s.peers.targets))
	return s, nil
}

// newServer returns a server that is bound to its address but not running yet.
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
	return s, nil
}

// open opens the sockets and creates the event loop. It retries while the machine lacks resources. It sets settings.Listen
// to the bound address.
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
	if s.peers, err = openPeerSocket(settings); err != nil {
		s.reactor.poller.close()
		return errors.Join(err, s.kernel.Close(s.listener.fd))
	}
	return nil
}

// runLoop runs the event loop until it is stopped or fails, then closes the sockets.
func (s *Server) runLoop() {
	err := s.startServing()
	if err == nil {
		s.started <- nil
		err = s.reactor.run()
	}
	s.reactor.tasks.close()
	s.listener.close()
	s.cancelLookups()
	s.closeConnections()
	s.reactor.poller.close()
	if s.loopErr = err; err != nil {
		s.log.Error("event loop failed", "error", err)
		select {
		case s.started <- err:
		default:
		}
	}
	close(s.loopEnded)
}

// startServing creates the proxy and starts to accept connections from clients.
func (s *Server) startServing() error {
	s.proxy = proxy.New(s.settings.Settings, loopHost{s})
	s.reactor.timers.onTick = s.proxy.Tick
	s.reactor.timers.onSweep = s.sweep
	s.failedAtRecovery = s.proxy.FailedAtRecovery()
	if s.settings.OnStart != nil {
		s.settings.OnStart(s.proxy)
	}
	s.reactor.timers.sweepAt = time.Now()
	return s.listener.listen(s)
}

// closeConnections closes all sockets after the loop has ended. The proxy is not notified.
func (s *Server) closeConnections() {
	for _, id := range sortedKeys(s.reactor.poller.registrations) {
		if reg := s.reactor.poller.registrations[id]; reg != nil {
			s.reactor.poller.unregister(reg)
		}
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// FailedAtRecovery returns the failure responses to requests of an earlier process that may have been executed and must not
// be retried. No client has received these responses.
func (s *Server) FailedAtRecovery() []dispatch.Response { return s.failedAtRecovery }

// Addr returns the address that clients connect to.
func (s *Server) Addr() string { return s.settings.Listen }

// Wait blocks until the event loop has ended and returns its error.
func (s *Server) Wait() error {
	<-s.loopEnded
	return s.loopErr
}

// StopListening starts to reject new connections and requests. Open requests continue until Stop.
func (s *Server) StopListening() error { return s.Do((*proxy.Proxy).StopListening) }

// Stop rejects new connections and requests, waits up to grace for open requests to complete, responds to the remaining ones
// and ends the event loop.
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
	s.peers.close()
	select {
	case <-s.loopEnded:
		s.background.Wait()
	case <-time.After(loopStopTimeout): // background goroutines may hang along with the event loop
		return ErrLoopStalled
	}
	s.log.Info("stopped")
	return nil
}

// waitUntil waits until a condition holds, the timeout expires or the event loop ends.
func (s *Server) waitUntil(timeout time.Duration, condition func(*proxy.Proxy) bool) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		holds := false
		if s.Do(func(p *proxy.Proxy) { holds = condition(p) }) != nil || holds {
			return
		}
	}
}
