package signing

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/opencontainers/go-digest"
	"github.com/secure-systems-lab/go-securesystemslib/dsse"
)

// Media types of the payload and the envelope, and types of the statement and its predicate.
const (
	PayloadType   = "application/vnd.in-toto+json"
	EnvelopeType  = "application/vnd.dsse.envelope.v1+json"
	statementType = "https://in-toto.io/Statement/v1"
	predicateType = "https://streamcleat.org/release/v1"
)

// maxEnvelopeBytes is the maximum size of an envelope. Typical envelopes are smaller than 1 KiB.
const maxEnvelopeBytes = 64 << 10

// statement is the signed payload, an in-toto Statement v1.
type statement struct {
	Type          string    `json:"_type"`
	Subject       []subject `json:"subject"`
	PredicateType string    `json:"predicateType"`
	Predicate     struct {
		Version string `json:"version"`
	} `json:"predicate"`
}

// subject is the subject of a statement: a function and the digest of its manifest.
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

// matches reports whether the statement is about the given version of a function and its digest.
func (s *statement) matches(function, version string, d digest.Digest) bool {
	return s.Type == statementType && s.PredicateType == predicateType && s.Predicate.Version == version &&
		slices.ContainsFunc(s.Subject, func(subject subject) bool {
			return subject.Name == function && subject.Digest[d.Algorithm().String()] == d.Encoded()
		})
}

// decodeEnvelope decodes an envelope without verifying its signatures.
func decodeEnvelope(data []byte) (*dsse.Envelope, error) {
	if len(data) > maxEnvelopeBytes {
		return nil, fmt.Errorf("envelope of %d bytes exceeds the limit of %d", len(data), maxEnvelopeBytes)
	}
	var envelope dsse.Envelope
	if err := json.Unmarshal(data, &envelope); err != nil {
		return nil, err
	}
	if envelope.PayloadType != PayloadType {
		return nil, fmt.Errorf("unexpected payload type %q, want %s", envelope.PayloadType, PayloadType)
	}
	return &envelope, nil
}
