package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/opencontainers/go-digest"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/fakes"
	"streamcleat/internal/registry"
)

// versions gives each front end a registry of its own, as boxes have: a move reaches one after the other.
type versions struct {
	mu   sync.Mutex
	regs []*registry.Registry
}

func newVersions(functions []fakes.Function, fronts int) (*versions, error) {
	v := &versions{}
	for range fronts {
		r := registry.New()
		for _, f := range functions {
			for _, name := range []string{"1", "2"} {
				d := digest.FromString(f.Name + ":" + name)
				if err := r.Apply(registry.Entry{Publish: &registry.Version{Function: f.Name, Name: name, Digest: d, Concurrency: f.Lanes,
					MemoryMB: f.Memory, LoadTime: f.Fetch + f.Begin}}); err != nil {
					return nil, err
				}
			}
			if err := r.Apply(registry.Entry{Move: &registry.Move{Function: f.Name, Alias: registry.Current, Digest: digest.FromString(f.Name + ":1")}}); err != nil {
				return nil, err
			}
		}
		v.regs = append(v.regs, r)
	}
	return v, nil
}

func (v *versions) bind(front int, figures func(string) dispatch.FunctionProfile) func(*dispatch.Request) (dispatch.Binding, dispatch.FunctionProfile, error) {
	return func(ask *dispatch.Request) (dispatch.Binding, dispatch.FunctionProfile, error) {
		v.mu.Lock()
		defer v.mu.Unlock()
		b, err := v.regs[front].Resolve(ask.Function, ask.Class, ask.Tenant, ask.Identity.String())
		if err != nil {
			return dispatch.Binding{}, dispatch.FunctionProfile{}, err
		}
		return dispatch.Binding{ID: b.ID(), Function: b.Function, Version: b.Name, Digest: string(b.Digest)}, figures(b.Function), nil
	}
}

func (v *versions) mayRun(front int) func(dispatch.Binding) bool {
	return func(b dispatch.Binding) bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.regs[front].IsAllowed(b.Function, digest.Digest(b.Digest))
	}
}

// move reaches the front ends one after the other.
func (v *versions) move(m registry.Move) error {
	for i := range v.regs {
		v.mu.Lock()
		err := v.regs[i].Apply(registry.Entry{Move: &m})
		v.mu.Unlock()
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}

const releaseLoads = 4 // loads of a paced release at once

// release takes a share of all functions to their second version, at once or paced.
func (d *day) release(ctx context.Context, t Trouble, rng *rand.Rand) error {
	if d.reg == nil {
		return errors.New("the script says nothing of versions")
	}
	var list []registry.Migration
	for _, i := range rng.Perm(d.script.Functions)[:int(t.Part*float64(d.script.Functions))] {
		f := d.functions[i] // the catalogue's order is that of popularity
		list = append(list, registry.Migration{Function: f.Name, To: digest.FromString(f.Name + ":2"), RequestRate: -float64(i), LoadTime: f.Fetch + f.Begin})
	}
	if t.Kind == "release-at-once" {
		for _, g := range list {
			if err := d.reg.move(registry.Move{Function: g.Function, Alias: registry.Current, Digest: g.To}); err != nil {
				return err
			}
		}
		return nil
	}
	p := registry.NewRolloutPacer(registry.Current, releaseLoads, list)
	for {
		now := d.tape.Now()
		for _, g := range p.Next(now) {
			for _, f := range d.fronts {
				if _, err := f.Preload("", g.Function+"@"+string(g.To)); err != nil {
					return err
				}
			}
			p.OnRequest(g.Function, now)
		}
		for _, g := range p.Loading() {
			if !d.stands(g.Function + "@" + string(g.To)) {
				continue
			}
			if m, due := p.OnLoaded(g.Function, d.tape.Now()); due {
				if err := d.reg.move(m); err != nil {
					return err
				}
			}
		}
		left, lost := p.Remaining()
		if len(lost) > 0 {
			d.log.Info("given up", "functions", fmt.Sprint(lost))
		}
		if left == 0 || !d.sleep(ctx, 0.02) {
			return nil
		}
	}
}

// stands tells whether every front end believes that a copy of a version stands.
func (d *day) stands(id string) bool {
	all := true
	for _, f := range d.fronts {
		err := f.DoDispatcher(func(c *dispatch.Dispatcher) {
			_, functions := c.RoutingView()
			one := false
			for _, x := range functions {
				one = one || x.ID == control.FunctionID(id) && len(x.Replicas) > 0
			}
			all = all && one
		})
		if err != nil {
			return false
		}
	}
	return all
}
