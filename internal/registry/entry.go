package registry

import (
	"errors"
	"fmt"

	"github.com/opencontainers/go-digest"
)

// Entry is one change, as the audit trail has it. Exactly one of its parts is present. Its JSON form is stored.
type Entry struct {
	At          float64      `json:"at"` // Unix seconds
	Actor       string       `json:"who"`
	Publish     *Version     `json:"publish,omitempty"`
	AliasUpdate *AliasUpdate `json:"move,omitempty"`
	Rollout     *Rollout     `json:"rollout,omitempty"`
	Withdraw    string       `json:"withdraw,omitempty"` // function@digest
	Reason      string       `json:"why,omitempty"`
}

// Version is one immutable version of a function.
type Version struct {
	Function    string        `json:"function"`
	Name        string        `json:"version"` // as people call it: 1.4.0
	Digest      digest.Digest `json:"digest"`
	Concurrency int           `json:"lanes,omitempty"`
	MemoryMB    float64       `json:"memory_mb,omitempty"`
	LoadTime    float64       `json:"load_s,omitempty"`      // usual seconds of a load
	Classes     []string      `json:"event_types,omitempty"` // request classes that it takes; empty: all
	Withdrawn   bool          `json:"withdrawn,omitempty"`   // must not run any more
	SignedBy    []string      `json:"signed_by,omitempty"`   // keys that vouched for it when it was published
}

// validate checks a version that is to be published.
func (v *Version) validate() error {
	if !isFunctionName(v.Function) || !isTag(v.Name) {
		return errors.New("not a function's name and a version's")
	}
	if err := v.Digest.Validate(); err != nil {
		return fmt.Errorf("digest %q: %w", v.Digest, err)
	}
	if v.Concurrency < 0 || v.MemoryMB < 0 || v.LoadTime < 0 || v.Withdrawn {
		return errors.New("lanes, memory and load must not be below 0, nor a new version withdrawn")
	}
	return nil
}

// AliasUpdate makes an alias name a version; it ends a rollout of that alias.
type AliasUpdate struct {
	Function string        `json:"function"`
	Alias    string        `json:"alias"`
	Digest   digest.Digest `json:"digest"` // empty removes the alias
}
