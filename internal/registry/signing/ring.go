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

// Key is a public key that signs versions. Its signatures are accepted for versions published from ValidFrom until
// ValidUntil; a zero time means no limit. Revoking a key invalidates all of its signatures, including earlier ones.
type Key struct {
	ID               string    `json:"id"`
	PublicKey        string    `json:"public_key"` // PEM, PKIX, Ed25519
	ValidFrom        time.Time `json:"from,omitzero"`
	ValidUntil       time.Time `json:"until,omitzero"`
	Revoked          bool      `json:"revoked,omitempty"`
	FunctionPatterns []string  `json:"functions,omitempty"` // path.Match patterns of the functions that the key may sign for; empty means all

	publicKey ed25519.PublicKey
}

// Ring is a set of trusted keys, and the number of them that must sign a version. It is not modified after ReadRing, and
// is safe for concurrent use.
type Ring struct {
	Threshold int   `json:"need"`
	Keys      []Key `json:"keys"`
}

// FieldError reports an invalid field of a key ring document.
type FieldError struct {
	Pointer string // JSON pointer
	Err     error
}

// Error returns the JSON pointer and the underlying error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %v", e.Pointer, e.Err) }

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.Err }

// ReadRing parses a ring from JSON. It reports all invalid fields, each as a *FieldError.
func ReadRing(data []byte) (*Ring, error) {
	r := &Ring{Threshold: 1}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields() // ignoring a misspelled "revoked" would leave the key trusted
	if err := decoder.Decode(r); err != nil {
		return nil, fmt.Errorf("key ring: %w", err)
	}
	var fieldErrors []error
	ids := map[string]bool{}
	for i := range r.Keys {
		k := &r.Keys[i]
		if k.ID == "" || ids[k.ID] {
			fieldErrors = append(fieldErrors, &FieldError{Pointer: fmt.Sprintf("/keys/%d/id", i), Err: fmt.Errorf("%q is empty or duplicate", k.ID)})
		}
		for _, e := range k.parse() {
			fieldErrors = append(fieldErrors, &FieldError{Pointer: fmt.Sprintf("/keys/%d/%s", i, e.Pointer), Err: e.Err})
		}
		ids[k.ID] = true
	}
	if r.Threshold < 1 || r.Threshold > len(r.Keys) {
		fieldErrors = append(fieldErrors, &FieldError{Pointer: "/need", Err: fmt.Errorf("%d is not between 1 and the number of keys, %d", r.Threshold, len(r.Keys))})
	}
	if len(fieldErrors) > 0 {
		return nil, fmt.Errorf("key ring: %w", errors.Join(fieldErrors...))
	}
	return r, nil
}

// parse decodes the public key and validates the other fields except the ID, which ReadRing validates. The pointers of its
// errors are relative to the key.
func (k *Key) parse() (fieldErrors []FieldError) {
	fail := func(pointer string, err error) {
		fieldErrors = append(fieldErrors, FieldError{Pointer: pointer, Err: err})
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
			fail(fmt.Sprintf("functions/%d", i), fmt.Errorf("%q is not a valid pattern", pattern))
		}
	}
	return fieldErrors
}

func (r *Ring) findKey(id string) *Key {
	for i := range r.Keys {
		if r.Keys[i].ID == id {
			return &r.Keys[i]
		}
	}
	return nil
}

// isValidAt reports whether now is within the validity period of the key.
func (k *Key) isValidAt(now time.Time) bool {
	if !k.ValidFrom.IsZero() && now.Before(k.ValidFrom) {
		return false
	}
	return k.ValidUntil.IsZero() || now.Before(k.ValidUntil)
}

// maySignFor reports whether the key may sign versions of a function.
func (k *Key) maySignFor(function string) bool {
	return len(k.FunctionPatterns) == 0 || slices.ContainsFunc(k.FunctionPatterns, func(pattern string) bool {
		matched, _ := path.Match(pattern, function) // ReadRing has checked the pattern
		return matched
	})
}

// IsTrusted reports whether a published version may still run. ids are the keys whose signatures were accepted when it was
// published. Signatures of expired keys remain valid; those of revoked or removed keys do not. A version without any was
// published before signatures were required, and is trusted.
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
