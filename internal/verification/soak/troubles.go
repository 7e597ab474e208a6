package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// trouble is something that goes wrong for a while. It returns once it is over.
type trouble struct {
	name string
	play func(s *site, random *rand.Rand)
}

// troubles are all kinds; several of them are under way at any time.
var troubles = []trouble{
	{"restart", (*site).restartFrontEnds},
	{"kill", (*site).killFrontEnds},
	{"move-discovery", (*site).moveDiscovery},
	{"faulty-document", (*site).faultyDocument},
	{"pause", (*site).pauseFrontEnds},
	{"log-reader-stalls", (*site).stallLogReaders},
	{"worker-crashes", (*site).crashWorkers},
	{"worker-drains", (*site).drainWorkers},
	{"worker-misbehaves", (*site).misbehavingWorkers},
	{"discovery-misbehaves", (*site).misbehavingDiscovery},
	{"bad-clients", (*site).badClients},
	{"reload-while-stopping", (*site).reloadWhileStopping},
}

const (
	concurrentTroubles = 3
	shortestTrouble    = 300 * time.Millisecond
	longestTrouble     = 2 * time.Second
	quietStart         = time.Second // before the first trouble
)

// runTroubles plays the load with troubles of the seed, several at a time, until its time is up.
func (s *site) runTroubles(ctx context.Context) {
	end := time.Now().Add(s.settings.Duration)
	time.Sleep(quietStart)
	var playing sync.WaitGroup
	for lane := range concurrentTroubles {
		random := rand.New(rand.NewPCG(s.settings.Seed, 1<<32+uint64(lane)))
		playing.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				kind := troubles[random.IntN(len(troubles))]
				s.note(kind.name)
				kind.play(s, random)
				time.Sleep(time.Duration(random.Int64N(int64(shortestTrouble))))
			}
		})
	}
	playing.Wait()
}

func (s *site) note(name string) {
	s.mu.Lock()
	s.result.Faults = append(s.result.Faults, fmt.Sprintf("%.2f %s", s.recorder.Now(), name))
	s.mu.Unlock()
	s.settings.Log("%.2f %s", s.recorder.Now(), name)
}

func span(random *rand.Rand) time.Duration {
	return shortestTrouble + time.Duration(random.Int64N(int64(longestTrouble-shortestTrouble)))
}

// claim takes up to count front ends that no other trouble restarts at the moment.
func (s *site) claim(random *rand.Rand, count int) (claimed []*frontEnd) {
	for _, number := range random.Perm(len(s.frontEnds))[:min(count, len(s.frontEnds))] {
		if f := s.frontEnds[number]; f.claimed.CompareAndSwap(false, true) {
			claimed = append(claimed, f)
		}
	}
	return claimed
}

// forEach runs f for each front end side by side, and lets them go then.
func forEach(frontEnds []*frontEnd, f func(*frontEnd)) {
	var running sync.WaitGroup
	for _, frontEnd := range frontEnds {
		running.Go(func() {
			f(frontEnd)
			frontEnd.claimed.Store(false)
		})
	}
	running.Wait()
}

// replace starts the next process of a front end.
func (s *site) replace(f *frontEnd) {
	if err := f.start(); err != nil {
		s.violate("start", "%v", err)
		return
	}
	s.mu.Lock()
	s.result.Restarts++
	s.result.SlowestReady = max(s.result.SlowestReady, f.running().readyFor.Seconds())
	s.mu.Unlock()
}

func (s *site) restartFrontEnds(random *rand.Rand) {
	forEach(s.claim(random, 1+random.IntN(4)), func(f *frontEnd) {
		f.checkAlive()
		f.terminate()
		s.replace(f)
	})
}

func (s *site) killFrontEnds(random *rand.Rand) {
	forEach(s.claim(random, 1+random.IntN(4)), func(f *frontEnd) {
		f.checkAlive()
		f.kill()
		s.replace(f)
	})
}

// reloadWhileStopping sends SIGTERM and SIGHUP together, in both orders.
func (s *site) reloadWhileStopping(random *rand.Rand) {
	forEach(s.claim(random, 2), func(f *frontEnd) {
		f.checkAlive()
		time.AfterFunc(time.Duration(rand.Int64N(int64(100*time.Millisecond))), func() { s.reload(f) })
		f.terminate()
		s.replace(f)
	})
}

// reload moves a front end to another discovery address.
func (s *site) reload(f *frontEnd) {
	if f.moveDiscovery() == nil && f.writeDocument() == nil {
		_ = f.running().cmd.Process.Signal(syscall.SIGHUP) // it may have ended
	}
}

func (s *site) moveDiscovery(random *rand.Rand) {
	forEach(s.claim(random, 8), func(f *frontEnd) {
		s.reload(f)
		time.Sleep(100 * time.Millisecond)
		s.reload(f) // and again in quick succession
	})
	time.Sleep(span(random))
}

// faultyDocument has front ends read a document that is half written.
func (s *site) faultyDocument(random *rand.Rand) {
	forEach(s.claim(random, 4), func(f *frontEnd) {
		data, err := os.ReadFile(f.path)
		if err != nil {
			s.violate("harness", "%v", err)
			return
		}
		if err := os.WriteFile(f.path, data[:len(data)/2], 0o600); err != nil {
			s.violate("harness", "%v", err)
		}
		_ = f.running().cmd.Process.Signal(syscall.SIGHUP) // it may have ended
		time.Sleep(100 * time.Millisecond)
		if err := f.writeDocument(); err != nil {
			s.violate("harness", "%v", err)
		}
	})
}

// pauseFrontEnds stops processes for some tenths of a second, as a busy machine does.
func (s *site) pauseFrontEnds(random *rand.Rand) {
	pause := time.Duration(100+random.IntN(200)) * time.Millisecond
	forEach(s.claim(random, 4), func(f *frontEnd) {
		process := f.running().cmd.Process
		_ = process.Signal(syscall.SIGSTOP) // it may have ended
		time.Sleep(pause)
		_ = process.Signal(syscall.SIGCONT)
	})
}

func (s *site) stallLogReaders(random *rand.Rand) {
	claimed := s.claim(random, 6)
	for _, f := range claimed {
		f.running().log.stalled.Store(true)
	}
	time.Sleep(span(random))
	forEach(claimed, func(f *frontEnd) { f.running().log.stalled.Store(false) })
}

// takeWorker takes a worker off the list of active ones, unless hardly any would be left.
func (s *site) takeWorker(random *rand.Rand) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.workers) <= s.settings.Workers/2 {
		return nil
	}
	number := random.IntN(len(s.workers))
	w := s.workers[number]
	s.workers = append(s.workers[:number], s.workers[number+1:]...)
	return w
}

// crashWorkers ends workers without notice; others take their addresses at once.
func (s *site) crashWorkers(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		w := s.takeWorker(random)
		if w == nil {
			return
		}
		w.crash()
		time.Sleep(time.Duration(random.Int64N(int64(shortestTrouble))))
		s.discovery.add(w, stateLeft, 0)
		if err := s.addWorker(w.addresses, false); err != nil {
			s.violate("harness", "%v", err)
		}
	}
}

// drainWorkers has workers leave with notice, and others come.
func (s *site) drainWorkers(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		w := s.takeWorker(random)
		if w == nil {
			return
		}
		s.discovery.add(w, stateLeaving, 0)
		if err := s.addWorker(nil, false); err != nil {
			s.violate("harness", "%v", err)
		}
		time.Sleep(span(random))
		s.discovery.add(w, stateLeft, 0)
		w.crash()
	}
}

func (s *site) misbehavingWorkers(random *rand.Rand) {
	s.mu.Lock()
	chosen := append([]*worker(nil), s.workers...)
	s.mu.Unlock()
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	chosen = chosen[:min(len(chosen), 1+random.IntN(3))]
	for _, w := range chosen {
		w.fault.Store(int32(1 + random.IntN(int(faultCount)-1)))
	}
	time.Sleep(span(random))
	for _, w := range chosen {
		w.fault.Store(int32(healthy))
	}
}

func (s *site) misbehavingDiscovery(random *rand.Rand) {
	s.discovery.fault.Store(int32(1 + random.IntN(int(discoveryFaults)-1)))
	time.Sleep(span(random))
	s.discovery.fault.Store(int32(tells))
}

// badClients has clients of all bad kinds at some front ends.
func (s *site) badClients(random *rand.Rand) {
	end := time.Now().Add(span(random))
	var running sync.WaitGroup
	for range 4 {
		f := s.frontEnds[random.IntN(len(s.frontEnds))]
		kind := random.IntN(len(badInputs))
		running.Go(func() {
			for time.Now().Before(end) && !s.over() {
				if f.mayConnect() {
					abuse(f.listen, badInputs[kind])
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	running.Wait()
}

// badInputs are what bad clients send on each connection.
var badInputs = [][]byte{
	nil, // silence
	[]byte("GET / HTTP/1.1\r\n\r\n"),
	{0, 0, 0, 0},
	{255, 255, 255, 255, 1, 0, 0, 0, 1},
	encodeClientFrame(frameRequest, 1, []byte{3, 4, 'k'}),
	encodeClientFrame(99, 1, nil),
	manyUnknown(),
	encodeClientFrame(frameRequest, 1, make([]byte, 100_000))[:2000], // half a frame
}

// manyUnknown is hundreds of requests of a class that does not exist.
func manyUnknown() (input []byte) {
	for stream := range uint32(300) {
		fields := encodeFields([]clientField{{"kind", "none"}, {"req", fmt.Sprintf("%016x", stream+1)}})
		input = append(input, encodeClientFrame(frameRequest, stream+1, fields)...)
	}
	return input
}

// abuse opens connections, sends the input on each, reads a little and leaves, by a reset every other time.
func abuse(address string, input []byte) {
	const connections = 12
	var conns []net.Conn
	for range connections {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			break
		}
		_ = conn.SetDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = conn.Write(input) // the front end may have closed
		conns = append(conns, conn)
	}
	for number, conn := range conns {
		_, _ = conn.Read(make([]byte, binary.MaxVarintLen64)) // whatever it is
		if number%2 == 0 {
			reset(conn)
		}
		_ = conn.Close()
	}
}
