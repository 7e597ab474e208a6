// Package signing decides which versions of functions are vouched for: signatures in DSSE envelopes over in-toto
// statements, by keys that come, go and are revoked.
//
// A Ring owns the keys in force. It has no I/O and no clock. The appliance verifies what is published by it, and looks
// again at what was published when the ring changes; the handler commands make keys and signatures.
//
// Sources: https://github.com/secure-systems-lab/dsse (envelope, pre-authentication encoding),
// https://github.com/in-toto/attestation (Statement v1).
package signing

import (
	"bytes"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"slices"
	"time"
)

// Key is one that may vouch for versions. Its signatures count for what is published between ValidFrom and Until. A key
// that is revoked never counts, nor does what it vouched for before.
type Key struct {
	ID               string    `json:"id"`
	PublicKey        string    `json:"public_key"` // PEM, PKIX, Ed25519
	ValidFrom        time.Time `json:"from,omitzero"`
	ValidUntil       time.Time `json:"until,omitzero"`
	Revoked          bool      `json:"revoked,omitempty"`
	FunctionPatterns []string  `json:"functions,omitempty"` // names or patterns with * and ? that it may vouch for; none: all

	publicKey ed25519.PublicKey
}

// Ring is the keys in force, and how many of them must vouch for a version.
type Ring struct {
	Threshold int   `json:"need"`
	Keys      []Key `json:"keys"`
}

// FieldError is one fault of a ring's document.
type FieldError struct {
	Pointer string // JSON pointer
	Err     error
}

// Error names the field and its fault.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %v", e.Pointer, e.Err) }

// Unwrap returns the fault.
func (e *FieldError) Unwrap() error { return e.Err }

// ReadRing reads a ring from JSON and reports every fault with its place, as a FieldError.
func ReadRing(data []byte) (*Ring, error) {
	r := &Ring{Threshold: 1}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields() // a misspelt "revoked" must not go unseen
	if err := decoder.Decode(r); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var faults []error
	ids := map[string]bool{}
	for i := range r.Keys {
		k := &r.Keys[i]
		for _, fault := range k.parse(ids[k.ID]) {
			faults = append(faults, &FieldError{Pointer: fmt.Sprintf("/keys/%d/%s", i, fault.Pointer), Err: fault.Err})
		}
		ids[k.ID] = true
	}
	if r.Threshold < 1 || r.Threshold > len(r.Keys) {
		faults = append(faults, &FieldError{Pointer: "/need", Err: fmt.Errorf("%d keys can't be had of %d", r.Threshold, len(r.Keys))})
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("keys: %w", errors.Join(faults...))
	}
	return r, nil
}

// parse decodes the public key and checks the fields; its faults have pointers relative to the key.
func (k *Key) parse(duplicateID bool) (faults []FieldError) {
	fail := func(pointer string, err error) {
		faults = append(faults, FieldError{Pointer: pointer, Err: err})
	}
	if k.ID == "" || duplicateID {
		fail("id", fmt.Errorf("%q is empty or stands twice", k.ID))
	}
	var err error
	if k.publicKey, err = parseKey[ed25519.PublicKey]([]byte(k.PublicKey), publicKeyBlock, x509.ParsePKIXPublicKey); err != nil {
		fail("public_key", err)
	}
	if !k.ValidFrom.IsZero() && !k.ValidUntil.IsZero() && !k.ValidFrom.Before(k.ValidUntil) {
		fail("until", fmt.Errorf("%s is not after from, %s", k.ValidUntil.Format(time.RFC3339), k.ValidFrom.Format(time.RFC3339)))
	}
	for i, pattern := range k.FunctionPatterns {
		if _, err := path.Match(pattern, ""); err != nil {
			fail(fmt.Sprintf("functions/%d", i), fmt.Errorf("%q is no pattern", pattern))
		}
	}
	return faults
}

func (r *Ring) findKey(id string) *Key {
	for i := range r.Keys {
		if r.Keys[i].ID == id {
			return &r.Keys[i]
		}
	}
	return nil
}

// isValidAt reports whether signatures of the key count for what is published at a time.
func (k *Key) isValidAt(now time.Time) bool {
	if !k.ValidFrom.IsZero() && now.Before(k.ValidFrom) {
		return false
	}
	return k.ValidUntil.IsZero() || now.Before(k.ValidUntil)
}

// maySignFor reports whether the key may vouch for a function.
func (k *Key) maySignFor(function string) bool {
	return len(k.FunctionPatterns) == 0 || slices.ContainsFunc(k.FunctionPatterns, func(pattern string) bool {
		matched, _ := path.Match(pattern, function) // patterns are checked when the ring is read
		return matched
	})
}

// IsTrusted reports whether a version that was published with these keys may still run: keys that were retired since
// vouch on, revoked ones and ones that left the ring do not. A version that was published before keys were asked
// for has none, and may run.
func (r *Ring) IsTrusted(ids []string) bool {
	if len(ids) == 0 {
		return true
	}
	trusted := 0
	for _, id := range ids {
		if k := r.findKey(id); k != nil && !k.Revoked {
			trusted++
		}
	}
	return trusted >= r.Threshold
}
