package appliance

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"streamcleat/durable"
	"streamcleat/gateway"
	"streamcleat/handlers"
)

// registry is the box's registry of functions, shared by its front ends; its audit trail is on disk before a change
// is in force.
type registry struct {
	mu    sync.Mutex
	reg   *handlers.Registry
	store *durable.Store
}

// Change is what a console asks of the registry: an entry, or to go back.
type Change struct {
	handlers.Entry
	Back *struct {
		Function string `json:"function"`
		Alias    string `json:"alias"`
	} `json:"back,omitempty"`
}

func (g *registry) open(store *durable.Store, trail [][]byte) error {
	g.reg, g.store = handlers.New(), store
	for i, data := range trail {
		var e handlers.Entry
		err := json.Unmarshal(data, &e)
		if err == nil {
			err = g.reg.Apply(e)
		}
		if err != nil {
			return fmt.Errorf("handlers: entry %d of the audit trail: %w", i, err)
		}
	}
	return nil
}

// apply makes a change and keeps it; where it can't be kept it is taken back.
func (g *registry) apply(e handlers.Entry) error {
	if err := g.reg.Apply(e); err != nil {
		return err
	}
	if g.store == nil {
		return nil
	}
	data, err := json.Marshal(e)
	if err == nil {
		err = g.store.Note(len(g.reg.Trail)-1, data)
	}
	if err == nil {
		return nil
	}
	before := handlers.New()
	for _, old := range g.reg.Trail[:len(g.reg.Trail)-1] {
		if again := before.Apply(old); again != nil {
			return errors.Join(err, again)
		}
	}
	g.reg = before
	return fmt.Errorf("the change can't be kept and is not made: %w", err)
}

func (g *registry) change(c Change) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := c.Entry
	if e.Who == "" {
		return "", refusal{400, "who makes the change?"}
	}
	e.At = float64(time.Now().UnixNano()) / 1e9
	if c.Back != nil {
		m, err := g.reg.Back(c.Back.Function, c.Back.Alias)
		if err != nil {
			return "", err
		}
		e.Move, e.Why = &m, "back"
	}
	if err := g.apply(e); err != nil {
		return "", err
	}
	switch {
	case e.Publish != nil:
		return fmt.Sprintf("published %s:%s as %s", e.Publish.Function, e.Publish.Name, e.Publish.Digest), nil
	case e.Move != nil && e.Move.Digest == "":
		return fmt.Sprintf("alias %s:%s is gone", e.Move.Function, e.Move.Alias), nil
	case e.Move != nil:
		return fmt.Sprintf("alias %s:%s names %s", e.Move.Function, e.Move.Alias, e.Move.Digest), nil
	case e.Rollout != nil:
		return fmt.Sprintf("alias %s:%s goes over to %s", e.Rollout.Function, e.Rollout.Alias, e.Rollout.To), nil
	}
	return "withdrawn: " + e.Withdraw, nil
}

// judge moves rollouts on, or back.
func (g *registry) judge(log *slog.Logger) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.reg.Judge(float64(time.Now().UnixNano()) / 1e9) {
		if err := g.apply(e); err != nil {
			return err
		}
		if e.Move != nil {
			log.Info("rollout ended", "function", e.Move.Function, "alias", e.Move.Alias, "digest", e.Move.Digest, "why", e.Why)
		} else {
			log.Info("rollout goes on", "function", e.Rollout.Function, "alias", e.Rollout.Alias, "share", e.Rollout.Share, "why", e.Why)
		}
	}
	return nil
}

func (g *registry) list() []handlers.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]handlers.View{}, g.reg.List()...)
}

// coming are the versions that rollouts are going to, as references.
func (g *registry) coming() (list []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.reg.List() {
		for _, ro := range f.Rollouts {
			list = append(list, ro.Function+"@"+string(ro.To))
		}
	}
	return list
}

func (g *registry) trail() []handlers.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]handlers.Entry{}, g.reg.Trail...)
}

func (g *registry) mayRun(b gateway.Binding) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ref, err := handlers.ParseRef(b.ID)
	return err == nil && g.reg.May(ref.Function, ref.Digest)
}

// seen counts an answer for rollouts. A version is to blame for errors, for loads that fail and for a wrong digest,
// not for a worker that hangs or a fleet without room.
func (g *registry) seen(a gateway.Answer) {
	ref, err := handlers.ParseRef(a.Binding.ID)
	if a.Binding.ID == "" || err != nil {
		return
	}
	bad := a.Cause == gateway.WorkerFailed || a.Cause == gateway.LoadFailed || a.Cause == gateway.WrongDigest
	if a.Kind != gateway.Handled && !bad {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reg.Seen(ref.Function, ref.Digest, bad)
}

// bind settles the version of an event. A function that the registry does not know, named without a tag or digest,
// has no versions and runs as workers have it.
func (b *Box) bind(ask *gateway.Ask) (gateway.Binding, gateway.Function, error) {
	none := b.cfg.Function(ask.Function)
	b.reg.mu.Lock()
	defer b.reg.mu.Unlock()
	bound, err := b.reg.reg.Bind(ask.Function, ask.Type, ask.Tenant, ask.Identity.String())
	if err != nil {
		ref, perr := handlers.ParseRef(ask.Function)
		if perr != nil || errors.Is(err, handlers.ErrUnknown) && !b.reg.reg.Knows(ref.Function) && ref.Tag == handlers.Current && ref.Digest == "" {
			return gateway.Binding{}, none, nil
		}
		return gateway.Binding{}, none, err
	}
	fn := b.cfg.Function(bound.Function)
	if bound.Lanes > 0 {
		fn.Lanes = bound.Lanes
	}
	if bound.Memory > 0 {
		fn.Memory = bound.Memory
	}
	if bound.Load > 0 {
		fn.Load = bound.Load
	}
	return gateway.Binding{ID: bound.ID(), Function: bound.Function, Version: bound.Name, Digest: string(bound.Digest)}, fn, nil
}
