package appliance

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
	"streamcleat/internal/registry/signing"
	"streamcleat/internal/storage"
)

// maxBindings is the capacity of the cache of version bindings. The cache is shared by all servers, so that a retry that arrives
// at another server runs on the version of the first attempt.
const maxBindings = 1 << 14

// Actors and reasons of changes made by the appliance itself, as stored in the audit trail.
const (
	actorKeys      = "keys"
	reasonRollback = "back"
	reasonRelease  = "release"
)

// functionRegistry is the registry of function versions, shared by all servers. The audit trail entry of a change is on
// disk before the change is confirmed.
type functionRegistry struct {
	mu            sync.Mutex // guards the fields below
	registry      *registry.Registry
	store         *storage.Store         // nil: changes are lost at exit
	requestCounts map[string]int         // requests since the start, by function
	pacer         *registry.RolloutPacer // the release in progress, or nil; a restart abandons it
	releasedBy    string                 // actor who started the release
	keyring       *signing.Ring          // nil: versions need no signature
	keyringText   []byte                 // text of the last keyring that was fully applied
	bindings      *lru.Cache[dispatch.Identity, dispatch.Binding]
}

// Change is a change of the registry requested by a console: an audit trail entry, a release or a rollback.
type Change struct {
	registry.Entry
	Release    *Release `json:"release,omitempty"`
	Signatures [][]byte `json:"signatures,omitempty"` // signed envelopes for the published version
	Rollback   *struct {
		Function string `json:"function"`
		Alias    string `json:"alias"`
	} `json:"back,omitempty"` // move the alias back to its previous version
}

// open replays the audit trail into a new registry.
func (g *functionRegistry) open(store *storage.Store, auditTrail [][]byte) error {
	g.registry, g.store, g.requestCounts = registry.New(), store, map[string]int{}
	var err error
	if g.bindings, err = lru.New[dispatch.Identity, dispatch.Binding](maxBindings); err != nil {
		return err
	}
	for i, data := range auditTrail {
		var entry registry.Entry
		err := json.Unmarshal(data, &entry)
		if err == nil {
			err = g.registry.Apply(entry)
		}
		if err != nil {
			return fmt.Errorf("function registry: replay audit trail entry %d: %w", i, err)
		}
	}
	return nil
}

// applyEntry applies a change and stores it. A change that can't be stored is undone. The caller must hold g.mu.
func (g *functionRegistry) applyEntry(entry registry.Entry) error {
	if err := g.registry.Apply(entry); err != nil {
		return err
	}
	if g.store == nil {
		return nil
	}
	index := len(g.registry.AuditTrail) - 1
	data, err := json.Marshal(entry)
	if err == nil {
		err = g.store.AppendAudit(index, data)
	}
	if err == nil {
		return nil
	}
	// Undo the change by replaying the trail without it.
	previous := registry.New()
	for _, earlier := range g.registry.AuditTrail[:index] {
		if replayErr := previous.Apply(earlier); replayErr != nil {
			return errors.Join(err, replayErr)
		}
	}
	g.registry = previous
	return fmt.Errorf("failed to store the change, it is not applied: %w", err)
}

// applyChange makes a change requested by a console and returns a description of it.
func (g *functionRegistry) applyChange(change Change) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := change.Entry
	if entry.Actor == "" {
		return "", statusError{http.StatusBadRequest, "the change has no actor, field who is empty"}
	}
	entry.At = unixSeconds(time.Now())
	if change.Release != nil {
		return g.startRelease(*change.Release, entry.Actor)
	}
	if change.Rollback != nil {
		update, err := g.registry.Rollback(change.Rollback.Function, change.Rollback.Alias)
		if err != nil {
			return "", err
		}
		entry.AliasUpdate, entry.Reason = &update, reasonRollback
	}
	if entry.Publish != nil {
		if err := g.verifySignatures(entry.Publish, change.Signatures); err != nil {
			return "", err
		}
	}
	if err := g.applyEntry(entry); err != nil {
		return "", err
	}
	return describeEntry(entry), nil
}

// describeEntry returns the description of a change that the console shows.
func describeEntry(entry registry.Entry) string {
	switch {
	case entry.Publish != nil:
		return fmt.Sprintf("published %s:%s as %s", entry.Publish.Function, entry.Publish.Name, entry.Publish.Digest)
	case entry.AliasUpdate != nil && entry.AliasUpdate.Digest == "":
		return fmt.Sprintf("alias %s:%s is gone", entry.AliasUpdate.Function, entry.AliasUpdate.Alias)
	case entry.AliasUpdate != nil:
		return fmt.Sprintf("alias %s:%s names %s", entry.AliasUpdate.Function, entry.AliasUpdate.Alias, entry.AliasUpdate.Digest)
	case entry.Rollout != nil:
		return fmt.Sprintf("alias %s:%s goes over to %s", entry.Rollout.Function, entry.Rollout.Alias, entry.Rollout.To)
	}
	return "withdrawn: " + entry.Withdraw
}

// views returns the functions with their versions, aliases and rollouts.
func (g *functionRegistry) views() []registry.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]registry.View{}, g.registry.List()...)
}

// auditTrail returns a copy of the audit trail.
func (g *functionRegistry) auditTrail() []registry.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]registry.Entry{}, g.registry.AuditTrail...)
}

// unixSeconds converts a time to the representation of the audit trail.
func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }
