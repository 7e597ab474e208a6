package appliance

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/opencontainers/go-digest"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
	"streamcleat/internal/registry/signing"
	"streamcleat/internal/storage"
)

// functionRegistry is the box's registry of functions, shared by its front ends; its audit trail is on disk before a change
// is in force.
type functionRegistry struct {
	mu    sync.Mutex
	reg   *registry.Registry
	store *storage.Store
	asked map[string]int         // events by function since the start
	pacer *registry.RolloutPacer // a release under way; a restart ends it where it is
	who   string                 // who began it
	ring  *signing.Ring          // nil: nobody has to vouch for versions
	keys  []byte                 // the ring's text
	bound *lru.Cache[dispatch.Identity, dispatch.Binding]
}

// mostBound is how many events' bindings the box remembers for all of its front ends: a repeat that comes to another
// front end than the first try keeps its version.
const mostBound = 1 << 14

// Release asks for many functions to go to a version of the same tag, paced.
type Release struct {
	Alias     string   `json:"alias"`
	Tag       string   `json:"tag"`       // version that they go to
	Functions []string `json:"functions"` // empty: all that have it
	Loads     int      `json:"loads"`     // at once
}

// Change is what a console asks of the registry: an entry, or to go back.
type Change struct {
	registry.Entry
	Release    *Release `json:"release,omitempty"`
	Signatures [][]byte `json:"signatures,omitempty"` // envelopes that vouch for what is published
	Back       *struct {
		Function string `json:"function"`
		Alias    string `json:"alias"`
	} `json:"back,omitempty"`
}

func (g *functionRegistry) open(store *storage.Store, trail [][]byte) error {
	g.reg, g.store, g.asked = registry.New(), store, map[string]int{}
	var err error
	if g.bound, err = lru.New[dispatch.Identity, dispatch.Binding](mostBound); err != nil {
		return err
	}
	for i, data := range trail {
		var e registry.Entry
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
func (g *functionRegistry) apply(e registry.Entry) error {
	if err := g.reg.Apply(e); err != nil {
		return err
	}
	if g.store == nil {
		return nil
	}
	data, err := json.Marshal(e)
	if err == nil {
		err = g.store.AppendAudit(len(g.reg.AuditTrail)-1, data)
	}
	if err == nil {
		return nil
	}
	before := registry.New()
	for _, old := range g.reg.AuditTrail[:len(g.reg.AuditTrail)-1] {
		if again := before.Apply(old); again != nil {
			return errors.Join(err, again)
		}
	}
	g.reg = before
	return fmt.Errorf("the change can't be kept and is not made: %w", err)
}

func (g *functionRegistry) change(c Change) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := c.Entry
	if e.Actor == "" {
		return "", refusal{400, "who makes the change?"}
	}
	e.At = float64(time.Now().UnixNano()) / 1e9
	if c.Release != nil {
		return g.begin(*c.Release, e.Actor)
	}
	if c.Back != nil {
		m, err := g.reg.Rollback(c.Back.Function, c.Back.Alias)
		if err != nil {
			return "", err
		}
		e.Move, e.Reason = &m, "back"
	}
	if p := e.Publish; p != nil {
		if p.SignedBy = nil; g.ring != nil {
			var err error
			if p.SignedBy, err = g.ring.Vouched(time.Now(), p.Function, p.Name, p.Digest, c.Signatures); err != nil {
				return "", err
			}
		}
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

// rekey takes the ring of keys anew where its file changed, and withdraws what only revoked keys vouched for. A faulty
// file leaves the last ring in force.
func (g *functionRegistry) rekey(path string, log *slog.Logger) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ring != nil && bytes.Equal(data, g.keys) {
		return nil
	}
	ring, err := signing.ReadRing(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	g.ring, g.keys = ring, nil // what follows is begun again where it can't be kept
	for _, f := range g.reg.List() {
		for _, v := range f.Versions {
			if v.Withdrawn || ring.Stands(v.SignedBy) {
				continue
			}
			why := "none in force vouches for it; it was published by " + strings.Join(v.SignedBy, ", ")
			e := registry.Entry{At: float64(time.Now().UnixNano()) / 1e9, Actor: "keys", Withdraw: v.Function + "@" + string(v.Digest), Reason: why}
			if err := g.apply(e); err != nil {
				return err
			}
			log.Warn("version withdrawn", "function", v.Function, "version", v.Name, "why", why)
		}
	}
	g.keys = data
	return nil
}

// begin plans a release. Only one goes on at a time.
func (g *functionRegistry) begin(r Release, who string) (string, error) {
	if g.pacer != nil {
		return "", fmt.Errorf("a release by %s is under way", g.who)
	}
	names := r.Functions
	if len(names) == 0 {
		for _, f := range g.reg.List() {
			names = append(names, f.Function)
		}
	}
	var list []registry.Migration
	for _, name := range names {
		v, err := g.reg.Find(name + ":" + r.Tag)
		switch {
		case errors.Is(err, registry.ErrUnknown) && len(r.Functions) == 0:
			continue
		case err != nil:
			return "", err
		case v.Withdrawn:
			return "", fmt.Errorf("%s:%s: %w", name, r.Tag, registry.ErrWithdrawn)
		}
		if now, err := g.reg.Find(name + ":" + r.Alias); err == nil && now.Digest == v.Digest {
			continue
		}
		list = append(list, registry.Migration{Function: name, To: v.Digest, RequestRate: float64(g.asked[name]), LoadTime: v.LoadTime})
	}
	if len(list) == 0 {
		return "", fmt.Errorf("no function goes to %s by that: none has the version, or all have it already", r.Tag)
	}
	g.pacer, g.who = registry.NewRolloutPacer(r.Alias, r.Loads, list), who
	return fmt.Sprintf("%d functions go to %s, the most asked for first, %d loads at a time", len(list), r.Tag, max(r.Loads, 1)), nil
}

// step takes a release on. order asks every front end to have a version loaded, stands tells whether all believe that
// a copy does.
func (g *functionRegistry) step(now float64, log *slog.Logger, order func(ref string) error, stands func(id string) bool) error {
	g.mu.Lock()
	p := g.pacer
	g.mu.Unlock()
	if p == nil {
		return nil
	}
	for _, x := range p.Next(now) {
		if err := order(x.Function + "@" + string(x.To)); err != nil {
			return err
		}
		p.OnRequest(x.Function, now)
	}
	for _, x := range p.Loading() {
		if !stands(x.Function + "@" + string(x.To)) {
			continue
		}
		if m, due := p.OnLoaded(x.Function, now); due {
			g.mu.Lock()
			err := g.apply(registry.Entry{At: float64(time.Now().UnixNano()) / 1e9, Actor: g.who, Move: &m, Reason: "release"})
			g.mu.Unlock()
			if err != nil { // withdrawn meanwhile: the others go on
				log.Error("release: an alias does not move", "function", x.Function, "error", err)
			}
		}
	}
	if left, lost := p.Remaining(); left == 0 {
		log.Info("release ended", "who", g.who, "rested", p.Pauses, "given_up", fmt.Sprint(lost))
		g.mu.Lock()
		g.pacer = nil
		g.mu.Unlock()
	}
	return nil
}

// judge moves rollouts on, or back.
func (g *functionRegistry) judge(log *slog.Logger) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.reg.AdvanceRollouts(float64(time.Now().UnixNano()) / 1e9) {
		if err := g.apply(e); err != nil {
			return err
		}
		if e.Move != nil {
			log.Info("rollout ended", "function", e.Move.Function, "alias", e.Move.Alias, "digest", e.Move.Digest, "why", e.Reason)
		} else {
			log.Info("rollout goes on", "function", e.Rollout.Function, "alias", e.Rollout.Alias, "share", e.Rollout.Share, "why", e.Reason)
		}
	}
	return nil
}

func (g *functionRegistry) list() []registry.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]registry.View{}, g.reg.List()...)
}

// coming are the versions that rollouts are going to, as references.
func (g *functionRegistry) coming() (list []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.reg.List() {
		for _, ro := range f.Rollouts {
			list = append(list, ro.Function+"@"+string(ro.To))
		}
	}
	return list
}

func (g *functionRegistry) trail() []registry.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]registry.Entry{}, g.reg.AuditTrail...)
}

func (g *functionRegistry) mayRun(b dispatch.Binding) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ref, err := registry.ParseRef(b.ID)
	return err == nil && g.reg.IsAllowed(ref.Function, ref.Digest)
}

// seen counts an answer for rollouts. A version is to blame for errors, for loads that fail and for a wrong digest,
// not for a worker that hangs or a fleet without room.
func (g *functionRegistry) seen(a dispatch.Response) {
	ref, err := registry.ParseRef(a.Binding.ID)
	if a.Binding.ID == "" || err != nil {
		return
	}
	bad := a.Cause == dispatch.CauseWorkerFailed || a.Cause == dispatch.CauseLoadFailed || a.Cause == dispatch.CauseWrongDigest
	if a.Kind != dispatch.Succeeded && !bad {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked[ref.Function]++
	g.reg.RecordResult(ref.Function, ref.Digest, bad)
}

// bind settles the version of an event. A function that the registry does not know, named without a tag or digest,
// has no versions and runs as workers have it.
func (b *Appliance) bind(ask *dispatch.Request) (dispatch.Binding, dispatch.FunctionProfile, error) {
	none := b.cfg.Function(ask.Function)
	b.reg.mu.Lock()
	defer b.reg.mu.Unlock()
	text := ask.Function
	if was, ok := b.reg.bound.Get(ask.Identity); ok {
		if ref, err := registry.ParseRef(text); err == nil && ref.Function == was.Function && b.reg.reg.IsAllowed(was.Function, digest.Digest(was.Digest)) {
			text = was.ID
		}
	}
	bound, err := b.reg.reg.Resolve(text, ask.Class, ask.Tenant, ask.Identity.String())
	if err != nil {
		ref, perr := registry.ParseRef(ask.Function)
		if perr != nil || errors.Is(err, registry.ErrUnknown) && !b.reg.reg.Contains(ref.Function) && ref.Tag == registry.Current && ref.Digest == "" {
			return dispatch.Binding{}, none, nil
		}
		return dispatch.Binding{}, none, err
	}
	fn := b.cfg.Function(bound.Function)
	if bound.Concurrency > 0 {
		fn.Concurrency = bound.Concurrency
	}
	if bound.MemoryMB > 0 {
		fn.MemoryMB = bound.MemoryMB
	}
	if bound.LoadTime > 0 {
		fn.LoadTime = bound.LoadTime
	}
	out := dispatch.Binding{ID: bound.ID(), Function: bound.Function, Version: bound.Name, Digest: string(bound.Digest)}
	b.reg.bound.Add(ask.Identity, out)
	return out, fn, nil
}
