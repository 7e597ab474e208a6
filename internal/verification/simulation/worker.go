package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"streamcleat/internal/http1"
	"streamcleat/internal/units"
	"streamcleat/internal/verification/fakes"
)

// Parameters of every worker.
const (
	workerMemoryMB     = 3000
	workerQueueLimit   = 64
	maxConcurrentLoads = 4
	slowFactor         = 6.0 // multiplier of the execution time under FaultSlow
	evictionInterval   = 0.1 // seconds between checks for idle replicas
	firstEvictionDelay = 0.5 // seconds from the start of a process to the first check
)

// Endpoint states of a worker.
const (
	stateServing  = "serving"
	stateDraining = "draining"
	stateRemoved  = "gone"
)

// worker is a fake worker on the virtual clock. It serves the Open Inference Protocol over the simulated network, and loads
// replicas from the function store that all workers share.
type worker struct {
	process
	site        *site
	rng         *rand.Rand
	cores       int
	speed       float64
	replicas    *fakes.ReplicaTable
	onLoaded    map[*fakes.ReplicaSet][]func() // callbacks that check whether pending load commands are done
	queue       []*workerRequest
	active      int // number of requests in execution
	loads       int // number of loads in progress
	faultUntil  map[FaultKind]units.Seconds
	coldSince   units.Seconds // time of a cold start; 0 if the worker is warm
	startedUnix float64       // start time in the endpoint list; 0: omitted
	listed      bool
	state       string
}

// newWarmWorker returns a running worker that counts as started long ago, so that it has full capacity, but no replicas.
func (s *site) newWarmWorker(number int) *worker {
	w := s.newWorker(number)
	w.start()
	return w
}

// newColdWorker returns a running worker that is warming up.
func (s *site) newColdWorker(number int) *worker {
	w := s.newWorker(number)
	w.startCold()
	return w
}

func (s *site) newWorker(number int) *worker {
	kind, speed := fakes.MachineType(number)
	name := fmt.Sprintf("wk-%d", number)
	w := &worker{
		process: process{scheduler: s.scheduler, name: name, powered: true}, site: s, rng: newRand(s.script.Seed, name),
		cores: s.script.Cores, speed: speed, faultUntil: map[FaultKind]units.Seconds{}, listed: true, state: stateServing,
	}
	s.machineTypes[name] = kind
	s.rules.Capacity[name] = float64(w.cores) * speed
	s.network.listeners[name+":80"] = &listener{&w.process, w.accept}
	return w
}

// startCold starts a process whose capacity grows during warmUpTime.
func (w *worker) startCold() {
	w.start()
	w.coldSince = w.scheduler.now
	w.startedUnix = float64(w.wallClock().UnixNano()) / 1e9
}

// start starts a process with full capacity and without replicas.
func (w *worker) start() {
	w.incarnation++
	w.running, w.powered, w.suspended = true, true, false
	w.replicas, w.onLoaded = fakes.NewReplicaTable(w.site.functions), map[*fakes.ReplicaSet][]func(){}
	w.queue, w.active, w.loads = nil, 0, 0
	clear(w.faultUntil)
	w.coldSince, w.startedUnix = 0, 0
	w.after(firstEvictionDelay, "lapses", w.evictIdle)
}

// stop ends the process. The kernel resets its connections, unless the machine loses power.
func (w *worker) stop(kind exitKind) {
	if !w.running {
		return
	}
	ends := w.site.network.endpointsOf(w.name)
	w.terminate()
	for _, e := range ends {
		if kind == powerLoss {
			e.dropSilently()
		} else {
			e.resetByKernel()
		}
	}
	w.powered = kind != powerLoss
}

// hasFault reports whether a fault of a kind is active.
func (w *worker) hasFault(kind FaultKind) bool { return w.faultUntil[kind] > w.scheduler.now }

// drawFault decides at random whether a fault affects the current request. An active fault affects two of three requests.
func (w *worker) drawFault(kind FaultKind) bool { return w.hasFault(kind) && w.rng.IntN(3) > 0 }

// capacityFraction returns the fraction of its full capacity that the worker has at present.
func (w *worker) capacityFraction() units.Seconds {
	age := w.scheduler.now - w.coldSince
	if w.coldSince == 0 || age >= warmUpTime {
		return 1
	}
	return initialCapacityFraction + (1-initialCapacityFraction)*age/warmUpTime
}

// accept accepts a connection from a front end. The close of a connection cancels its requests.
func (w *worker) accept(e *endpoint) bool {
	framer := http1.NewRequestFramer(messageLimits)
	var open []*workerRequest
	e.onData = func(data []byte) {
		framer.Feed(data)
		for {
			m, err := framer.Next()
			if err != nil {
				e.close()
				return
			}
			if m == nil {
				return
			}
			if r := w.serve(e, m); r != nil {
				open = append(open, r)
			}
		}
	}
	e.onClosed = func() {
		e.close()
		for _, r := range open {
			r.cancelled = true
			w.queue = slices.DeleteFunc(w.queue, func(x *workerRequest) bool { return x == r })
		}
	}
	return true
}
