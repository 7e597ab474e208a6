package scenario

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"streamcleat/internal/fakes"
)

// part picks a share of the workers in service, one at least.
func (d *day) part(share float64, rng *rand.Rand) []*fakes.Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := max(int(math.Round(share*float64(len(d.workers)))), 1)
	var list []*fakes.Worker
	for _, i := range rng.Perm(len(d.workers))[:min(n, len(d.workers))] {
		list = append(list, d.workers[i])
	}
	return list
}

func (d *day) swap(old, fresh *fakes.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, w := range d.workers {
		if w == old {
			if fresh != nil {
				d.workers[i] = fresh
			} else {
				d.workers = append(d.workers[:i], d.workers[i+1:]...)
			}
			return
		}
	}
}

func (d *day) pause(s float64) { time.Sleep(time.Duration(s * float64(time.Second))) }

// trouble makes one thing go wrong and, where it lasts, sets it right again before it returns.
func (d *day) trouble(ctx context.Context, t Trouble, rng *rand.Rand) error {
	d.log.Info("trouble", "kind", t.Kind, "part", t.Part, "for", t.For)
	switch t.Kind {
	case "hang", "lose", "errors", "slow", "stall", "reset", "cut", "late-reports":
		for _, w := range d.part(t.Part, rng) {
			if err := w.Inject(fakes.Fault{Kind: fakes.FaultKind(t.Kind), For: t.For, Part: t.Hit, Times: t.Times, Bytes: t.Bytes}); err != nil {
				return err
			}
		}
	case "pauses", "neighbour": // on and off
		kind, on := fakes.FaultStall, t.For
		if t.Kind == "neighbour" {
			kind = fakes.FaultSlow
		}
		list := d.part(t.Part, rng)
		for ctx.Err() == nil {
			for _, w := range list {
				w.Inject(fakes.Fault{Kind: kind, For: on, Times: t.Times})
			}
			if !d.sleep(ctx, max(t.Every, on)) {
				break
			}
		}
	case "crash":
		return d.each(d.part(t.Part, rng), func(w *fakes.Worker) error {
			w.Crash() // the list learns of neither end at once
			d.pause(t.For)
			if err := w.Restart(); err != nil {
				return err
			}
			d.pause(0.2)
			return d.list.Set(w, "serving")
		})
	case "replace": // a new process under the same name and address
		return d.each(d.part(t.Part, rng), func(w *fakes.Worker) error {
			if err := w.Restart(); err != nil {
				return err
			}
			return d.list.Set(w, "serving")
		})
	case "deploy", "preempt": // in waves: drained, then gone; a cold one of another name takes its place
		all := d.part(1, rng)
		wave := max(int(math.Round(t.Part*float64(len(all)))), 1)
		for len(all) > 0 && ctx.Err() == nil {
			n := min(wave, len(all))
			if err := d.each(all[:n], func(w *fakes.Worker) error { return d.roll(w, t) }); err != nil {
				return err
			}
			all = all[n:]
			d.sleep(ctx, t.Every)
		}
	case "flush":
		names := map[string]bool{}
		for _, i := range rng.Perm(len(d.functions))[:int(t.Part*float64(len(d.functions)))] {
			names[d.functions[i].Name] = true
		}
		for _, w := range d.part(1, rng) {
			w.Void(names)
		}
	case "store-slow":
		d.store.Slow(t.Times)
		d.sleep(ctx, t.For)
		d.store.Slow(1)
	case "store-stop":
		d.store.Stop(t.For)
	case "release-at-once", "release-paced":
		return d.release(ctx, t, rng)
	case "burst":
		d.boost.Store(int64(100 * t.Times))
		d.sleep(ctx, t.For)
		d.boost.Store(100)
	case "hot-key":
		d.hot.Store(int64(1000 * t.Part))
		d.sleep(ctx, t.For)
		d.hot.Store(0)
	case "hang-up":
		d.leaving.Store(int64(1000 * t.Part))
		d.sleep(ctx, t.For)
		d.leaving.Store(0)
	case "retry-abuse":
		d.abuse.Store(true)
		d.sleep(ctx, t.For)
		d.abuse.Store(false)
	case "all-gone":
		list := d.part(1, rng)
		for _, w := range list {
			if err := d.list.Set(w, "gone"); err != nil {
				return err
			}
		}
		d.pause(t.For)
		for _, w := range list {
			if err := d.list.Set(w, "serving"); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *day) each(list []*fakes.Worker, f func(*fakes.Worker) error) error {
	var wait sync.WaitGroup
	errs := make([]error, len(list))
	for i, w := range list {
		wait.Add(1)
		go func() { defer wait.Done(); errs[i] = f(w) }()
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *day) roll(w *fakes.Worker, t Trouble) error {
	if err := d.list.Set(w, "draining"); err != nil {
		return err
	}
	d.pause(t.For)
	if t.Kind == "preempt" {
		w.Crash()
		d.pause(0.3) // the list is late
	}
	if err := d.list.Set(w, "gone"); err != nil {
		return err
	}
	fresh, err := d.worker(true)
	if err != nil {
		return err
	}
	d.swap(w, fresh)
	if err := d.list.Set(fresh, "serving"); err != nil {
		return err
	}
	if t.Kind == "deploy" {
		go func() { d.pause(1); w.Crash() }()
	}
	return nil
}

// freeUDP finds loopback ports that nobody uses at the moment.
func freeUDP(n int) ([]string, error) {
	var list []string
	var conns []*net.UDPConn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range n {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
		list = append(list, c.LocalAddr().String())
	}
	return list, nil
}
