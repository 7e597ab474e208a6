// Package signing decides which versions of functions are vouched for: signatures in DSSE envelopes over in-toto
// statements, by keys that come, go and are revoked. It has no I/O and no clock.
//
// Sources: https://github.com/secure-systems-lab/dsse (envelope, pre-authentication encoding),
// https://github.com/in-toto/attestation (Statement v1).
package signing

import (
	"bytes"
	"context"
	"crypto"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"path"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"
	"github.com/secure-systems-lab/go-securesystemslib/dsse"
)

// Types of the envelope's payload and of the artifact that carries it in a registry.
const (
	PayloadType   = "application/vnd.in-toto+json"
	EnvelopeType  = "application/vnd.dsse.envelope.v1+json"
	statementType = "https://in-toto.io/Statement/v1"
	predicateType = "https://streamcleat.org/release/v1"
	mostEnvelope  = 64 << 10
)

// Key is one that may vouch for versions. Its signatures count for what is published between From and Until. A key
// that is revoked never counts, nor does what it vouched for before.
type Key struct {
	ID      string    `json:"id"`
	Public  string    `json:"public_key"` // PEM, PKIX, Ed25519
	From    time.Time `json:"from,omitzero"`
	Until   time.Time `json:"until,omitzero"`
	Revoked bool      `json:"revoked,omitempty"`
	Match   []string  `json:"functions,omitempty"` // names or patterns with * and ? that it may vouch for; none: all
	public  ed25519.PublicKey
}

// Ring is the keys in force, and how many of them must vouch for a version.
type Ring struct {
	Need int   `json:"need"`
	Keys []Key `json:"keys"`
}

// ErrUntrusted tells that too few keys vouch for a version.
var ErrUntrusted = errors.New("not vouched for")

// ReadRing reads a ring from JSON and reports every fault with its place.
func ReadRing(data []byte) (*Ring, error) {
	r := &Ring{Need: 1}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields() // a misspelt "revoked" must not go unseen
	if err := dec.Decode(r); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var faults []error
	seen := map[string]bool{}
	for i := range r.Keys {
		k := &r.Keys[i]
		fault := func(field, format string, args ...any) {
			faults = append(faults, fmt.Errorf("/keys/%d/%s: %s", i, field, fmt.Sprintf(format, args...)))
		}
		if k.ID == "" || seen[k.ID] {
			fault("id", "%q is empty or stands twice", k.ID)
		}
		seen[k.ID] = true
		var err error
		if k.public, err = public(k.Public); err != nil {
			fault("public_key", "%v", err)
		}
		if !k.From.IsZero() && !k.Until.IsZero() && !k.From.Before(k.Until) {
			fault("until", "%s is not after from, %s", k.Until.Format(time.RFC3339), k.From.Format(time.RFC3339))
		}
		for n, m := range k.Match {
			if _, err := path.Match(m, ""); err != nil {
				fault(fmt.Sprintf("functions/%d", n), "%q is no pattern", m)
			}
		}
	}
	if r.Need < 1 || r.Need > len(r.Keys) {
		faults = append(faults, fmt.Errorf("/need: %d keys can't be had of %d", r.Need, len(r.Keys)))
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("keys: %w", errors.Join(faults...))
	}
	return r, nil
}

func public(text string) (ed25519.PublicKey, error) {
	block, _ := pem.Decode([]byte(text))
	if block == nil || block.Type != "PUBLIC KEY" {
		return nil, errors.New("no PEM block PUBLIC KEY")
	}
	k, err := x509.ParsePKIXPublicKey(block.Bytes)
	if err != nil {
		return nil, err
	}
	p, ok := k.(ed25519.PublicKey)
	if !ok {
		return nil, fmt.Errorf("%T is not an Ed25519 key", k)
	}
	return p, nil
}

// statement is what is signed.
type statement struct {
	Type      string    `json:"_type"`
	Subject   []subject `json:"subject"`
	Predicate string    `json:"predicateType"`
	Content   struct {
		Version string `json:"version"`
	} `json:"predicate"`
}

type subject struct {
	Name   string            `json:"name"`
	Digest map[string]string `json:"digest"`
}

// Vouched tells which keys vouch, by envelopes, for a version that is published at the time now. An envelope that
// says something else, or whose key is unknown, too old, too new or revoked, counts for nothing; why tells it.
func (r *Ring) Vouched(now time.Time, function, version string, d digest.Digest, envelopes [][]byte) (ids []string, why error) {
	var reasons []error
	for i, data := range envelopes {
		by, err := r.read(now, function, version, d, data)
		if err != nil {
			reasons = append(reasons, fmt.Errorf("signature %d: %w", i+1, err))
		}
		for _, id := range by {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	if len(ids) < r.Need {
		return ids, fmt.Errorf("%s:%s: %w: %d of %d keys that it takes %w", function, version, ErrUntrusted, len(ids), r.Need, errors.Join(reasons...))
	}
	return ids, nil
}

func (r *Ring) read(now time.Time, function, version string, d digest.Digest, data []byte) (ids []string, err error) {
	if len(data) > mostEnvelope {
		return nil, fmt.Errorf("%d bytes are too many", len(data))
	}
	var e dsse.Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, err
	}
	if e.PayloadType != PayloadType {
		return nil, fmt.Errorf("its payload is %q, not %s", e.PayloadType, PayloadType)
	}
	var by []dsse.Verifier
	var reasons []error
	for _, s := range e.Signatures {
		k := r.key(s.KeyID)
		switch {
		case k == nil:
			reasons = append(reasons, fmt.Errorf("key %q is not in the ring", s.KeyID))
		case k.Revoked:
			reasons = append(reasons, fmt.Errorf("key %q is revoked", s.KeyID))
		case !k.From.IsZero() && now.Before(k.From), !k.Until.IsZero() && !now.Before(k.Until):
			reasons = append(reasons, fmt.Errorf("key %q is not valid at %s", s.KeyID, now.Format(time.RFC3339)))
		case !k.vouchesFor(function):
			reasons = append(reasons, fmt.Errorf("key %q may not vouch for %s", s.KeyID, function))
		default:
			by = append(by, verifier{k})
		}
	}
	if len(by) == 0 {
		return nil, errors.Join(append(reasons, dsse.ErrNoSignature)...)
	}
	check, err := dsse.NewEnvelopeVerifier(by...)
	if err != nil {
		return nil, err
	}
	accepted, payload, err := check.VerifyAndDecode(context.Background(), &e)
	if err != nil {
		return nil, errors.Join(append(reasons, err)...)
	}
	var st statement
	if err := json.Unmarshal(payload, &st); err != nil {
		return nil, fmt.Errorf("statement: %w", err)
	}
	names := func(s subject) bool { return s.Name == function && s.Digest[d.Algorithm().String()] == d.Encoded() }
	if st.Type != statementType || st.Predicate != predicateType || st.Content.Version != version || !slices.ContainsFunc(st.Subject, names) {
		return nil, fmt.Errorf("it is about something else than %s:%s with %s", function, version, d)
	}
	for _, a := range accepted {
		ids = append(ids, a.KeyID)
	}
	return ids, nil
}

func (r *Ring) key(id string) *Key {
	for i := range r.Keys {
		if r.Keys[i].ID == id {
			return &r.Keys[i]
		}
	}
	return nil
}

func (k *Key) vouchesFor(function string) bool {
	return len(k.Match) == 0 || slices.ContainsFunc(k.Match, func(m string) bool {
		ok, _ := path.Match(m, function)
		return ok
	})
}

// Stands tells whether a version that was published with these keys may still run: keys that were retired since
// vouch on, revoked ones and ones that left the ring do not. A version that was published before keys were asked
// for has none, and stands.
func (r *Ring) Stands(ids []string) bool {
	if len(ids) == 0 {
		return true
	}
	n := 0
	for _, id := range ids {
		if k := r.key(id); k != nil && !k.Revoked {
			n++
		}
	}
	return n >= r.Need
}

type verifier struct{ k *Key }

func (v verifier) Verify(_ context.Context, data, sig []byte) error {
	if !ed25519.Verify(v.k.public, data, sig) {
		return fmt.Errorf("the signature of key %q is wrong", v.k.ID)
	}
	return nil
}
func (v verifier) KeyID() (string, error)   { return v.k.ID, nil }
func (v verifier) Public() crypto.PublicKey { return v.k.public }

type signer struct {
	id  string
	key ed25519.PrivateKey
}

func (s signer) Sign(_ context.Context, data []byte) ([]byte, error) {
	return ed25519.Sign(s.key, data), nil
}
func (s signer) KeyID() (string, error) { return s.id, nil }

// Sign makes an envelope in which a key, in PEM (PKCS 8, Ed25519), vouches for a version.
func Sign(id string, private []byte, function, version string, d digest.Digest) ([]byte, error) {
	block, _ := pem.Decode(private)
	if block == nil || block.Type != "PRIVATE KEY" {
		return nil, fmt.Errorf("key %s: no PEM block PRIVATE KEY", id)
	}
	k, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("key %s: %w", id, err)
	}
	key, ok := k.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("key %s: %T is not an Ed25519 key", id, k)
	}
	if err := d.Validate(); err != nil {
		return nil, fmt.Errorf("digest %q: %w", d, err)
	}
	st := statement{Type: statementType, Predicate: predicateType,
		Subject: []subject{{function, map[string]string{d.Algorithm().String(): d.Encoded()}}}}
	st.Content.Version = version
	payload, err := json.Marshal(st)
	if err != nil {
		return nil, err
	}
	s, err := dsse.NewEnvelopeSigner(signer{id, key})
	if err != nil {
		return nil, err
	}
	e, err := s.SignPayload(context.Background(), PayloadType, payload)
	if err != nil {
		return nil, err
	}
	return json.Marshal(e)
}

// NewKey makes a pair from 32 random bytes: the private key in PEM, and the ring's entry for it.
func NewKey(id string, seed []byte) (private []byte, k Key, err error) {
	if id == "" || len(seed) != ed25519.SeedSize {
		return nil, k, fmt.Errorf("a key wants a name and %d random bytes", ed25519.SeedSize)
	}
	key := ed25519.NewKeyFromSeed(seed)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, k, err
	}
	pub, err := x509.MarshalPKIXPublicKey(key.Public())
	if err != nil {
		return nil, k, err
	}
	k = Key{ID: id, Public: string(pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: pub}))}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), k, nil
}
