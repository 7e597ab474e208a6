package signing

import (
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"

	"github.com/opencontainers/go-digest"
	"github.com/secure-systems-lab/go-securesystemslib/dsse"
)

// Types of PEM blocks.
const (
	publicKeyBlock  = "PUBLIC KEY"  // PKIX
	privateKeyBlock = "PRIVATE KEY" // PKCS 8
)

// signer is a private key as the DSSE library takes it.
type signer struct {
	id  string
	key ed25519.PrivateKey
}

// Sign returns a signature.
func (s signer) Sign(_ context.Context, data []byte) ([]byte, error) {
	return ed25519.Sign(s.key, data), nil
}

// KeyID returns the key's id.
func (s signer) KeyID() (string, error) { return s.id, nil }

// Sign makes an envelope in which a key, in PEM (PKCS 8, Ed25519), vouches for a version.
func Sign(id string, private []byte, function, version string, d digest.Digest) ([]byte, error) {
	key, err := parsePrivateKey(private)
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

func parsePrivateKey(text []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != privateKeyBlock {
		return nil, errors.New("no PEM block " + privateKeyBlock)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, err
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%T is not an Ed25519 key", parsed)
	}
	return key, nil
}

// NewKey makes a key pair from ed25519.SeedSize random bytes: the private key in PEM, and the ring's entry for it.
func NewKey(id string, seed []byte) (private []byte, k Key, err error) {
	if id == "" || len(seed) != ed25519.SeedSize {
		return nil, k, fmt.Errorf("a key wants a name and %d random bytes", ed25519.SeedSize)
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
