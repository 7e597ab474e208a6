package soak

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// claim reserves up to count randomly chosen front ends for a fault. It skips those that another fault has claimed.
func (h *harness) claim(random *rand.Rand, count int) []*frontEnd {
	var claimed []*frontEnd
	for _, number := range random.Perm(len(h.frontEnds))[:min(count, len(h.frontEnds))] {
		if f := h.frontEnds[number]; f.claimed.CompareAndSwap(false, true) {
			claimed = append(claimed, f)
		}
	}
	return claimed
}

// forEachClaimed calls f for all claimed front ends concurrently, and releases each claim when its call returns.
func forEachClaimed(claimed []*frontEnd, f func(*frontEnd)) {
	var running sync.WaitGroup
	for _, frontEnd := range claimed {
		running.Go(func() {
			f(frontEnd)
			frontEnd.claimed.Store(false)
		})
	}
	running.Wait()
}

// startNextProcess starts the next process of a front end, and updates the figures on restarts in the result.
func (h *harness) startNextProcess(f *frontEnd) {
	if err := f.start(); err != nil {
		h.violate("start", "%v", err)
		return
	}
	h.mu.Lock()
	h.result.Restarts++
	h.result.SlowestReady = max(h.result.SlowestReady, f.currentProcess().timeToReady.Seconds())
	h.mu.Unlock()
}

func (h *harness) restartFrontEnds(random *rand.Rand) {
	forEachClaimed(h.claim(random, 1+random.IntN(4)), func(f *frontEnd) {
		f.checkAlive()
		f.terminate()
		h.startNextProcess(f)
	})
}

func (h *harness) killFrontEnds(random *rand.Rand) {
	forEachClaimed(h.claim(random, 1+random.IntN(4)), func(f *frontEnd) {
		f.checkAlive()
		f.kill()
		h.startNextProcess(f)
	})
}

// reloadWhileStopping sends SIGTERM, followed by SIGHUP within 100 ms, while the process is stopping.
func (h *harness) reloadWhileStopping(random *rand.Rand) {
	forEachClaimed(h.claim(random, 2), func(f *frontEnd) {
		f.checkAlive()
		time.AfterFunc(time.Duration(rand.Int64N(int64(100*time.Millisecond))), func() { f.reload() })
		f.terminate()
		h.startNextProcess(f)
	})
}

// signalInSeries sends SIGHUP and SIGTERM in turn, the first SIGTERM of which begins the shutdown.
func (h *harness) signalInSeries(random *rand.Rand) {
	forEachClaimed(h.claim(random, 2), func(f *frontEnd) {
		f.checkAlive()
		f.reload()
		for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
			time.AfterFunc(time.Duration(rand.Int64N(int64(maxSignalDelay))), func() { f.signal(sig) })
		}
		f.terminate()
		time.Sleep(maxSignalDelay) // a later signal would reach the next process
		h.startNextProcess(f)
	})
}

// maxSignalDelay is the maximum delay of the signals of a series after the first SIGTERM.
const maxSignalDelay = 300 * time.Millisecond

// lastEventDelay gives a front end time to read the last events of the old address before SIGHUP makes it switch to the new
// one. The harness cannot observe whether an event that arrives together with the signal was read.
const lastEventDelay = 20 * time.Millisecond

// reload moves discovery to another address and makes the front end reload its document.
func (f *frontEnd) reload() {
	if f.migrateDiscovery() != nil {
		return
	}
	time.Sleep(lastEventDelay)
	if _, err := f.writeDocument(); err == nil {
		f.signal(syscall.SIGHUP)
	}
}

func (h *harness) migrateDiscovery(random *rand.Rand) {
	forEachClaimed(h.claim(random, 8), func(f *frontEnd) {
		f.reload()
		time.Sleep(100 * time.Millisecond)
		f.reload() // the second move in quick succession
	})
	time.Sleep(randomFaultDuration(random))
}

// truncateDocuments makes front ends reload a document that is only half written.
func (h *harness) truncateDocuments(random *rand.Rand) {
	forEachClaimed(h.claim(random, 4), func(f *frontEnd) {
		data, err := os.ReadFile(f.documentPath)
		if err != nil {
			h.violate("harness", "%v", err)
			return
		}
		if err := os.WriteFile(f.documentPath, data[:len(data)/2], 0o600); err != nil {
			h.violate("harness", "%v", err)
		}
		f.signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		if _, err := f.writeDocument(); err != nil {
			h.violate("harness", "%v", err)
		}
	})
}

// suspendFrontEnds suspends processes for 100 to 300 ms, as an overloaded machine would.
func (h *harness) suspendFrontEnds(random *rand.Rand) {
	duration := time.Duration(100+random.IntN(200)) * time.Millisecond
	forEachClaimed(h.claim(random, 4), func(f *frontEnd) {
		process := f.currentProcess().cmd.Process
		_ = process.Signal(syscall.SIGSTOP) // it may have ended
		time.Sleep(duration)
		_ = process.Signal(syscall.SIGCONT)
	})
}

func (h *harness) suspendLogReaders(random *rand.Rand) {
	claimed := h.claim(random, 6)
	for _, f := range claimed {
		f.currentProcess().log.suspended.Store(true)
	}
	time.Sleep(randomFaultDuration(random))
	forEachClaimed(claimed, func(f *frontEnd) { f.currentProcess().log.suspended.Store(false) })
}
