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
	"streamcleat/internal/verification/ports"
)

const (
	workerStream = 0x30e4 // selects a random number stream that is independent of others with the same seed

	// listenAttempts and listenRetryInterval allow for the short time that a port may stay in use after a crash.
	listenAttempts      = 50
	listenRetryInterval = 20 * time.Millisecond
)

// WorkerConfig is the configuration of a worker. Times are in seconds.
type WorkerConfig struct {
	Name                    string
	Addr                    string // host:port; if empty, a free port is chosen and kept across restarts
	MachineType             string
	Cores                   int
	Speed                   float64
	Memory                  float64 // MB for replicas
	QueueLimit              int     // maximum number of waiting requests
	MaxConcurrentLoads      int
	IdleReplicaLifetime     float64 // time after which an idle replica is evicted
	InitialCapacityFraction float64 // fraction of the full capacity that is available after a cold start
	WarmUpTime              float64 // from a cold start to full capacity
	OverloadFactor          float64 // load, as a multiple of its capacity, at which it crashes while cold; 0: never
	OverloadWindow          float64 // period over which that load is measured
	LoadsOnRequest          bool    // whether a request for a function that is not loaded loads it; if not, the response is 404
	MeanWork                float64 // mean execution time of a request on a core of speed 1
	Functions               []Function
	Store                   *Store
	Deduplicator            *Deduplicator   // drops duplicates of requests with an idempotency key
	IdempotentByKeyClasses  map[string]bool // request classes whose duplicates are dropped
	Recorder                *invariants.Recorder
	Seed                    uint64
}

// Worker is a fake worker. Its simulated process may crash and restart, and keeps its name and address.
type Worker struct {
	config    WorkerConfig
	addr      string // kept across restarts
	createdAt time.Time

	mu          sync.Mutex
	rng         *rand.Rand
	replicas    *ReplicaTable
	queue       []*queuedRequest
	running     int
	loads       int // number of loads in progress
	faults      map[FaultKind]activeFault
	startedAt   time.Time
	cold        bool        // started after the recording began, so that it has to warm up
	arrivals    []time.Time // times of requests to a cold worker within OverloadWindow
	down        bool
	incarnation int           // number of processes started so far
	stop        chan struct{} // closed when the process ends
	server      *http.Server
	conns       map[net.Conn]bool
	lastReport  string // the latest load report
}

// NewWorker starts a worker that is warm, like one that has run for a long time, but has no replicas.
func NewWorker(config WorkerConfig) (*Worker, error) {
	listener, err := listen(config.Addr)
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", config.Name, err)
	}
	w := &Worker{
		config: config, addr: listener.Addr().String(), createdAt: time.Now(),
		rng: rand.New(rand.NewPCG(config.Seed, workerStream)),
	}
	w.start(listener)
	return w, nil
}

// Addr returns the worker's address, also while it is down.
func (w *Worker) Addr() string { return w.addr }

// Name returns the worker's name in the endpoint list.
func (w *Worker) Name() string { return w.config.Name }

// StartedAt returns when the worker's process started, and whether that was a cold start, one after the
// recording began.
func (w *Worker) StartedAt() (at time.Time, cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedAt, w.cold
}

// Crash terminates the process: connections are reset, replicas and images are lost.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.crash()
	w.mu.Unlock()
}

// Restart restarts the process at the same address, cold.
func (w *Worker) Restart() error {
	w.Crash()
	listener, err := listen(w.addr)
	if err != nil {
		return err
	}
	w.start(listener)
	return nil
}

// Close stops the worker.
func (w *Worker) Close() { w.Crash() }

// now returns the seconds since the worker was created.
func (w *Worker) now() float64 { return time.Since(w.createdAt).Seconds() }

// start starts a process that serves a listener. The worker's first process is warm, later ones are cold.
func (w *Worker) start(listener net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas = NewReplicaTable(w.config.Functions)
	w.queue, w.running, w.loads, w.arrivals, w.down = nil, 0, 0, nil, false
	w.faults, w.conns = map[FaultKind]activeFault{}, map[net.Conn]bool{}
	w.startedAt, w.cold, w.stop = time.Now(), w.incarnation > 0, make(chan struct{})
	w.incarnation++
	w.server = &http.Server{Handler: w.routes(), ErrorLog: log.New(io.Discard, "", 0), ConnState: w.onConnState}
	server := w.server
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	go w.evictIdle(w.stop)
	if w.cold {
		w.config.Recorder.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: w.config.Name})
	}
}

// listen listens at an address, or at any free one if addr is empty. It retries while the address is in use.
func listen(addr string) (net.Listener, error) {
	var err error
	for range listenAttempts {
		var listener net.Listener
		if listener, err = ports.Listen(addr); err == nil {
			return listener, nil
		}
		time.Sleep(listenRetryInterval)
	}
	return nil, err
}

// crash terminates the process. The caller must hold the lock.
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
	go func() { _ = server.Close() }() // the process counts as terminated even if this fails
}

func (w *Worker) onConnState(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, conn)
	default:
	}
}
