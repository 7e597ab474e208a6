package signing

import (
	"context"
	"crypto"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"
	"github.com/secure-systems-lab/go-securesystemslib/dsse"
)

// ErrUntrusted means that a version has valid signatures of fewer keys than required.
var ErrUntrusted = errors.New("insufficient valid signatures")

// Verify returns the IDs of the keys with a valid signature of a version that is published at now. It ignores envelopes
// whose statement does not match the version, and signatures of keys that are unknown, revoked, outside their validity
// period or not allowed to sign for the function. If fewer keys than the threshold remain, it returns an error that wraps
// ErrUntrusted and the reasons.
func (r *Ring) Verify(now time.Time, function, version string, d digest.Digest, envelopes [][]byte) (ids []string, err error) {
	var reasons []error
	for i, data := range envelopes {
		accepted, err := r.verifyEnvelope(now, function, version, d, data)
		if err != nil {
			reasons = append(reasons, fmt.Errorf("signature %d: %w", i+1, err))
		}
		ids = append(ids, accepted...)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if len(ids) < r.Threshold {
		err := fmt.Errorf("%s:%s: %w: signed by %d of %d required keys", function, version, ErrUntrusted, len(ids), r.Threshold)
		if len(reasons) > 0 {
			err = fmt.Errorf("%w %w", err, errors.Join(reasons...))
		}
		return ids, err
	}
	return ids, nil
}

// verifyEnvelope returns the IDs of the keys with a valid signature in an envelope.
func (r *Ring) verifyEnvelope(now time.Time, function, version string, d digest.Digest, data []byte) ([]string, error) {
	envelope, err := decodeEnvelope(data)
	if err != nil {
		return nil, err
	}
	verifiers, rejections := r.usableKeys(envelope.Signatures, now, function)
	if len(verifiers) == 0 {
		return nil, errors.Join(append(rejections, dsse.ErrNoSignature)...)
	}
	envelopeVerifier, err := dsse.NewEnvelopeVerifier(verifiers...)
	if err != nil {
		return nil, err
	}
	accepted, payload, err := envelopeVerifier.VerifyAndDecode(context.Background(), envelope)
	if err != nil {
		return nil, errors.Join(append(rejections, err)...)
	}
	var s statement
	if err := json.Unmarshal(payload, &s); err != nil {
		return nil, fmt.Errorf("statement: %w", err)
	}
	if !s.matches(function, version, d) {
		return nil, fmt.Errorf("statement does not match %s:%s with digest %s", function, version, d)
	}
	var ids []string
	for _, key := range accepted {
		ids = append(ids, key.KeyID)
	}
	return ids, nil
}

// usableKeys returns the keys of the signatures that may sign for a function at now, and an error for each of the others.
func (r *Ring) usableKeys(signatures []dsse.Signature, now time.Time, function string) (usable []dsse.Verifier, rejections []error) {
	for _, signature := range signatures {
		k := r.findKey(signature.KeyID)
		if err := k.checkUsable(signature.KeyID, now, function); err != nil {
			rejections = append(rejections, err)
			continue
		}
		usable = append(usable, verifier{k})
	}
	return usable, rejections
}

// checkUsable returns an error if the key may not sign for a function at now. The receiver is nil if the ID is not in the
// ring.
func (k *Key) checkUsable(id string, now time.Time, function string) error {
	switch {
	case k == nil:
		return fmt.Errorf("key %q is not in the ring", id)
	case k.Revoked:
		return fmt.Errorf("key %q is revoked", id)
	case !k.isValidAt(now):
		return fmt.Errorf("key %q is not valid at %s", id, now.Format(time.RFC3339))
	case !k.maySignFor(function):
		return fmt.Errorf("key %q may not sign for %s", id, function)
	default:
		return nil
	}
}

// verifier implements dsse.Verifier with a public key of the ring.
type verifier struct{ key *Key }

// Verify returns an error if the signature of data is invalid.
func (v verifier) Verify(_ context.Context, data, signature []byte) error {
	if !ed25519.Verify(v.key.publicKey, data, signature) {
		return fmt.Errorf("invalid signature of key %q", v.key.ID)
	}
	return nil
}

// KeyID returns the ID of the key.
func (v verifier) KeyID() (string, error) { return v.key.ID, nil }

// Public returns the public key.
func (v verifier) Public() crypto.PublicKey { return v.key.publicKey }
