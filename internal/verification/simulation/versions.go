package simulation

import (
	"encoding/json"
	"fmt"

	"github.com/opencontainers/go-digest"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
)

const (
	versionsPerFunction = 3        // if the script has versions
	registryActor       = "script" // actor of all changes to the registries
)

func newVersion(function string, number int) *registry.Version {
	name := fmt.Sprintf("1.%d", number)
	return &registry.Version{Function: function, Name: name, Digest: digest.FromString(function + ":" + name)}
}

// openRegistry restores the registry of functions from the audit trail, and publishes missing versions and aliases.
func (a *applianceProcess) openRegistry(auditTrail [][]byte) {
	a.registry = registry.New()
	if !a.site.script.Versions {
		return
	}
	for i, data := range auditTrail {
		var entry registry.Entry
		err := json.Unmarshal(data, &entry)
		if err == nil {
			err = a.registry.Apply(entry)
		}
		if err != nil {
			a.site.violation("audit", "%s: entry %d: %v", a.name, i, err)
		}
	}
	if n := len(a.registry.AuditTrail); n < a.auditEntries {
		a.site.violation("audit", "%s: %d entries were acknowledged, %d recovered", a.name, a.auditEntries, n)
	}
	for _, f := range a.site.functions {
		a.publishVersions(f.Name)
	}
}

// publishVersions publishes a function's versions and its default alias, as far as the registry lacks them.
func (a *applianceProcess) publishVersions(function string) {
	for number := range versionsPerFunction {
		v := newVersion(function, number)
		if _, err := a.registry.Find(function + ":" + v.Name); err != nil {
			a.changeRegistry(registry.Entry{Publish: v})
		}
	}
	if _, err := a.registry.Find(function); err != nil {
		a.updateAlias(function, newVersion(function, 0))
	}
}

// changeRegistry writes a change to disk and then applies it to the registry.
func (a *applianceProcess) changeRegistry(entry registry.Entry) {
	entry.At, entry.Actor = float64(a.scheduler.now), registryActor
	if !a.running {
		return
	}
	if a.store != nil {
		data, err := json.Marshal(entry)
		if err == nil {
			err = a.withStore(func() error { return a.store.AppendAudit(len(a.registry.AuditTrail), data) })
		}
		if err != nil || !a.running {
			return
		}
	}
	if err := a.registry.Apply(entry); err != nil {
		a.site.violation("audit", "%s: %v", a.name, err)
	}
	a.auditEntries = len(a.registry.AuditTrail)
}

func (a *applianceProcess) updateAlias(function string, to *registry.Version) {
	a.changeRegistry(registry.Entry{AliasUpdate: &registry.AliasUpdate{Function: function, Alias: registry.DefaultAlias, Digest: to.Digest}})
}

// switchVersion updates the default alias of a function to a version, both given by number, if the registry has that version.
func (a *applianceProcess) switchVersion(function, version int) {
	name := a.site.functions[function%len(a.site.functions)].Name
	v := newVersion(name, version%versionsPerFunction)
	if _, err := a.registry.Find(name + ":" + v.Name); err == nil {
		a.updateAlias(name, v)
	}
}

// resolveVersion resolves the version of a function that executes a request.
func (a *applianceProcess) resolveVersion(request *dispatch.Request) (dispatch.Binding, dispatch.FunctionProfile, error) {
	profile := a.site.config.Function(request.Function)
	identity := request.Identity
	v, err := a.registry.Resolve(request.Function, request.Class, request.Tenant, identity.String())
	if err != nil {
		return dispatch.Binding{}, profile, err
	}
	return dispatch.Binding{ID: v.ID(), Function: v.Function, Version: v.Name, Digest: string(v.Digest)}, profile, nil
}

func (a *applianceProcess) isVersionAllowed(b dispatch.Binding) bool {
	return a.registry.IsAllowed(b.Function, digest.Digest(b.Digest))
}
