package appliance

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
	"streamcleat/internal/registry/signing"
	"streamcleat/internal/storage"
)

// maxBindings is how many requests' bindings are remembered for all servers: a retry that comes to another server
// than the first attempt keeps its version.
const maxBindings = 1 << 14

// Actors and reasons of the changes that the appliance makes itself. They are stored in the audit trail.
const (
	actorKeys      = "keys"
	reasonRollback = "back"
	reasonRelease  = "release"
)

// functionRegistry is the appliance's registry of function versions, shared by its servers. An entry of its audit trail
// is on disk before the change is confirmed.
type functionRegistry struct {
	mu            sync.Mutex // guards what follows
	registry      *registry.Registry
	store         *storage.Store         // nil: changes last as long as the process
	requestCounts map[string]int         // requests by function since the start
	pacer         *registry.RolloutPacer // the release under way, or nil; a restart ends it where it is
	releasedBy    string                 // who started the release
	keyring       *signing.Ring          // nil: versions need no signature
	keyringText   []byte                 // text of the keyring that is fully applied
	bindings      *lru.Cache[dispatch.Identity, dispatch.Binding]
}

// Change is a change of the registry that a console asks for: an entry, a release or a rollback.
type Change struct {
	registry.Entry
	Release    *Release `json:"release,omitempty"`
	Signatures [][]byte `json:"signatures,omitempty"` // envelopes that sign what is published
	Rollback   *struct {
		Function string `json:"function"`
		Alias    string `json:"alias"`
	} `json:"back,omitempty"` // the alias returns to its previous version
}

// open builds the registry from the entries of its audit trail.
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
			return fmt.Errorf("handlers: entry %d of the audit trail: %w", i, err)
		}
	}
	return nil
}

// applyEntry makes a change and stores it. A change that can't be stored is undone.
func (g *functionRegistry) applyEntry(entry registry.Entry) error {
	if err := g.registry.Apply(entry); err != nil {
		return err
	}
	if g.store == nil {
		return nil
	}
	last := len(g.registry.AuditTrail) - 1
	data, err := json.Marshal(entry)
	if err == nil {
		err = g.store.AppendAudit(last, data)
	}
	if err == nil {
		return nil
	}
	previous := registry.New()
	for _, earlier := range g.registry.AuditTrail[:last] {
		if replayErr := previous.Apply(earlier); replayErr != nil {
			return errors.Join(err, replayErr)
		}
	}
	g.registry = previous
	return fmt.Errorf("the change can't be kept and is not made: %w", err)
}

// applyChange makes the change that a console asks for and returns what was done.
func (g *functionRegistry) applyChange(change Change) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := change.Entry
	if entry.Actor == "" {
		return "", statusError{http.StatusBadRequest, "who makes the change?"}
	}
	entry.At = unixSeconds(time.Now())
	if change.Release != nil {
		return g.startRelease(*change.Release, entry.Actor)
	}
	if change.Rollback != nil {
		move, err := g.registry.Rollback(change.Rollback.Function, change.Rollback.Alias)
		if err != nil {
			return "", err
		}
		entry.AliasUpdate, entry.Reason = &move, reasonRollback
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

// verifySignatures sets the keys that have signed a version. Whatever the console says of them is discarded.
func (g *functionRegistry) verifySignatures(version *registry.Version, signatures [][]byte) (err error) {
	version.SignedBy = nil
	if g.keyring == nil {
		return nil
	}
	version.SignedBy, err = g.keyring.Verify(time.Now(), version.Function, version.Name, version.Digest, signatures)
	return err
}

// describeEntry returns what a change has done, for the console.
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

// reloadKeys reads the keyring and, if it has changed, withdraws the versions that only revoked keys have signed. An
// invalid file leaves the last keyring in force.
func (g *functionRegistry) reloadKeys(path string, log *slog.Logger) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keyring != nil && bytes.Equal(data, g.keyringText) {
		return nil
	}
	keyring, err := signing.ReadRing(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	g.keyring, g.keyringText = keyring, nil // the next call tries again what can't be stored now
	if err := g.withdrawUnsigned(log); err != nil {
		return err
	}
	g.keyringText = data
	return nil
}

// withdrawUnsigned withdraws the versions that no key in force has signed.
func (g *functionRegistry) withdrawUnsigned(log *slog.Logger) error {
	for _, function := range g.registry.List() {
		for _, version := range function.Versions {
			if version.Withdrawn || g.keyring.IsTrusted(version.SignedBy) {
				continue
			}
			entry := registry.Entry{
				At:       unixSeconds(time.Now()),
				Actor:    actorKeys,
				Withdraw: version.Function + "@" + string(version.Digest),
				Reason:   "none in force vouches for it; it was published by " + strings.Join(version.SignedBy, ", "),
			}
			if err := g.applyEntry(entry); err != nil {
				return err
			}
			log.Warn("version withdrawn", "function", version.Function, "version", version.Name, "reason", entry.Reason)
		}
	}
	return nil
}

// views returns what the console shows of the registry.
func (g *functionRegistry) views() []registry.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]registry.View{}, g.registry.List()...)
}

// auditTrail returns all changes of the registry, in order.
func (g *functionRegistry) auditTrail() []registry.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]registry.Entry{}, g.registry.AuditTrail...)
}

// unixSeconds returns a time as the audit trail has it.
func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }
