package signing

import (
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"

	"github.com/opencontainers/go-digest"
	"github.com/secure-systems-lab/go-securesystemslib/dsse"
)

// signer implements dsse.Signer with an Ed25519 private key.
type signer struct {
	id  string
	key ed25519.PrivateKey
}

// Sign returns the signature of data.
func (s signer) Sign(_ context.Context, data []byte) ([]byte, error) {
	return ed25519.Sign(s.key, data), nil
}

// KeyID returns the ID of the key.
func (s signer) KeyID() (string, error) { return s.id, nil }

// Sign returns a DSSE envelope with a statement about a version, signed with an Ed25519 private key in PEM (PKCS 8).
func Sign(id string, private []byte, function, version string, d digest.Digest) ([]byte, error) {
	key, err := parseKey[ed25519.PrivateKey](private, privateKeyBlock, x509.ParsePKCS8PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("key %s: %w", id, err)
	}
	if err := d.Validate(); err != nil {
		return nil, fmt.Errorf("digest %q: %w", d, err)
	}
	payload, err := json.Marshal(newStatement(function, version, d))
	if err != nil {
		return nil, err
	}
	envelopeSigner, err := dsse.NewEnvelopeSigner(signer{id: id, key: key})
	if err != nil {
		return nil, err
	}
	envelope, err := envelopeSigner.SignPayload(context.Background(), PayloadType, payload)
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope)
}

// NewKey derives a key pair from a random seed of ed25519.SeedSize bytes. It returns the private key in PEM, and the public
// key as an entry for a Ring.
func NewKey(id string, seed []byte) (private []byte, k Key, err error) {
	if id == "" || len(seed) != ed25519.SeedSize {
		return nil, k, fmt.Errorf("a key requires an ID and a seed of %d bytes", ed25519.SeedSize)
	}
	key := ed25519.NewKeyFromSeed(seed)
	privateDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, k, err
	}
	publicDER, err := x509.MarshalPKIXPublicKey(key.Public())
	if err != nil {
		return nil, k, err
	}
	k = Key{ID: id, PublicKey: string(pem.EncodeToMemory(&pem.Block{Type: publicKeyBlock, Bytes: publicDER}))}
	return pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: privateDER}), k, nil
}
