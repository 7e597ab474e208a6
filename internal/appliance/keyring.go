package appliance

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"streamcleat/internal/registry"
	"streamcleat/internal/registry/signing"
)

// verifySignatures sets SignedBy to the keys whose signatures are valid. It discards the value sent by the console.
func (g *functionRegistry) verifySignatures(version *registry.Version, signatures [][]byte) error {
	version.SignedBy = nil
	if g.keyring == nil {
		return nil
	}
	var err error
	version.SignedBy, err = g.keyring.Verify(time.Now(), version.Function, version.Name, version.Digest, signatures)
	return err
}

// reloadKeys reads the keyring. If it has changed, the versions signed only by revoked keys are withdrawn. An invalid file
// leaves the last keyring in effect.
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
	g.keyring, g.keyringText = keyring, nil // a withdrawal that can't be stored is retried by the next call
	if err := g.withdrawUnsigned(log); err != nil {
		return err
	}
	g.keyringText = data
	return nil
}

// withdrawUnsigned withdraws the versions that are not signed by a trusted key.
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
