//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["keyed"] = caseKeyed }

// caseKeyed: discovery is down for 8 s, in which a step of a rolling deploy replaces two of twelve workers: they drain and
// go, and successors in another cell take their addresses. The successors fail half of their requests after they have run.
func caseKeyed(w *world, trouble bool) ([]string, error) {
	s := defaultSite()
	s.classes = []any{class("shop-event", "guarded", "cell", s.deadline, 5*time.Second)}
	fns := functions(24)
	var workers []*worker
	var hosts []host
	blocks := map[string]int{}
	add := func(h host) *worker {
		wk := newWorker(w, h)
		wk.work = 30 * time.Millisecond
		blocks[h.Host] = h.Block
		return wk
	}
	for i := range 12 {
		wk := add(host{Host: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Site: "bureau-mr1", Class: "std-5c", Block: i / 4, Health: "active", Share: 1})
		workers, hosts = append(workers, wk), append(hosts, wk.host)
	}
	d := newDiscovery(w, hosts)
	fs := newFrontEnds(w, 2)
	if err := s.startAll(fs, d); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var results []<-chan []*request
	for _, f := range fs {
		results = append(results, traffic(w, f, 120, stop, func(i int) *request {
			r := newRequest("shop-event", fns[i%len(fns)], 4*time.Second)
			r.key = "k" + r.id
			return r
		}))
	}
	time.Sleep(6 * time.Second)
	began := time.Now()
	if trouble {
		d.down()
	}
	time.Sleep(500 * time.Millisecond)
	// One step of a rolling deploy: two of twelve workers drain for 2 s, go, and are replaced at their addresses.
	step := []*worker{workers[1], workers[6]}
	for _, old := range step {
		old.drain()
		h := old.host
		h.Health = "leaving"
		d.tell(false, h)
	}
	time.Sleep(2 * time.Second)
	for _, old := range step {
		old.die()
		h := old.host
		h.Health = "left"
		d.tell(false, h)
	}
	time.Sleep(200 * time.Millisecond)
	var failing atomic.Bool
	failing.Store(true)
	for i, old := range step {
		next := add(host{Host: []string{"s-c7d10a42", "s-1b09e6f5"}[i], Dial: old.addr, Site: "bureau-mr1", Class: "std-5c", Block: 2, Health: "active", Share: 1, Born: time.Now().UnixMilli()})
		workers = append(workers, next)
		next.onAnswer = func(r *run, c net.Conn) bool {
			if !failing.Load() || rand.IntN(2) == 0 {
				return false
			}
			next.mu.Lock()
			r.code, r.ended = 68, time.Now()
			next.mu.Unlock()
			_, _ = c.Write(encodeAnswer(68, r.id, "", nil))
			w.logf("%s answers %016x with 68", next.host.Host, r.id)
			return true
		}
		d.tell(false, next.host)
	}
	told := began.Add(4*time.Second + 50*time.Millisecond)
	time.Sleep(time.Until(told))
	w.logf("all events of the deploy count as told")
	time.Sleep(time.Until(began.Add(8 * time.Second)))
	failing.Store(false)
	if trouble {
		d.up()
	}
	time.Sleep(time.Second)
	close(stop)
	var all []*request
	for _, r := range results {
		all = append(all, <-r...)
	}
	time.Sleep(time.Second)
	fmt.Printf("%d requests, %d served, %d refused, %d failed\n", len(all), count(all, 0), count(all, 8), count(all, 13))
	return keyedTwice(workers, blocks, told), nil
}

// keyedTwice returns the keyed requests that were sent again outside the cell of an attempt that had run.
func keyedTwice(workers []*worker, blocks map[string]int, told time.Time) (broken []string) {
	ran := map[uint64][]run{}
	for _, wk := range workers {
		for _, r := range wk.allRuns() {
			if !r.load && r.ran && r.began.After(told) {
				ran[r.id] = append(ran[r.id], r)
			}
		}
	}
	for id, list := range ran {
		for i, a := range list {
			for _, b := range list[:i] {
				if blocks[a.worker] != blocks[b.worker] {
					broken = append(broken, fmt.Sprintf("keyed request %016x ran on %s (cell %d) and on %s (cell %d)", id, b.worker, blocks[b.worker], a.worker, blocks[a.worker]))
				}
			}
		}
	}
	return broken
}
