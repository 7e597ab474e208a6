package signing

import (
	"encoding/pem"
	"errors"
	"fmt"
)

// Types of PEM blocks.
const (
	publicKeyBlock  = "PUBLIC KEY"  // PKIX
	privateKeyBlock = "PRIVATE KEY" // PKCS 8
)

// parseKey decodes an Ed25519 key of type K from a PEM block. parse decodes the DER content of the block.
func parseKey[K any](text []byte, blockType string, parse func([]byte) (any, error)) (key K, err error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != blockType {
		return key, errors.New("no PEM block of type " + blockType)
	}
	parsed, err := parse(block.Bytes)
	if err != nil {
		return key, err
	}
	key, ok := parsed.(K)
	if !ok {
		return key, fmt.Errorf("%T is not an Ed25519 key", parsed)
	}
	return key, nil
}
