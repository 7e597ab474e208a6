//go:build review

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func init() { cases["cold"] = caseCold }

// caseCold replaces workers by cold ones under load and checks the slow start rule.
func caseCold(w *world, _ bool) ([]string, error) {
	s := defaultSite()
	nfe, _ := strconv.Atoi(os.Getenv("FE"))
	load, _ := strconv.ParseFloat(os.Getenv("LOAD"), 64)
	step, _ := strconv.Atoi(os.Getenv("STEP"))
	const coldFrom, warm, cores = 0.29, 16.0, 5
	mean := 150 * time.Millisecond
	capacity := cores / mean.Seconds()
	var workers, cold []*worker
	started := map[*worker]time.Time{}
	progress := func(wk *worker, at time.Time) float64 {
		if started[wk].IsZero() {
			return 1
		}
		return min(coldFrom+(1-coldFrom)*at.Sub(started[wk]).Seconds()/warm, 1)
	}
	serial := 0
	add := func(addr string, isCold bool) *worker {
		serial++
		h := host{Host: fmt.Sprintf("s-%08x", uint32(serial)*2654435761), Dial: addr, Site: "bureau-mr1", Class: "std-5c", Block: serial / 4, Health: "active", Share: 1}
		at := time.Now()
		if isCold {
			h.Born = at.UnixMilli()
		}
		wk := newWorker(w, h)
		if isCold {
			started[wk] = at
			cold = append(cold, wk)
		}
		wk.cores = make(chan struct{}, cores)
		wk.load = 800 * time.Millisecond
		wk.slowed = func() time.Duration {
			p := 1.0
			if isCold {
				p = min(coldFrom+(1-coldFrom)*time.Since(at).Seconds()/warm, 1)
			}
			return time.Duration(float64(mean) * (0.5 + rand.ExpFloat64()*0.5) / p)
		}
		workers = append(workers, wk)
		return wk
	}
	var hosts []host
	for range 12 {
		hosts = append(hosts, add("", false).host)
	}
	d := newDiscovery(w, hosts)
	fs := newFrontEnds(w, nfe)
	if err := s.startAll(fs, d); err != nil {
		return nil, err
	}
	fns := functions(30)
	stop := make(chan struct{})
	var results []<-chan []*request
	for _, f := range fs {
		results = append(results, traffic(w, f, load*capacity*12/float64(nfe), stop, func(int) *request {
			k := int(math.Pow(rand.Float64(), 2) * float64(len(fns)))
			return newRequest("shop-event", fns[k], 4*time.Second)
		}))
	}
	time.Sleep(12 * time.Second)
	out := os.Getenv("OUT") == "1"
	if out {
		d.down()
		time.AfterFunc(12*time.Second, d.up)
		time.Sleep(500 * time.Millisecond)
	}
	for os.Getenv("RESTART") == "1" && len(cold) < 12 { // workers die and start again in place, cold
		for range step {
			wk := workers[0]
			workers = workers[1:]
			wk.die()
			time.Sleep(100 * time.Millisecond)
			serial = 100 + len(cold)
			next := add(wk.addr, true)
			next.host.Host = wk.host.Host
			d.tell(false, next.host)
		}
		time.Sleep(4 * time.Second)
	}
	for len(cold) < 12 {
		var gone []*worker
		for range step {
			if len(cold)+len(gone) < 12 {
				gone = append(gone, workers[0])
				workers = workers[1:]
			}
		}
		for _, wk := range gone {
			wk.drain()
			h := wk.host
			h.Health = "leaving"
			d.tell(false, h)
		}
		for range gone {
			if !out {
				d.tell(false, add("", true).host)
			}
		}
		time.Sleep(2 * time.Second)
		for _, wk := range gone {
			h := wk.host
			h.Health = "left"
			d.tell(false, h)
			wk.die()
			if out {
				time.Sleep(100 * time.Millisecond)
				d.tell(false, add(wk.addr, true).host)
			}
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(14 * time.Second)
	close(stop)
	var all []*request
	for _, r := range results {
		all = append(all, <-r...)
	}
	var broken []string
	worst := 0.0
	for _, wk := range cold {
		var at []time.Time
		for _, r := range wk.allRuns() {
			if !r.load {
				at = append(at, r.at)
			}
		}
		for i := range at {
			n := 0
			for j := i; j < len(at) && at[j].Sub(at[i]) <= 1500*time.Millisecond; j++ {
				n++
			}
			p := progress(wk, at[i].Add(1500*time.Millisecond))
			if p >= 1 {
				break
			}
			N := 2.5 * p * capacity * 1.5
			bound := N + 2*math.Sqrt(N) + 2
			if N < 30 {
				bound = N + 3*math.Sqrt(N) + 3
			}
			worst = max(worst, float64(n)/bound)
			if float64(n) > bound {
				broken = append(broken, fmt.Sprintf("%s got %d in 1.5 s, allowed %.1f at %.2f of its capacity", wk.host.Host, n, bound, p))
			}
		}
	}
	fmt.Printf("fe %d load %v step %d: %d requests, %d served, %d refused, worst %.2f of the bound\n", nfe, load, step, len(all), count(all, 0), count(all, 8), worst)
	return broken, nil
}
