//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { cases["fuzz"] = caseFuzz }

// caseFuzz sends mutated frames as a client and spoilt answers as a worker, and checks that the front end lives and serves.
func caseFuzz(w *world, _ bool) ([]string, error) {
	s := defaultSite()
	s.classes = []any{class("free", "free", "all", s.deadline, 0), class("once", "single_shot", "all", s.deadline, 0), class("cell", "guarded", "cell", s.deadline, 5*time.Second)}
	var hosts []host
	mutate := func(b []byte) []byte {
		b = append([]byte(nil), b...)
		for range 1 + rand.IntN(3) {
			switch rand.IntN(4) {
			case 0:
				b[rand.IntN(len(b))] = byte(rand.IntN(256))
			case 1:
				b = b[:1+rand.IntN(len(b))]
			case 2:
				b = append(b, b[rand.IntN(len(b)):]...)
			case 3:
				b[rand.IntN(len(b))] ^= 1 << rand.IntN(8)
			}
		}
		return b
	}
	for i := range 6 {
		wk := newWorker(w, host{Host: fmt.Sprintf("w-%d", i), Site: "z", Class: "std", Block: i / 2, Health: "active", Share: 1})
		wk.work = 5 * time.Millisecond
		wk.onAnswer = func(r *run, c net.Conn) bool {
			if rand.IntN(10) > 1 {
				return false
			}
			_, _ = c.Write(mutate(encodeAnswer([]byte{64, 66, 67, 68, 69, 70, 71, 0}[rand.IntN(8)], r.id, []string{"detail=hit,company=3", "slots_up=-4", "detail=,=,,=", ""}[rand.IntN(4)], []byte("done "+r.body))))
			return true
		}
		hosts = append(hosts, wk.host)
	}
	d := newDiscovery(w, hosts)
	fs := newFrontEnds(w, 1)
	if err := s.startAll(fs, d); err != nil {
		return nil, err
	}
	fns := functions(12)
	stop := make(chan struct{})
	good := traffic(w, fs[0], 50, stop, func(i int) *request {
		return newRequest([]string{"free", "once", "cell"}[i%3], fns[i%len(fns)], 2*time.Second)
	})
	end := time.Now().Add(40 * time.Second)
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			for time.Now().Before(end) {
				c, err := net.DialTimeout("tcp", fs[0].listen, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				go func() {
					b := make([]byte, 4096)
					for {
						if _, err := c.Read(b); err != nil {
							return
						}
					}
				}()
				for i := range 1 + rand.IntN(30) {
					r := newRequest("free", fns[rand.IntN(len(fns))], time.Second)
					fields := []string{"kind", r.class, "req", r.id, "timeout", []string{"1000", "-1", "1e9", "0x10", "", "0.0001"}[rand.IntN(6)], "owner", "acme", "subject", r.function, "ms", []string{"20", "-5", "1e300"}[rand.IntN(3)],
						"more", []string{"memory_mb:256;lanes:8;load_ms:300", "lanes:0", ";;;", "memory_mb:1e-300;lanes:256;load_ms:1e-9"}[rand.IntN(4)]}
					payload := binary.BigEndian.AppendUint32([]byte{byte(1 + rand.IntN(20)/18)}, uint32(i+1))
					payload = append(payload, byte(len(fields)/2))
					for i := 0; i < len(fields); i += 2 {
						payload = append(append(payload, byte(len(fields[i]))), fields[i]...)
						payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(fields[i+1]))), fields[i+1]...)
					}
					payload = append(payload, make([]byte, rand.IntN(20000))...)
					b := append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
					if rand.IntN(3) == 0 {
						b = mutate(b)
					}
					if rand.IntN(4) == 0 {
						b = append(b, binary.BigEndian.AppendUint32([]byte{0, 0, 0, 5, 3}, uint32(i+1))...)
					}
					if _, err := c.Write(b); err != nil {
						break
					}
				}
				if rand.IntN(2) == 0 {
					time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
				}
				_ = c.Close()
			}
		})
	}
	wg.Wait()
	close(stop)
	list := <-good
	time.Sleep(3 * time.Second)
	var broken []string
	if fs[0].wait(0) {
		broken = append(broken, "the front end has ended: "+fs[0].log())
	}
	for _, r := range list {
		if r.code == -2 || r.code == 0 && r.answer != "done "+r.body {
			broken = append(broken, fmt.Sprintf("%s code %d %q", r.id, r.code, r.answer))
		}
	}
	fmt.Printf("%d requests: %d served, %d refused, %d failed, %d unanswered\n", len(list), count(list, 0), count(list, 8), count(list, 13), count(list, -1))
	return broken, nil
}
