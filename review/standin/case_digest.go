//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["digest"] = caseDigest }

// caseDigest: discovery is down for 8 s; 2 s into it a worker begins to drain for 6 s, whose id shares the twelve bits by which
// front ends name workers to each other with the id of another worker.
func caseDigest(w *world, trouble bool) ([]string, error) {
	s := defaultSite()
	var workers []*worker
	var hosts []host
	ids := workerIDs(16)
	for i, id := range ids {
		wk := newWorker(w, host{Host: id, Site: "bureau-mr1", Class: []string{"std-5c", "eco-5c"}[i%2], Block: i / 4, Health: "active", Share: 1})
		wk.work = 30 * time.Millisecond
		workers, hosts = append(workers, wk), append(hosts, wk.host)
	}
	d := newDiscovery(w, hosts)
	fs := newFrontEnds(w, 3)
	if err := s.startAll(fs, d); err != nil {
		return nil, err
	}
	fns := functions(32)
	stop := make(chan struct{})
	var results []<-chan []*request
	for _, f := range fs {
		results = append(results, traffic(w, f, 40, stop, func(i int) *request { return newRequest("shop-event", fns[i%len(fns)], 4*time.Second) }))
	}
	time.Sleep(8 * time.Second)
	drained := workers[len(workers)-1]
	began := time.Now()
	if trouble {
		d.down()
	}
	time.Sleep(time.Until(began.Add(2050 * time.Millisecond)))
	drained.drain()
	h := drained.host
	h.Health = "leaving"
	d.tell(false, h)
	told := time.Now()
	if trouble {
		told = began.Add(4 * time.Second)
	}
	time.Sleep(time.Until(began.Add(8 * time.Second)))
	end := time.Now()
	drained.die()
	h.Health = "left"
	d.tell(false, h)
	if trouble {
		d.up()
	}
	time.Sleep(time.Second)
	close(stop)
	var all []*request
	for _, r := range results {
		all = append(all, <-r...)
	}
	time.Sleep(500 * time.Millisecond)
	fmt.Printf("%d requests, %d served, %d refused\n", len(all), count(all, 0), count(all, 8))
	return sentAfter(drained, told.Add(s.grace+50*time.Millisecond), end), nil
}

// workerIDs returns ids of which the last one shares its digest with an earlier one.
func workerIDs(n int) []string {
	var ids []string
	seen := map[uint64]bool{}
	digest := func(id string) uint64 {
		h := uint64(14695981039346656037)
		for _, c := range []byte(id) {
			h = (h ^ uint64(c)) * 1099511628211
		}
		return h & 0xfff
	}
	for i := 0; ; i++ {
		id := fmt.Sprintf("s-%08x", uint32(i)*2654435761)
		d := digest(id)
		switch {
		case len(ids) < n-1 && !seen[d]:
			seen[d] = true
			ids = append(ids, id)
		case len(ids) == n-1 && seen[d] != (os.Getenv("SHARED") == "0"):
			return append(ids, id)
		}
	}
}
