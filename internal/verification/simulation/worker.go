package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"streamcleat/internal/http1"
	"streamcleat/internal/verification/fakes"
)

// Figures of every worker.
const (
	workerMemoryMB     = 3000
	workerQueueLimit   = 64
	maxConcurrentLoads = 4
	slowFactor         = 6.0 // of a worker with the fault "slow"
	evictionInterval   = 0.1 // seconds between looks for idle replicas
	firstEviction      = 0.5 // seconds from the start to the first look
)

// Phases of a worker in the endpoint list.
const (
	phaseServing  = "serving"
	phaseDraining = "draining"
	phaseGone     = "gone"
)

// worker is a fake worker as a state machine on the virtual clock: it speaks the Open Inference Protocol over the
// simulated network, loads replicas from a shared store, and fails on command.
type worker struct {
	process
	site        *site
	rng         *rand.Rand
	cores       int
	speed       float64
	replicas    *fakes.ReplicaTable
	onLoaded    map[*fakes.ReplicaSet][]func() // load commands that wait
	queue       []*workerRequest
	active      int // requests that run
	loads       int // that are under way
	faultUntil  map[FaultKind]float64
	startedCold float64 // 0: long ago, and warm
	startedUnix float64 // as the endpoint list states it; 0: not stated
	listed      bool
	phase       string
}

func (s *site) newWorker(number int, cold bool) *worker {
	kind, speed := fakes.MachineType(number)
	name := fmt.Sprintf("wk-%d", number)
	w := &worker{
		process: process{scheduler: s.scheduler, name: name, powered: true}, site: s, rng: newRand(s.script.Seed, name),
		cores: s.script.Cores, speed: speed, faultUntil: map[FaultKind]float64{}, listed: true, phase: phaseServing,
	}
	s.machineTypes[name] = kind
	s.rules.Capacity[name] = float64(w.cores) * speed
	s.network.listeners[name+":80"] = &listener{&w.process, w.accept}
	w.start(cold)
	return w
}

// start starts the process. A warm one ran for long, though it has no replicas.
func (w *worker) start(cold bool) {
	w.incarnation++
	w.running, w.powered, w.paused = true, true, false
	w.replicas, w.onLoaded = fakes.NewReplicaTable(w.site.functions), map[*fakes.ReplicaSet][]func(){}
	w.queue, w.active, w.loads = nil, 0, 0
	clear(w.faultUntil)
	w.startedCold, w.startedUnix = 0, 0
	if cold {
		w.startedCold = w.scheduler.now
		w.startedUnix = float64(w.wallClock().UnixNano()) / 1e9
	}
	w.after(firstEviction, "lapses", w.evictIdle)
}

// stop ends the process. Its machine answers for it unless that loses its power.
func (w *worker) stop(losePower bool) {
	if !w.running {
		return
	}
	ends := w.site.network.endpointsOf(w.name)
	w.terminate()
	for _, e := range ends {
		if losePower {
			e.drop()
		} else {
			e.vanish()
		}
	}
	w.powered = !losePower
}

// hasFault returns whether a fault is active.
func (w *worker) hasFault(kind FaultKind) bool { return w.faultUntil[kind] > w.scheduler.now }

// faultHits returns whether a fault meets the request at hand: it meets two of three.
func (w *worker) faultHits(kind FaultKind) bool { return w.hasFault(kind) && w.rng.IntN(3) > 0 }

// warmth is the share of its capacity that the worker has now.
func (w *worker) warmth() float64 {
	age := w.scheduler.now - w.startedCold
	if w.startedCold == 0 || age >= warmUpTime {
		return 1
	}
	return coldShare + (1-coldShare)*age/warmUpTime
}

// accept serves a connection of a front end.
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
