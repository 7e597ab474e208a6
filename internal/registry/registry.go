// Package registry knows the functions: their immutable versions by digest, the aliases that name one of them, and
// how a release goes from one to the next. It decides which version a request is bound to.
//
// A Registry owns that state. It has no I/O, no clock and no randomness: changes come as entries of an audit trail, and
// the same trail always makes the same registry. The appliance stores the trail, applies its entries and resolves
// requests; a RolloutPacer beside it limits how fast a release of many functions loads them.
package registry

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/opencontainers/go-digest"
)

// Registry is the state that a trail of entries makes.
type Registry struct {
	functions  map[string]*functionRecord
	names      []string // in the order they were first published
	AuditTrail []Entry
}

// New makes an empty registry.
func New() *Registry { return &Registry{functions: map[string]*functionRecord{}} }

// functionRecord has what was published of one function.
type functionRecord struct {
	versions []*Version // in the order they were published
	aliases  map[string]digest.Digest
	previous map[string]digest.Digest // what each alias named before its last move
	rollouts map[string]*Rollout      // by alias
}

func newFunctionRecord() *functionRecord {
	return &functionRecord{
		aliases:  map[string]digest.Digest{},
		previous: map[string]digest.Digest{},
		rollouts: map[string]*Rollout{},
	}
}

func (f *functionRecord) version(d digest.Digest) *Version {
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

// Apply makes one change and appends it to the audit trail, or returns why it is rejected; then nothing has changed.
func (r *Registry) Apply(e Entry) error {
	if err := r.change(e); err != nil {
		return err
	}
	r.AuditTrail = append(r.AuditTrail, e)
	return nil
}

func (r *Registry) change(e Entry) error {
	switch {
	case e.Publish != nil:
		return r.publish(*e.Publish)
	case e.AliasUpdate != nil:
		return r.move(*e.AliasUpdate)
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
		r.names = append(r.names, v.Function)
	}
	f.versions = append(f.versions, &v)
	return nil
}

// checkUnpublished returns an error where the name or the digest of a version is taken.
func (r *Registry) checkUnpublished(v *Version) error {
	f := r.functions[v.Function]
	if f == nil {
		return nil
	}
	for _, published := range f.versions {
		if published.Name == v.Name {
			return fmt.Errorf("versions don't change, and it is published with digest %s", published.Digest)
		}
		if published.Digest == v.Digest {
			return fmt.Errorf("its digest is version %s", published.Name)
		}
	}
	if _, isAlias := f.aliases[v.Name]; isAlias {
		return errors.New("an alias has that name")
	}
	return nil
}

// findUsable returns a version that may run. Where it may not or isn't there, the function is returned with the error,
// if it is known.
func (r *Registry) findUsable(name string, d digest.Digest) (*functionRecord, *Version, error) {
	f := r.functions[name]
	if f == nil {
		return nil, nil, unknownFunction(name)
	}
	v := f.version(d)
	if v == nil {
		return f, nil, fmt.Errorf("%s@%s: %w", name, d, ErrUnknown)
	}
	if v.Withdrawn {
		return f, v, fmt.Errorf("%s:%s: %w", name, v.Name, ErrWithdrawn)
	}
	return f, v, nil
}

func (r *Registry) move(m AliasUpdate) error {
	if !isTag(m.Alias) {
		return fmt.Errorf("alias %q is not a tag", m.Alias)
	}
	f := r.functions[m.Function]
	if f == nil {
		return unknownFunction(m.Function)
	}
	if f.versionByName(m.Alias) != nil {
		return &ChangeError{Change: changeAlias, Function: m.Function, Name: m.Alias, Err: errors.New("a version has that name")}
	}
	current, exists := f.aliases[m.Alias]
	if m.Digest == "" {
		if !exists {
			return &ChangeError{Change: changeAlias, Function: m.Function, Name: m.Alias, Err: ErrUnknown}
		}
		f.previous[m.Alias] = current
		delete(f.aliases, m.Alias)
	} else {
		if _, _, err := r.findUsable(m.Function, m.Digest); err != nil {
			return err
		}
		if exists && current != m.Digest {
			f.previous[m.Alias] = current
		}
		f.aliases[m.Alias] = m.Digest
	}
	delete(f.rollouts, m.Alias)
	return nil
}

// withdraw takes a version out of use: nothing is bound to it any more, rollouts to it end, and aliases that name it
// go back to what they named before, where that may run.
func (r *Registry) withdraw(text string) error {
	ref, err := ParseRef(text)
	if err != nil || ref.Digest == "" {
		return errors.Join(err, fmt.Errorf("withdraw %q: function@digest is wanted", text))
	}
	f, v, err := r.findUsable(ref.Function, ref.Digest)
	if err != nil {
		return err
	}
	v.Withdrawn = true
	for alias, rollout := range f.rollouts {
		switch v.Digest {
		case rollout.To:
			delete(f.rollouts, alias)
		case rollout.From: // nothing to roll back to
			f.aliases[alias] = rollout.To
			delete(f.rollouts, alias)
		}
	}
	for alias, named := range f.aliases {
		if named != v.Digest {
			continue
		}
		if previous := f.version(f.previous[alias]); previous != nil && !previous.Withdrawn {
			f.aliases[alias] = previous.Digest
		} else {
			delete(f.aliases, alias)
		}
	}
	return nil
}

// View is one function as a console shows it.
type View struct {
	Function string                   `json:"function"`
	Versions []Version                `json:"versions"`
	Aliases  map[string]digest.Digest `json:"aliases"`
	Rollouts []Rollout                `json:"rollouts,omitempty"`
}

// List returns all functions, in the order they were first published.
func (r *Registry) List() []View {
	var list []View
	for _, name := range r.names {
		list = append(list, r.functions[name].view(name))
	}
	return list
}

func (f *functionRecord) view(name string) View {
	view := View{Function: name, Aliases: map[string]digest.Digest{}}
	for _, v := range f.versions {
		view.Versions = append(view.Versions, *v)
	}
	maps.Copy(view.Aliases, f.aliases)
	for _, rollout := range f.rollouts {
		view.Rollouts = append(view.Rollouts, *rollout)
	}
	slices.SortFunc(view.Rollouts, func(a, b Rollout) int { return strings.Compare(a.Alias, b.Alias) })
	return view
}
