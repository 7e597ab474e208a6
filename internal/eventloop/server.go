// Package eventloop has the program's only real sockets and its only real clock: gnet event loops that carry bytes
// between clients, a front end, workers and the other front ends. One Server owns one proxy.Proxy: all of the proxy's
// state is used on one event loop, so that nothing in it is locked. The package makes no decision. The program's
// commands and the appliance start servers.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/proxy"
)

const (
	// maxEnrolling is how many connections to workers may be handed to the loop at once: each holds two descriptors
	// meanwhile.
	maxEnrolling = 8
	// storeTimeout is how long Stop waits for records to reach the disk.
	storeTimeout = 5 * time.Second
	// loopStopTimeout is how long Stop waits for the event loop's end.
	loopStopTimeout = 5 * time.Second
	// pollInterval is how often Stop looks whether what it waits for has happened.
	pollInterval = 10 * time.Millisecond
)

// ErrLoopEnded is returned by functions that need the event loop once it has ended.
var ErrLoopEnded = errors.New("event loop ended")

// Settings of one front end's sockets.
type Settings struct {
	proxy.Settings
	Listen        string   // host:port for clients; port 0 takes a free one
	PeerListen    string   // host:port for other front ends' datagrams, "" for none
	Peers         []string // host:port of each other front end, and of this one where Self is set
	WorkersFile   string   // the endpoint list, read whenever it changes; "" for none
	PeerBroadcast string   // one address that reaches all other front ends; "": a datagram is sent to each of Peers
	// Self is this front end's own address among Peers. Where it is set, datagrams leave from PeerListen, and are taken
	// from Peers alone.
	Self    string
	OnStart func(*proxy.Proxy) // called on the event loop before anything that came in; may be nil

	holdOwnConnection <-chan struct{} // holds back the program's own first connection; nil: it is made at once
}

// Server is one running front end.
type Server struct {
	gnet.BuiltinEventEngine
	settings   Settings
	log        *slog.Logger
	engine     gnet.Engine
	loop       gnet.EventLoop
	proxy      *proxy.Proxy
	unanswered []dispatch.Response // see Lost
	timer      *time.Timer         // of the proxy
	peers      *peerSockets
	fileWatch  *fileWatch // nil without a file

	started   chan error    // takes the result of the start
	begun     chan struct{} // closed once the loop and the proxy are known
	loopEnded chan struct{} // closed with the loop's end
	loopErr   error         // valid after loopEnded
	enrolling chan struct{} // counts connections that are handed to the loop, see maxEnrolling

	background       sync.WaitGroup // goroutines that Stop waits for
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc

	stopOnce sync.Once
	stopErr  error
}

// Start opens the sockets of a front end and returns once it serves.
func Start(settings Settings) (*Server, error) {
	addr, err := probeAddress(settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", settings.Listen, err)
	}
	settings.Listen = addr
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	settings.Log = settings.Log.With("front_end", settings.Name)
	peers, err := openPeerSockets(&settings)
	if err != nil {
		return nil, err
	}
	s := newServer(settings, peers)
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
	if s.peers.ownSocketReceives() {
		s.background.Go(s.receiveDatagrams)
	}
	s.log.Info("serving", "listen", addr, "peers", len(s.peers.targets))
	return s, nil
}

func newServer(settings Settings, peers *peerSockets) *Server {
	s := &Server{
		settings:  settings,
		log:       settings.Log,
		peers:     peers,
		started:   make(chan error, 1),
		begun:     make(chan struct{}),
		loopEnded: make(chan struct{}),
		enrolling: make(chan struct{}, maxEnrolling),
	}
	s.backgroundCtx, s.cancelBackground = context.WithCancel(context.Background())
	return s
}

// runLoop runs gnet's event loop until it is stopped.
func (s *Server) runLoop() {
	listen := []string{"tcp://" + s.settings.Listen}
	if s.settings.PeerListen != "" && !s.peers.ownSocketReceives() {
		listen = append(listen, "udp://"+s.settings.PeerListen)
	}
	// ReusePort makes the one event loop accept by itself, so that nothing runs on a second one.
	err := gnet.Rotate(s, listen, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
		gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(gnetLogger{s.log}))
	select {
	case s.started <- errors.Join(err, ErrLoopEnded):
	default:
	}
	s.loopErr = err
	close(s.loopEnded)
}

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
	if s.loop != nil && s.proxy != nil {
		s.doIfRunning((*proxy.Proxy).StopListening)
		s.waitUntil(grace, func(p *proxy.Proxy) bool { return p.Dispatcher().Idle() })
		s.doIfRunning((*proxy.Proxy).Terminate)
		s.waitUntil(storeTimeout, (*proxy.Proxy).RecordsStored)
		s.doIfRunning((*proxy.Proxy).CloseUpstream)
	}
	ctx, cancel := context.WithTimeout(context.Background(), loopStopTimeout)
	defer cancel()
	err := s.engine.Stop(ctx)
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancelBackground()
	s.peers.close()
	if err == nil { // else the loop hangs, and what depends on it may too
		s.background.Wait()
	}
	s.log.Info("stopped")
	return err
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
