//go:build review

// Command standin runs one case of the review: it starts front ends with the deploy file's command, stands in for workers,
// clients and discovery, and checks one rule. The exit status is 1 if the rule was broken, 0 if it held, 2 if the case could
// not run.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// errCannotRun is returned by a case whose preconditions were not met.
var errCannotRun = errors.New("the case could not run")

var cases = map[string]func(w *world, trouble bool) (broken []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](w, trouble)
	for _, p := range w.procs {
		p.kill()
	}
	if err == nil && len(broken) == 0 {
		w.logf("RESULT held")
		fmt.Println("held")
		w.close()
		return
	}
	if err != nil {
		w.logf("RESULT not run: %v", err)
		fmt.Println("not run:", err)
		w.close()
		os.Exit(2)
	}
	for _, b := range broken {
		w.logf("BROKEN %s", b)
	}
	w.logf("RESULT broken %d times", len(broken))
	fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
	w.close()
	os.Exit(1)
}

// site holds the settings of a case. They are those of the site file tomakomai-outlet where a case does not change them.
type site struct {
	grace    time.Duration
	deadline time.Duration
	classes  []any
	peers    bool
	sockets  int
	change   func(settings map[string]any)
}

func defaultSite() site {
	return site{grace: 500 * time.Millisecond, deadline: 4 * time.Second, peers: true, sockets: 1024}
}

func class(name, effect, group string, deadline, memory time.Duration) map[string]any {
	return map[string]any{"Name": name, "AimMs": 1500, "GiveUpMs": deadline.Milliseconds(), "Idempotency": effect, "Group": group, "MemorySpanMs": memory.Milliseconds()}
}

// newFrontEnds returns n front ends that are not started.
func newFrontEnds(w *world, n int) []*frontEnd {
	var list []*frontEnd
	for i := range n {
		list = append(list, &frontEnd{w: w, name: fmt.Sprintf("n%d", i), listen: freeAddress("tcp"), peer: freeAddress("udp")})
	}
	return list
}

// document returns the configuration of front end i.
func (s site) document(fs []*frontEnd, i int, d *discovery) map[string]any {
	classes := s.classes
	if classes == nil {
		classes = []any{class("shop-event", "free", "all", s.deadline, 0)}
	}
	settings := map[string]any{
		"Balancers": len(fs), "Me": i, "RoundMs": 4, "Discovery": "automatic",
		"Caps": map[string]any{"Cancel": true, "Peers": s.peers, "RetryAfter": true, "MaxRetryAfterMs": 500, "MostTries": 4, "MaxStreams": 32, "MaxOpen": 20000,
			"DialTimeoutMs": 250, "IdleCloseMs": 30000},
		"Classes":  classes,
		"Accounts": []any{map[string]any{"Name": "acme", "QuotaPerS": 1000}},
		"Domain":   map[string]any{"MayOrder": true, "OrderTimeoutMs": 10000, "StaysLoadedMs": 8800, "WhenAbsent": "miss", "LoadWindowMs": 0},
		"Rules":    map[string]any{"ColdFrom": 0.29, "FallMs": 1500, "FallMultiple": 2.5, "WarmWithinMs": 16000, "DrainGraceMs": s.grace.Milliseconds(), "AskWithinMs": 10000},
	}
	if s.change != nil {
		s.change(settings)
	}
	var peers []string
	for _, f := range fs {
		peers = append(peers, f.peer)
	}
	document := map[string]any{
		"name": fs[i].name, "listen": fs[i].listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":  map[string]any{"cores": 1, "memory_mb": 192, "sockets": s.sockets},
		"journal": d.addr, "known": d.known(), "settings": settings,
	}
	if s.peers {
		document["peer_listen"], document["peers"] = fs[i].peer, peers
	}
	return document
}

// startAll starts the front ends and waits until they are ready.
func (s site) startAll(fs []*frontEnd, d *discovery) error {
	for i, f := range fs {
		if err := f.start(s.document(fs, i, d)); err != nil {
			return err
		}
	}
	for _, f := range fs {
		if !f.ready(30 * time.Second) {
			return fmt.Errorf("%s is not ready: %w: %s", f.name, errCannotRun, f.log())
		}
	}
	return nil
}

// traffic sends requests at a rate to a front end over a few connections, until stop is closed, and returns them.
func traffic(w *world, f *frontEnd, rate float64, stop <-chan struct{}, next func(i int) *request) <-chan []*request {
	result := make(chan []*request, 1)
	go func() {
		var all []*request
		conns := make([]*client, 4)
		var wg sync.WaitGroup
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				wg.Wait()
				result <- all
				return
			case <-ticker.C:
			}
			r := next(i)
			k := i % len(conns)
			for range 2 {
				if conns[k] == nil {
					conns[k], _ = dial(w, f.name, f.listen)
				}
				if conns[k] == nil {
					break
				}
				cl := conns[k]
				if err := cl.send(r); err == nil {
					all = append(all, r)
					wg.Go(func() {
						select {
						case <-r.done:
							if r.code == -2 && r.answered.Sub(r.sent) < 50*time.Millisecond {
								r.again, r.code, r.done = true, -1, make(chan struct{})
								askOnce(w, f, r)
							}
						case <-time.After(r.timeout):
							cl.cancel(r)
						}
					})
					break
				} else if !errors.Is(err, net.ErrClosed) {
					w.logf("send: %v", err)
				}
				conns[k] = nil
			}
		}
	}()
	return result
}

// served counts the requests that were answered with a code.
func count(all []*request, code int) int {
	n := 0
	for _, r := range all {
		if r.code == code {
			n++
		}
	}
	return n
}

// sentAfter returns the requests and orders to load that began to arrive at a worker after an instant.
func sentAfter(wk *worker, from, to time.Time) (late []string) {
	for _, r := range wk.allRuns() {
		if r.load && r.slots == "0" || r.began.Before(from) || r.began.After(to) {
			continue
		}
		what := "request " + fmt.Sprintf("%016x", r.id)
		if r.load {
			what = "order to load " + r.fields["path"]
		}
		late = append(late, fmt.Sprintf("%s reached %s %.3f s after the end of the grace", what, wk.host.Host, r.began.Sub(from).Seconds()))
	}
	return late
}

func functions(n int) []string {
	var list []string
	for i := range n {
		list = append(list, strings.Repeat("0", 8)+fmt.Sprintf("%08x", 0x7c550000+i*7919))
	}
	return list
}
