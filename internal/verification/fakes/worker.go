package fakes

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	anyPort = "127.0.0.1:0"

	workerStream = 0x30e4 // separates the workers' random numbers from others of the same seed

	// A port may be held for moments after a crash.
	listenAttempts      = 50
	listenRetryInterval = 20 * time.Millisecond

	// overloadAllowance is the number of requests that a cold worker takes beside its limit.
	overloadAllowance = 2
)

// WorkerConfig is what a worker is. Times are seconds.
type WorkerConfig struct {
	Name                    string
	Addr                    string // host:port; port 0 takes a free one, which it keeps over restarts
	MachineType             string // machine type
	Cores                   int
	Speed                   float64
	Memory                  float64 // MB for replicas
	QueueLimit              int     // requests that wait
	MaxConcurrentLoads      int     // concurrent loads
	IdleReplicaLifetime     float64 // an idle replica is let go after this
	InitialCapacityFraction float64 // share of its capacity that it has at its start
	WarmUpTime              float64 // from its start to its full capacity
	OverloadFactor          float64 // multiple of its capacity at which it fails while cold; 0: never
	OverloadWindow          float64 // over which that is measured
	LoadsOnRequest          bool    // a request for a function that is not loaded loads it; otherwise it is answered 404
	MeanWork                float64
	Functions               []Function
	Store                   *Store
	Deduplicator            *Deduplicator   // drops repeats of keyed requests
	IdempotentByKeyClasses  map[string]bool // request classes whose repeats are dropped
	Recorder                *invariants.Recorder
	Seed                    uint64
}

// Worker is one fake worker. Its process may end and start anew; its name and address stay.
type Worker struct {
	spec WorkerConfig
	addr string // where it is reached, also after a restart

	mu          sync.Mutex
	rng         *rand.Rand
	replicas    []*replicaSet
	byName      map[string]*replicaSet // by function, or function@digest
	queue       []*queuedRequest
	running     int
	loads       int // that are under way
	faults      map[FaultKind]activeFault
	startedAt   time.Time
	cold        bool        // started within the recording
	arrivals    []time.Time // of requests while it is cold, within the window
	down        bool
	incarnation int
	stop        chan struct{} // closed when the process ends
	server      *http.Server
	conns       map[net.Conn]bool
	report      string // the newest load report
}

// NewWorker starts a worker that has run for long: it is warm, and has no replicas.
func NewWorker(spec WorkerConfig) (*Worker, error) {
	addr := spec.Addr
	if addr == "" {
		addr = anyPort
	}
	listener, err := listen(addr)
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", spec.Name, err)
	}
	w := &Worker{spec: spec, addr: listener.Addr().String(), rng: rand.New(rand.NewPCG(spec.Seed, workerStream))}
	w.start(listener, false)
	return w, nil
}

// Addr returns where it is reached, also while it is down.
func (w *Worker) Addr() string { return w.addr }

// Name returns its name in the endpoint list.
func (w *Worker) Name() string { return w.spec.Name }

// StartedAt returns when its process started. cold is whether it did so within the recording.
func (w *Worker) StartedAt() (at time.Time, cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedAt, w.cold
}

// Crash kills the process: connections break, replicas and images are gone.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.crash()
	w.mu.Unlock()
}

// Restart starts the process anew at the same address, cold.
func (w *Worker) Restart() error {
	w.Crash()
	listener, err := listen(w.addr)
	if err != nil {
		return err
	}
	w.start(listener, true)
	return nil
}

// Close ends the worker.
func (w *Worker) Close() { w.Crash() }

// start starts the process on a listener.
func (w *Worker) start(listener net.Listener, cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byName, w.replicas = map[string]*replicaSet{}, nil
	for i := range w.spec.Functions {
		s := &replicaSet{function: &w.spec.Functions[i]}
		w.byName[s.function.Name] = s
		w.replicas = append(w.replicas, s)
	}
	w.queue, w.running, w.loads, w.arrivals, w.down = nil, 0, 0, nil, false
	w.faults, w.conns = map[FaultKind]activeFault{}, map[net.Conn]bool{}
	w.startedAt, w.cold, w.stop = time.Now(), cold, make(chan struct{})
	w.incarnation++
	w.server = &http.Server{Handler: w.routes(), ErrorLog: log.New(io.Discard, "", 0), ConnState: w.onConnState}
	server := w.server
	go func() { _ = server.Serve(listener) }() // it returns when the server is closed
	go w.evictIdle(w.stop)
	if cold {
		w.spec.Recorder.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: w.spec.Name})
	}
}

func listen(addr string) (listener net.Listener, err error) {
	for range listenAttempts {
		if listener, err = net.Listen("tcp", addr); err == nil {
			return listener, nil
		}
		time.Sleep(listenRetryInterval)
	}
	return nil, err
}

// crash ends the process. The caller holds the lock.
func (w *Worker) crash() {
	if w.down {
		return
	}
	w.down = true
	close(w.stop)
	for conn := range w.conns {
		resetOnClose(conn)
	}
	server := w.server
	go func() { _ = server.Close() }() // the process is gone, whatever its sockets say
}

func (w *Worker) onConnState(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, conn)
	}
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
}

// warmth is the share of its capacity that the worker has now. The caller holds the lock.
func (w *Worker) warmth() float64 {
	age := time.Since(w.startedAt).Seconds()
	if !w.cold || age >= w.spec.WarmUpTime {
		return 1
	}
	return w.spec.InitialCapacityFraction + (1-w.spec.InitialCapacityFraction)*age/w.spec.WarmUpTime
}

// overloaded counts a request that reaches a cold worker, and crashes the worker where that is too much. The caller
// holds the lock.
func (w *Worker) overloaded() bool {
	if w.warmth() >= 1 || w.spec.OverloadFactor == 0 {
		return false
	}
	now := time.Now()
	w.arrivals = append(w.arrivals, now)
	for now.Sub(w.arrivals[0]) > seconds(w.spec.OverloadWindow) {
		w.arrivals = w.arrivals[1:]
	}
	capacity := float64(w.spec.Cores) * w.spec.Speed * w.warmth() * w.spec.OverloadWindow
	if float64(len(w.arrivals)-overloadAllowance)*w.spec.MeanWork <= w.spec.OverloadFactor*capacity {
		return false
	}
	w.spec.Recorder.Add(invariants.Record{Kind: invariants.WorkerOverloaded, Worker: w.spec.Name})
	w.crash()
	return true
}
