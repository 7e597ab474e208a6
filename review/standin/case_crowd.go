//go:build review

package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["crowd"] = caseCrowd }

// caseCrowd: clients that misbehave open 200 connections, each with a message that never ends, while usual clients send requests
// on lasting and on new connections.
func caseCrowd(w *world, trouble bool) ([]string, error) {
	s := defaultSite()
	s.sockets = 256
	var hosts []host
	for i := range 12 {
		wk := newWorker(w, host{Host: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Site: "bureau-mr1", Class: "std-5c", Block: i / 4, Health: "active", Share: 1})
		wk.work = 30 * time.Millisecond
		hosts = append(hosts, wk.host)
	}
	d := newDiscovery(w, hosts)
	fs := newFrontEnds(w, 1)
	if err := s.startAll(fs, d); err != nil {
		return nil, err
	}
	fns := functions(12)
	stop := make(chan struct{})
	steady := traffic(w, fs[0], 60, stop, func(i int) *request { return newRequest("shop-event", fns[i%len(fns)], 4*time.Second) })
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var fresh []*request
	var wg sync.WaitGroup
	go func() { // usual clients that open a new connection for a request, 20 a second
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			r := newRequest("shop-event", fns[i%len(fns)], 4*time.Second)
			mu.Lock()
			fresh = append(fresh, r)
			mu.Unlock()
			wg.Go(func() { askOnce(w, fs[0], r) })
		}
	}()
	time.Sleep(time.Second)
	if trouble {
		crowd(w, fs[0], 200)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	list := <-steady
	time.Sleep(5 * time.Second)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for i, r := range append(list, fresh...) {
		// A client sends a request that crosses the end of its connection within 50 ms again on a new connection, once.
		if r.code == -2 && r.answered.Sub(r.sent) < 50*time.Millisecond && !r.again {
			continue
		}
		if r.code == -2 {
			broken = append(broken, fmt.Sprintf("%s lost, first sent on a %s connection: it ended %.4f s after the request was sent, second time: %v", r.id,
				map[bool]string{true: "lasting", false: "new"}[i < len(list)], r.answered.Sub(r.sent).Seconds(), r.again))
		}
	}
	fmt.Printf("%d requests on lasting connections, %d on new ones, %d served\n", len(list), len(fresh), count(list, 0)+count(fresh, 0))
	return broken, nil
}

// askOnce sends a request on a new connection, and once more on another one if that ends within 50 ms without an answer. A
// connection that ends before the request is written whole has not taken it, and another one is opened.
func askOnce(w *world, f *frontEnd, r *request) {
	for range 20 {
		cl, err := dial(w, f.name, f.listen)
		if err != nil {
			w.logf("dial: %v", err)
			return
		}
		if cl.send(r) != nil {
			_ = cl.c.Close()
			time.Sleep(5 * time.Millisecond)
			continue
		}
		select {
		case <-r.done:
		case <-time.After(5 * time.Second):
		}
		_ = cl.c.Close()
		if r.again || r.code != -2 || r.answered.Sub(r.sent) > 50*time.Millisecond {
			return
		}
		r.again, r.code, r.done = true, -1, make(chan struct{})
	}
}

// crowd opens n connections, sends on each a message that never ends, and reads what comes.
func crowd(w *world, f *frontEnd, n int) {
	w.logf("%d connections with messages that never end", n)
	half := append([]byte{0, 0, 1, 0, 1, 0, 0, 0, 1, 6, 4}, "kind\x00\x0ashop-event"...)
	var mu sync.Mutex
	longest, ended := time.Duration(0), 0
	for range n {
		c, err := net.DialTimeout("tcp", f.listen, time.Second)
		if err != nil {
			continue
		}
		began := time.Now()
		_, _ = c.Write(half)
		go func() {
			b := make([]byte, 1000)
			for {
				if _, err := c.Read(b); err != nil {
					break
				}
			}
			_ = c.Close()
			mu.Lock()
			defer mu.Unlock()
			longest, ended = max(longest, time.Since(began)), ended+1
			if ended == n {
				w.logf("all of them were closed, the last %.3f s after it began", longest.Seconds())
			}
		}()
	}
}
