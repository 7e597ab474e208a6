package signing

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/opencontainers/go-digest"
	"github.com/secure-systems-lab/go-securesystemslib/dsse"
)

// Types of the envelope's payload and of the artifact that carries it in a registry.
const (
	PayloadType   = "application/vnd.in-toto+json"
	EnvelopeType  = "application/vnd.dsse.envelope.v1+json"
	statementType = "https://in-toto.io/Statement/v1"
	predicateType = "https://streamcleat.org/release/v1"
)

// maxEnvelopeBytes bounds what is decoded for a signature: a real one has less than a kilobyte.
const maxEnvelopeBytes = 64 << 10

// statement is what is signed.
type statement struct {
	Type          string    `json:"_type"`
	Subject       []subject `json:"subject"`
	PredicateType string    `json:"predicateType"`
	Predicate     struct {
		Version string `json:"version"`
	} `json:"predicate"`
}

type subject struct {
	Name   string            `json:"name"`
	Digest map[string]string `json:"digest"` // by algorithm
}

func newStatement(function, version string, d digest.Digest) statement {
	s := statement{
		Type:          statementType,
		PredicateType: predicateType,
		Subject:       []subject{{Name: function, Digest: map[string]string{d.Algorithm().String(): d.Encoded()}}},
	}
	s.Predicate.Version = version
	return s
}

// matches reports whether a statement says that a version of a function has a digest.
func (s *statement) matches(function, version string, d digest.Digest) bool {
	return s.Type == statementType && s.PredicateType == predicateType && s.Predicate.Version == version &&
		slices.ContainsFunc(s.Subject, func(subject subject) bool {
			return subject.Name == function && subject.Digest[d.Algorithm().String()] == d.Encoded()
		})
}

// decodeEnvelope reads an envelope without looking at its signatures.
func decodeEnvelope(data []byte) (*dsse.Envelope, error) {
	if len(data) > maxEnvelopeBytes {
		return nil, fmt.Errorf("%d bytes are too many", len(data))
	}
	var envelope dsse.Envelope
	if err := json.Unmarshal(data, &envelope); err != nil {
		return nil, err
	}
	if envelope.PayloadType != PayloadType {
		return nil, fmt.Errorf("its payload is %q, not %s", envelope.PayloadType, PayloadType)
	}
	return &envelope, nil
}
