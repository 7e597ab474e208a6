package registry

import (
	"errors"
	"fmt"

	"github.com/opencontainers/go-digest"
)

// Entry is one change in the audit trail. Exactly one of Publish, AliasUpdate, Rollout and Withdraw is set. Entries are
// stored in their JSON form.
type Entry struct {
	At          float64      `json:"at"` // Unix seconds
	Actor       string       `json:"who"`
	Publish     *Version     `json:"publish,omitempty"`
	AliasUpdate *AliasUpdate `json:"move,omitempty"`
	Rollout     *Rollout     `json:"rollout,omitempty"`
	Withdraw    string       `json:"withdraw,omitempty"` // function@digest
	Reason      string       `json:"why,omitempty"`
}

// Version is one version of a function. Except for its withdrawal it is immutable.
type Version struct {
	Function    string        `json:"function"`
	Name        string        `json:"version"` // for example 1.4.0
	Digest      digest.Digest `json:"digest"`
	Concurrency int           `json:"lanes,omitempty"`
	MemoryMB    float64       `json:"memory_mb,omitempty"`
	LoadTime    float64       `json:"load_s,omitempty"`      // expected load time in seconds
	Classes     []string      `json:"event_types,omitempty"` // accepted request classes; empty means all
	Withdrawn   bool          `json:"withdrawn,omitempty"`   // the version must no longer run
	SignedBy    []string      `json:"signed_by,omitempty"`   // IDs of the keys whose signatures were verified at publication
}

// validate checks a version before it is published.
func (v *Version) validate() error {
	if !isFunctionName(v.Function) || !isTag(v.Name) {
		return errors.New("invalid function name or version name")
	}
	if err := v.Digest.Validate(); err != nil {
		return fmt.Errorf("digest %q: %w", v.Digest, err)
	}
	if v.Concurrency < 0 || v.MemoryMB < 0 || v.LoadTime < 0 || v.Withdrawn {
		return errors.New("lanes, memory_mb and load_s must not be negative, and a new version must not be withdrawn")
	}
	return nil
}

// AliasUpdate moves an alias to a version, or removes it. It ends the rollout of that alias, if any.
type AliasUpdate struct {
	Function string        `json:"function"`
	Alias    string        `json:"alias"`
	Digest   digest.Digest `json:"digest"` // empty removes the alias
}
