package registry

import (
	"errors"
	"fmt"

	"github.com/opencontainers/go-digest"
)

// Registry is the state that results from applying the entries of an audit trail. It is not safe for concurrent use.
type Registry struct {
	functions     map[string]*functionRecord
	functionNames []string // in order of first publication
	AuditTrail    []Entry  // entries applied so far
}

// New returns an empty registry.
func New() *Registry { return &Registry{functions: map[string]*functionRecord{}} }

// functionRecord holds the versions, aliases and rollouts of one function.
type functionRecord struct {
	versions        []*Version // in order of publication
	aliases         map[string]digest.Digest
	previousDigests map[string]digest.Digest // by alias: the version that it named before its last update
	rollouts        map[string]*Rollout      // by alias
}

func newFunctionRecord() *functionRecord {
	return &functionRecord{
		aliases:         map[string]digest.Digest{},
		previousDigests: map[string]digest.Digest{},
		rollouts:        map[string]*Rollout{},
	}
}

func (f *functionRecord) versionByDigest(d digest.Digest) *Version {
	for _, v := range f.versions {
		if v.Digest == d {
			return v
		}
	}
	return nil
}

func (f *functionRecord) versionByName(name string) *Version {
	for _, v := range f.versions {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// Apply applies an entry and appends it to the audit trail. If it returns an error, the registry is unchanged.
func (r *Registry) Apply(e Entry) error {
	if err := r.applyChange(e); err != nil {
		return err
	}
	r.AuditTrail = append(r.AuditTrail, e)
	return nil
}

func (r *Registry) applyChange(e Entry) error {
	switch {
	case e.Publish != nil:
		return r.publish(*e.Publish)
	case e.AliasUpdate != nil:
		return r.updateAlias(*e.AliasUpdate)
	case e.Rollout != nil:
		return r.startRollout(*e.Rollout, e.At)
	case e.Withdraw != "":
		return r.withdraw(e.Withdraw)
	default:
		return ErrEmptyEntry
	}
}

func (r *Registry) publish(v Version) error {
	err := v.validate()
	if err == nil {
		err = r.checkUnpublished(&v)
	}
	if err != nil {
		return &ChangeError{Change: changePublish, Function: v.Function, Name: v.Name, Err: err}
	}
	f := r.functions[v.Function]
	if f == nil {
		f = newFunctionRecord()
		r.functions[v.Function] = f
		r.functionNames = append(r.functionNames, v.Function)
	}
	f.versions = append(f.versions, &v)
	return nil
}

// checkUnpublished returns an error if the name or the digest of v is already in use for its function.
func (r *Registry) checkUnpublished(v *Version) error {
	f := r.functions[v.Function]
	if f == nil {
		return nil
	}
	for _, published := range f.versions {
		if published.Name == v.Name {
			return fmt.Errorf("already published with digest %s, and versions are immutable", published.Digest)
		}
		if published.Digest == v.Digest {
			return fmt.Errorf("digest already published as version %s", published.Name)
		}
	}
	if _, isAlias := f.aliases[v.Name]; isAlias {
		return errors.New("name in use by an alias")
	}
	return nil
}

// findUsable returns a version that is published and not withdrawn, and the record of its function. On error it returns as
// much of both as is known.
func (r *Registry) findUsable(function string, d digest.Digest) (*functionRecord, *Version, error) {
	f := r.functions[function]
	if f == nil {
		return nil, nil, unknownFunctionError(function)
	}
	v := f.versionByDigest(d)
	if v == nil {
		return f, nil, fmt.Errorf("%s@%s: %w", function, d, ErrUnknown)
	}
	if v.Withdrawn {
		return f, v, fmt.Errorf("%s:%s: %w", function, v.Name, ErrWithdrawn)
	}
	return f, v, nil
}

// updateAlias moves, creates or removes an alias and ends its rollout.
func (r *Registry) updateAlias(update AliasUpdate) error {
	if !isTag(update.Alias) {
		return fmt.Errorf("alias %q is not a tag", update.Alias)
	}
	f := r.functions[update.Function]
	if f == nil {
		return unknownFunctionError(update.Function)
	}
	if f.versionByName(update.Alias) != nil {
		return &ChangeError{Change: changeAlias, Function: update.Function, Name: update.Alias, Err: errors.New("name in use by a version")}
	}
	current, exists := f.aliases[update.Alias]
	if update.Digest == "" {
		if !exists {
			return &ChangeError{Change: changeAlias, Function: update.Function, Name: update.Alias, Err: ErrUnknown}
		}
		f.previousDigests[update.Alias] = current
		delete(f.aliases, update.Alias)
	} else {
		if _, _, err := r.findUsable(update.Function, update.Digest); err != nil {
			return err
		}
		if exists && current != update.Digest {
			f.previousDigests[update.Alias] = current
		}
		f.aliases[update.Alias] = update.Digest
	}
	delete(f.rollouts, update.Alias)
	return nil
}

// withdraw withdraws a version. Rollouts from or to it end, and aliases that name it move back to their previous version.
func (r *Registry) withdraw(reference string) error {
	ref, err := ParseRef(reference)
	if err != nil || ref.Digest == "" {
		return errors.Join(err, fmt.Errorf("withdraw %q: want function@digest", reference))
	}
	f, v, err := r.findUsable(ref.Function, ref.Digest)
	if err != nil {
		return err
	}
	v.Withdrawn = true
	f.endRollouts(v.Digest)
	f.revertAliases(v.Digest)
	return nil
}

// endRollouts ends the rollouts from or to a withdrawn version. The alias of a rollout from it moves to the new version,
// because the old one can no longer be used.
func (f *functionRecord) endRollouts(withdrawn digest.Digest) {
	for alias, rollout := range f.rollouts {
		switch withdrawn {
		case rollout.To:
			delete(f.rollouts, alias)
		case rollout.From:
			f.aliases[alias] = rollout.To
			delete(f.rollouts, alias)
		}
	}
}

// revertAliases moves the aliases that name a withdrawn version back to their previous version. It removes aliases whose
// previous version is missing or withdrawn as well.
func (f *functionRecord) revertAliases(withdrawn digest.Digest) {
	for alias, current := range f.aliases {
		if current != withdrawn {
			continue
		}
		if previous := f.versionByDigest(f.previousDigests[alias]); previous != nil && !previous.Withdrawn {
			f.aliases[alias] = previous.Digest
		} else {
			delete(f.aliases, alias)
		}
	}
}
