//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore"] = caseExplore }

// caseExplore plays random disruptions and checks all rules.
func caseExplore(w *world, _ bool) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 7))
	var rmu sync.Mutex
	rn := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return rnd.IntN(n) }
	s := defaultSite()
	s.deadline = []time.Duration{4 * time.Second, 1500 * time.Millisecond, 600 * time.Millisecond, 200 * time.Millisecond}[rn(4)]
	memory := []time.Duration{5 * time.Second, time.Second, 300 * time.Millisecond}[rn(3)]
	s.peers = rn(2) == 0
	nfe := []int{1, 2, 3, 5, 14}[rn(5)]
	rate := []float64{80, 80, 80, 40, 15}[map[int]int{1: 0, 2: 1, 3: 2, 5: 3, 14: 4}[nfe]]
	slow := time.Duration(rn(2)*rn(25)) * time.Millisecond
	quota, onMiss, mayOrder, streams := rn(3) == 0, rn(2) == 0, rn(4) != 0, []int{1, 4, 32}[rn(3)]
	if !mayOrder {
		onMiss = true
	}
	s.classes = []any{class("free", "free", "all", s.deadline, 0), class("all", "guarded", "all", s.deadline, memory), class("zone", "guarded", "zone", s.deadline, memory),
		class("cell", "guarded", "cell", s.deadline, memory), class("once", "single_shot", "all", s.deadline, 0)}
	names := []string{"free", "all", "zone", "cell", "once"}
	s.change = func(m map[string]any) {
		dom := m["Domain"].(map[string]any)
		dom["MayOrder"] = mayOrder
		if onMiss {
			dom["WhenAbsent"] = "load"
		}
		if quota {
			dom["LoadWindowMs"], dom["LoadFree"], dom["LoadPart"] = 3000, 3, 0.05
		}
		m["Caps"].(map[string]any)["MaxStreams"] = streams
	}
	w.logf("seed %d deadline %v memory %v peers %v fe %d quota %v onMiss %v mayOrder %v streams %d", seed, s.deadline, memory, s.peers, nfe, quota, onMiss, mayOrder, streams)
	var mu sync.Mutex
	var workers, all []*worker
	type drain struct {
		wk   *worker
		told time.Time
	}
	var drains []drain
	type back struct {
		wk       *worker
		from, to time.Time
	}
	var backs []back
	var d *discovery
	var downAt time.Time
	serial := 0
	fault := func(wk *worker) func(r *run, c net.Conn) bool {
		return func(r *run, c net.Conn) bool {
			switch rn(100) {
			case 0, 1: // the request has run, the connection is reset
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				return true
			case 2: // spoilt
				b := encodeAnswer(64, r.id, "detail=hit", []byte("done "+r.body))
				b[len(b)-1]++
				_, _ = c.Write(b)
				return true
			case 3:
				b := encodeAnswer(68, r.id, "", nil)
				wk.mu.Lock()
				r.ended = time.Now()
				wk.mu.Unlock()
				_, _ = c.Write(b)
				return true
			case 4: // cut off
				b := encodeAnswer(64, r.id, "detail=hit", []byte("done "+r.body))
				_, _ = c.Write(b[:len(b)/2])
				_ = c.Close()
				return true
			case 5: // twice
				wk.mu.Lock()
				r.ended = time.Now()
				wk.mu.Unlock()
				b := encodeAnswer(64, r.id, "detail=hit", []byte("done "+r.body))
				_, _ = c.Write(append(encodeAnswer(64, r.id^77, "detail=hit", []byte("x")), append(b, b...)...))
				return true
			case 6: // never
				return true
			}
			return false
		}
	}
	add := func(addr string, born bool) *worker {
		serial++
		h := host{Host: fmt.Sprintf("w-%d", serial), Dial: addr, Site: []string{"za", "zb"}[serial%2], Class: "std", Block: serial % 4, Health: "active", Share: 1}
		if born {
			h.Born = time.Now().UnixMilli()
		}
		wk := newWorker(w, h)
		wk.onMiss = onMiss
		wk.delay = slow
		wk.work = 40 * time.Millisecond
		wk.onAnswer = fault(wk)
		workers, all = append(workers, wk), append(all, wk)
		return wk
	}
	var hosts []host
	for range 8 {
		hosts = append(hosts, add("", false).host)
	}
	d = newDiscovery(w, hosts)
	fs := newFrontEnds(w, nfe)
	if err := s.startAll(fs, d); err != nil {
		return nil, err
	}
	fns := functions(16)
	stop := make(chan struct{})
	killed := map[string][]time.Time{}
	var results []<-chan []*request
	for _, f := range fs {
		results = append(results, exploreTraffic(w, f, rate, stop, func() *request {
			t := s.deadline * time.Duration(50+rn(51)) / 100
			r := newRequest(names[rn(5)], fns[rn(len(fns))], t)
			r.key = "k" + r.id
			return r
		}, rn))
	}
	time.Sleep(2 * time.Second)
	var broken []string
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); {
		mu.Lock()
		switch rn(10) {
		case 0, 1: // crash, a new worker at the same address or another
			i := rn(len(workers))
			old := workers[i]
			workers = append(workers[:i], workers[i+1:]...)
			old.die()
			time.Sleep(time.Duration(rn(800)) * time.Millisecond)
			h := old.host
			h.Health = "left"
			d.tell(false, h)
			drains = append(drains, drain{old, tolds(time.Now(), downAt)})
			addr := ""
			if rn(2) == 0 {
				addr = old.addr
			}
			d.tell(false, add(addr, true).host)
		case 2, 3: // drain
			i := rn(len(workers))
			old := workers[i]
			workers = append(workers[:i], workers[i+1:]...)
			old.drain()
			h := old.host
			h.Health = "leaving"
			d.tell(false, h)
			drains = append(drains, drain{old, tolds(time.Now(), downAt)})
			d.tell(false, add("", true).host)
			time.AfterFunc(time.Duration(1000+rn(3000))*time.Millisecond, func() {
				h.Health = "left"
				d.tell(false, h)
				old.die()
			})
		case 4: // discovery goes or comes back
			if downAt.IsZero() {
				downAt = time.Now()
				if rn(2) == 0 {
					d.silent()
				} else {
					d.down()
				}
			} else {
				d.up()
				downAt = time.Time{}
				// told at the latest now
				for i := range drains {
					if drains[i].told.After(time.Now()) {
						drains[i].told = time.Now().Add(time.Second)
					}
				}
			}
		case 5: // SIGTERM and restart
			f := fs[rn(len(fs))]
			f.signal(syscall.SIGTERM)
			f.noNew.Store(time.Now().Add(400 * time.Millisecond).UnixNano())
			limit := min(s.deadline, 3*time.Second) + 700*time.Millisecond
			at := time.Now()
			if !f.wait(limit) {
				f.kill()
				killed[f.name] = append(killed[f.name], time.Now())
				w.logf("%s killed %.3f s after SIGTERM", f.name, time.Since(at).Seconds())
			}
			for i := range fs {
				if fs[i] == f {
					_ = f.start(s.document(fs, i, d))
					f.ready(7 * time.Second)
					f.noNew.Store(0)
				}
			}
		case 6:
			f := fs[rn(len(fs))]
			f.kill()
			killed[f.name] = append(killed[f.name], time.Now())
			for i := range fs {
				if fs[i] == f {
					_ = f.start(s.document(fs, i, d))
					f.ready(7 * time.Second)
				}
			}
		case 8: // discovery moves
			if downAt.IsZero() {
				d.move()
				for i, f := range fs {
					if err := f.write(s.document(fs, i, d)); err == nil {
						f.signal(syscall.SIGHUP)
					}
				}
			}
		case 9: // drains and comes back
			wk := workers[rn(len(workers))]
			wk.drain()
			h := wk.host
			h.Health = "leaving"
			d.tell(false, h)
			from := tolds(time.Now(), downAt)
			time.Sleep(time.Duration(500+rn(3000)) * time.Millisecond)
			wk.mu.Lock()
			wk.draining = false
			wk.mu.Unlock()
			backs = append(backs, back{wk, from, time.Now()})
			d.tell(false, wk.host)
		case 7: // a worker hangs
			wk := workers[rn(len(workers))]
			wk.mu.Lock()
			wk.silent = true
			wk.mu.Unlock()
			time.AfterFunc(time.Duration(1000+rn(3000))*time.Millisecond, func() { wk.mu.Lock(); wk.silent = false; wk.mu.Unlock() })
		}
		mu.Unlock()
		time.Sleep(time.Duration(rn(1500)) * time.Millisecond)
	}
	if !downAt.IsZero() {
		d.up()
	}
	close(stop)
	byID := map[string]*request{}
	var reqs []*request
	for i, r := range results {
		list := <-r
		time.Sleep(0)
		for _, q := range list {
			reqs = append(reqs, q)
			byID[q.id] = q
		}
		_ = i
	}
	time.Sleep(s.deadline + time.Second)
	for _, f := range fs {
		if f.wait(0) {
			broken = append(broken, f.name+" has ended")
		}
		f.kill()
	}
	codes := map[int]int{}
	for _, q := range reqs {
		codes[q.code]++
		if q.second {
			broken = append(broken, q.id+" second answer")
		}
		if q.code == -2 && q.gaveUp.IsZero() {
			ok := false
			for _, k := range killed[q.key0()] {
				if q.answered.Sub(k) < 300*time.Millisecond && q.answered.Sub(k) > -300*time.Millisecond {
					ok = true
				}
			}
			if !ok {
				broken = append(broken, fmt.Sprintf("%s lost: connection ended at %.4f sent %.4f", q.id, q.answered.Sub(w.began).Seconds(), q.sent.Sub(w.began).Seconds()))
			}
		}
		if q.code == -1 && !q.early {
			broken = append(broken, fmt.Sprintf("%s never answered, sent %.4f", q.id, q.sent.Sub(w.began).Seconds()))
		}
		if q.code == 0 && q.answer != "done "+q.body {
			broken = append(broken, fmt.Sprintf("%s foreign answer %q", q.id, q.answer))
		}
	}
	attempts := map[string][]run{}
	hostsByName := map[string]host{}
	for _, wk := range all {
		hostsByName[wk.host.Host] = wk.host
		for _, r := range wk.allRuns() {
			if !r.load {
				id := fmt.Sprintf("%016x", r.id)
				attempts[id] = append(attempts[id], r)
			}
		}
	}
	sent := 0
	for id, list := range attempts {
		q := byID[id]
		if q == nil {
			broken = append(broken, id+" was never sent")
			continue
		}
		sent += len(list)
		// order by arrival
		for i := range list {
			for j := i; j > 0 && list[j].at.Before(list[j-1].at); j-- {
				list[j], list[j-1] = list[j-1], list[j]
			}
		}
		for i, r := range list {
			if !q.gaveUp.IsZero() && r.at.After(q.gaveUp.Add(100*time.Millisecond)) {
				broken = append(broken, fmt.Sprintf("%s attempt %.3f s after cancel", id, r.at.Sub(q.gaveUp).Seconds()))
			}
			budget, _ := strconv.Atoi(r.fields["budget"])
			if left := q.timeout - r.at.Sub(q.sent); time.Duration(budget)*time.Millisecond > left+150*time.Millisecond {
				broken = append(broken, fmt.Sprintf("%s budget %d with %v left", id, budget, left))
			}
			if r.fields["queue"] != q.class || r.fields["path"] != q.function || r.body != q.body || r.fields["uniq"] != q.key {
				broken = append(broken, id+" changed on its way")
			}
			for j := range i {
				e := list[j]
				maybe := e.ran || e.code == 68
				if e.ended.IsZero() || e.ended.After(r.at.Add(5*time.Millisecond)) {
					broken = append(broken, fmt.Sprintf("%s two attempts at once: %s %.4f-%.4f, %s at %.4f", id, e.worker, e.at.Sub(w.began).Seconds(), e.ended.Sub(w.began).Seconds(), r.worker, r.at.Sub(w.began).Seconds()))
				}
				if !maybe {
					continue
				}
				a, b := hostsByName[e.worker], hostsByName[r.worker]
				switch {
				case q.class == "once":
					broken = append(broken, id+" at most once, sent again")
				case q.class == "zone" && a.Site != b.Site, q.class == "cell" && (a.Site != b.Site || a.Block != b.Block):
					broken = append(broken, fmt.Sprintf("%s keyed by %s, from %s to %s", id, q.class, a.Host, b.Host))
				case q.class != "free" && r.at.After(e.began.Add(memory+20*time.Millisecond)):
					broken = append(broken, fmt.Sprintf("%s keyed, sent again after %v", id, r.at.Sub(e.began)))
				}
			}
			if r.ran && q.code == 8 && (q.class == "once" || q.class == "zone" || q.class == "cell") {
				broken = append(broken, id+" "+q.class+" refused although it ran")
			}
		}
	}
	for _, dr := range drains {
		broken = append(broken, sentAfter(dr.wk, dr.told.Add(s.grace+50*time.Millisecond), time.Now())...)
	}
	for _, b := range backs {
		if from := b.from.Add(s.grace + 50*time.Millisecond); from.Before(b.to) {
			broken = append(broken, sentAfter(b.wk, from, b.to)...)
		}
	}
	if quota && nfe == 1 {
		broken = append(broken, checkQuota(all, reqs)...)
	}
	fmt.Printf("seed %d: %d requests, codes %v, %d attempts\n", seed, len(reqs), codes, sent)
	return broken, nil
}

func checkQuota(all []*worker, reqs []*request) (broken []string) {
	var orders []time.Time
	for _, wk := range all {
		for _, r := range wk.allRuns() {
			if r.load && r.slots != "0" {
				orders = append(orders, r.at)
			}
		}
	}
	for _, at := range orders {
		n, m := 0, 0
		for _, o := range orders {
			if !o.After(at) && at.Sub(o) < 3*time.Second-50*time.Millisecond {
				n++
			}
		}
		for _, q := range reqs {
			if !q.sent.After(at) && at.Sub(q.sent) < 3*time.Second+50*time.Millisecond {
				m++
			}
		}
		if float64(n) > 3+0.05*float64(m) {
			broken = append(broken, fmt.Sprintf("quota: %d orders, %d requests", n, m))
		}
	}
	return broken
}

// tolds returns when an event counts as told.
func tolds(now, downAt time.Time) time.Time {
	if downAt.IsZero() || now.Sub(downAt) > 4*time.Second {
		return now
	}
	return downAt.Add(4 * time.Second)
}

// exploreTraffic is traffic with clients that give up early.
func exploreTraffic(w *world, f *frontEnd, rate float64, stop <-chan struct{}, next func() *request, rn func(int) int) <-chan []*request {
	result := make(chan []*request, 1)
	go func() {
		var all []*request
		conns := make([]*client, 4)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				result <- all
				return
			case <-ticker.C:
			}
			r := next()
			r.to = f.name
			k := rn(len(conns))
			for range 2 {
				if no := f.noNew.Load(); conns[k] == nil && (no == 0 || time.Now().UnixNano() < no) {
					conns[k], _ = dial(w, f.name, f.listen)
				}
				if conns[k] == nil {
					break
				}
				cl := conns[k]
				if err := cl.send(r); err == nil {
					all = append(all, r)
					wait := r.timeout + 600*time.Millisecond
					if rn(20) == 0 {
						r.early = true
						wait = time.Duration(rn(int(r.timeout)))
						if rn(2) == 0 {
							wait = time.Duration(rn(int(40 * time.Millisecond)))
						}
					}
					time.AfterFunc(wait, func() { cl.cancel(r) })
					if rn(300) == 0 {
						conns[k] = nil
						time.AfterFunc(20*time.Millisecond, cl.hangUp)
					}
					break
				}
				conns[k] = nil
			}
		}
	}()
	return result
}
