package soak

import (
	"math/rand/v2"
	"time"
)

// takeWorker removes a random worker from the active ones and returns it. It returns nil if no more than half of the initial
// number of workers is active.
func (h *harness) takeWorker(random *rand.Rand) *worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.workers) <= h.settings.Workers/2 {
		return nil
	}
	index := random.IntN(len(h.workers))
	w := h.workers[index]
	h.workers = append(h.workers[:index], h.workers[index+1:]...)
	return w
}

// crashWorkers crashes up to three workers without a drain notice. A new worker takes over the addresses of each as soon as
// the endpoint list has dropped it.
func (h *harness) crashWorkers(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		w := h.takeWorker(random)
		if w == nil {
			return
		}
		w.crash()
		time.Sleep(time.Duration(random.Int64N(int64(minFaultDuration))))
		h.discovery.add(w, stateLeft, 0)
		if err := h.addWorker(w.addresses); err != nil {
			h.violate("harness", "%v", err)
		}
	}
}

// drainWorkers drains up to three workers one after another. It adds a new worker for each before it terminates the old
// one.
func (h *harness) drainWorkers(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		w := h.takeWorker(random)
		if w == nil {
			return
		}
		w.draining.Store(true)
		h.discovery.add(w, stateLeaving, 0)
		if err := h.addWorker(nil); err != nil {
			h.violate("harness", "%v", err)
		}
		time.Sleep(randomFaultDuration(random))
		h.discovery.add(w, stateLeft, 0)
		w.crash()
	}
}

// injectWorkerFaults makes up to three workers misbehave for a random time.
func (h *harness) injectWorkerFaults(random *rand.Rand) {
	h.mu.Lock()
	chosen := append([]*worker(nil), h.workers...)
	h.mu.Unlock()
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	chosen = chosen[:min(len(chosen), 1+random.IntN(3))]
	for _, w := range chosen {
		w.fault.Store(int32(1 + random.IntN(int(workerFaultCount)-1)))
	}
	time.Sleep(randomFaultDuration(random))
	for _, w := range chosen {
		w.fault.Store(int32(workerHealthy))
	}
}
