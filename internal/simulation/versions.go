package simulation

import (
	"encoding/json"
	"fmt"

	"github.com/opencontainers/go-digest"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
)

// versionsOf are the versions that every function has in a site with versions.
const versionsOf = 3

func versionOf(fn string, no int) *registry.Version {
	name := fmt.Sprintf("1.%d", no)
	return &registry.Version{Function: fn, Name: name, Digest: digest.FromString(fn + ":" + name)}
}

// library takes up the registry of functions from the audit trail, and makes it where there is none.
func (b *box) library(trail [][]byte) {
	b.reg = registry.New()
	if !b.s.script.Versions {
		return
	}
	for i, data := range trail {
		var e registry.Entry
		err := json.Unmarshal(data, &e)
		if err == nil {
			err = b.reg.Apply(e)
		}
		if err != nil {
			b.s.fault("trail", "%s: entry %d: %v", b.name, i, err)
		}
	}
	if n := len(b.reg.AuditTrail); n < b.trail {
		b.s.fault("trail", "%s was told that %d entries are kept and found %d", b.name, b.trail, n)
	}
	for _, f := range b.s.functions {
		for no := range versionsOf {
			v := versionOf(f.Name, no)
			if _, err := b.reg.Find(f.Name + ":" + v.Name); err != nil {
				b.change(registry.Entry{Publish: v})
			}
		}
		if _, err := b.reg.Find(f.Name); err != nil {
			b.change(registry.Entry{Move: &registry.Move{Function: f.Name, Alias: registry.Current, Digest: versionOf(f.Name, 0).Digest}})
		}
	}
}

// change makes a change of the registry, which is in force once it is on disk.
func (b *box) change(e registry.Entry) {
	e.At, e.Actor = b.w.now, "script"
	if !b.up {
		return
	}
	if b.store != nil {
		data, err := json.Marshal(e)
		if err == nil {
			err = b.written(func() error { return b.store.AppendAudit(len(b.reg.AuditTrail), data) })
		}
		if err != nil || !b.up {
			return
		}
	}
	if err := b.reg.Apply(e); err != nil {
		b.s.fault("trail", "%s: %v", b.name, err)
	}
	b.trail = len(b.reg.AuditTrail)
}

// turn moves the alias of a function to another version.
func (b *box) turn(no, to int) {
	f := b.s.functions[no%len(b.s.functions)]
	v := versionOf(f.Name, to%versionsOf)
	if _, err := b.reg.Find(f.Name + ":" + v.Name); err == nil {
		b.change(registry.Entry{Move: &registry.Move{Function: f.Name, Alias: registry.Current, Digest: v.Digest}})
	}
}

func (b *box) bind(ask *dispatch.Request) (dispatch.Binding, dispatch.FunctionProfile, error) {
	fn := b.s.cfg.Function(ask.Function)
	v, err := b.reg.Resolve(ask.Function, ask.Class, ask.Tenant, ask.Identity.String())
	if err != nil {
		return dispatch.Binding{}, fn, err
	}
	return dispatch.Binding{ID: v.ID(), Function: v.Function, Version: v.Name, Digest: string(v.Digest)}, fn, nil
}

func (b *box) mayRun(x dispatch.Binding) bool {
	return b.reg.IsAllowed(x.Function, digest.Digest(x.Digest))
}
