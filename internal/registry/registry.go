// Package registry knows the functions: their immutable versions by digest, the aliases that name one of them, and
// how a release goes from one to the next. It decides which digest an event is bound to. It has no I/O, no clock
// and no chance: changes come as entries of an audit trail, and the same trail always makes the same registry.
package registry

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/opencontainers/go-digest"
)

// Current is the alias that an event means which names none.
const Current = "current"

// Version is one immutable version of a function. Times are seconds, memory MB.
type Version struct {
	Function    string        `json:"function"`
	Name        string        `json:"version"` // as people call it: 1.4.0
	Digest      digest.Digest `json:"digest"`
	Concurrency int           `json:"lanes,omitempty"`
	MemoryMB    float64       `json:"memory_mb,omitempty"`
	LoadTime    float64       `json:"load_s,omitempty"`
	Classes     []string      `json:"event_types,omitempty"` // that it takes; empty: all
	Withdrawn   bool          `json:"withdrawn,omitempty"`   // must not run any more
	SignedBy    []string      `json:"signed_by,omitempty"`   // keys that vouched for it when it was published
}

// Ref is what events and people write: function, function:alias, function:version or function@digest.
type Ref struct {
	Function, Tag string
	Digest        digest.Digest
}

// ParseRef reads a reference in the form of the OCI distribution specification.
func ParseRef(text string) (Ref, error) {
	name, sum, pinned := strings.Cut(text, "@")
	r := Ref{Tag: Current}
	if pinned {
		d, err := digest.Parse(sum)
		if err != nil {
			return r, fmt.Errorf("reference %q: digest: %w", text, err)
		}
		r.Digest = d
	}
	name, tag, tagged := strings.Cut(name, ":")
	if tagged {
		if !word(tag) {
			return r, fmt.Errorf("reference %q: %q is not a tag", text, tag)
		}
		r.Tag = tag
	}
	if r.Function = name; !path(name) {
		return r, fmt.Errorf("reference %q: %q is not a function's name", text, name)
	}
	return r, nil
}

func word(s string) bool {
	return s != "" && len(s) <= 128 && !strings.ContainsFunc(s, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-')
	})
}

func path(s string) bool {
	return s != "" && len(s) <= 200 && !slices.ContainsFunc(strings.Split(s, "/"), func(p string) bool { return !word(p) })
}

// Rollout is a release under way: an alias names From for some events and To for the others.
type Rollout struct {
	Function        string        `json:"function"`
	Alias           string        `json:"alias"`
	From            digest.Digest `json:"from"`
	To              digest.Digest `json:"to"`
	Share           float64       `json:"share"`             // of events that get To
	Tenants         []string      `json:"tenants,omitempty"` // whose events get it whatever the share
	Steps           []float64     `json:"steps,omitempty"`   // shares that it goes through by itself
	StepDuration    float64       `json:"hold_s,omitempty"`  // seconds at each step before the next
	MinResponses    int           `json:"least,omitempty"`   // answers of To that a step needs
	MaxFailureShare float64       `json:"most_bad"`          // share of bad answers, beyond that of From, at which it goes back
	since           float64
	good            [2]int // answers of From and To since the step began
	bad             [2]int
}

// Entry is one change, as the audit trail has it. Exactly one of its parts is set.
type Entry struct {
	At       float64  `json:"at"` // Unix seconds
	Actor    string   `json:"who"`
	Publish  *Version `json:"publish,omitempty"`
	Move     *Move    `json:"move,omitempty"`
	Rollout  *Rollout `json:"rollout,omitempty"`
	Withdraw string   `json:"withdraw,omitempty"` // function@digest
	Reason   string   `json:"why,omitempty"`
}

// Move makes an alias name a version; it ends a rollout of that alias.
type Move struct {
	Function string        `json:"function"`
	Alias    string        `json:"alias"`
	Digest   digest.Digest `json:"digest"` // empty removes the alias
}

type function struct {
	versions []*Version // in the order they were published
	aliases  map[string]digest.Digest
	before   map[string]digest.Digest // what each alias named before its last move
	rollouts map[string]*Rollout
}

// Registry is the state that a trail of entries makes.
type Registry struct {
	fns        map[string]*function
	names      []string // in the order they were first published
	AuditTrail []Entry
}

// New makes an empty registry.
func New() *Registry { return &Registry{fns: map[string]*function{}} }

// ErrUnknown tells that a reference names nothing.
var ErrUnknown = errors.New("not in the registry")

// ErrWithdrawn tells that a version must not run any more.
var ErrWithdrawn = errors.New("withdrawn")

// Apply makes one change or tells why it is turned away; then nothing has changed.
func (r *Registry) Apply(e Entry) error {
	var err error
	switch {
	case e.Publish != nil:
		err = r.publish(*e.Publish)
	case e.Move != nil:
		err = r.move(*e.Move)
	case e.Rollout != nil:
		err = r.roll(*e.Rollout, e.At)
	case e.Withdraw != "":
		err = r.withdraw(e.Withdraw)
	default:
		err = errors.New("an entry that changes nothing")
	}
	if err == nil {
		r.AuditTrail = append(r.AuditTrail, e)
	}
	return err
}

func (r *Registry) publish(v Version) error {
	if !path(v.Function) || !word(v.Name) {
		return fmt.Errorf("publish %s:%s: not a function's name and a version's", v.Function, v.Name)
	}
	if err := v.Digest.Validate(); err != nil {
		return fmt.Errorf("publish %s:%s: digest %q: %w", v.Function, v.Name, v.Digest, err)
	}
	if v.Concurrency < 0 || v.MemoryMB < 0 || v.LoadTime < 0 || v.Withdrawn {
		return fmt.Errorf("publish %s:%s: lanes, memory and load must not be below 0, nor a new version withdrawn", v.Function, v.Name)
	}
	f := r.fns[v.Function]
	if f == nil {
		f = &function{aliases: map[string]digest.Digest{}, before: map[string]digest.Digest{}, rollouts: map[string]*Rollout{}}
	}
	for _, old := range f.versions {
		if old.Name == v.Name {
			return fmt.Errorf("publish %s:%s: versions don't change, and it is published with digest %s", v.Function, v.Name, old.Digest)
		}
		if old.Digest == v.Digest {
			return fmt.Errorf("publish %s:%s: its digest is version %s", v.Function, v.Name, old.Name)
		}
	}
	if _, alias := f.aliases[v.Name]; alias {
		return fmt.Errorf("publish %s:%s: an alias has that name", v.Function, v.Name)
	}
	if r.fns[v.Function] == nil {
		r.fns[v.Function] = f
		r.names = append(r.names, v.Function)
	}
	f.versions = append(f.versions, &v)
	return nil
}

func (f *function) version(d digest.Digest) *Version {
	for _, v := range f.versions {
		if v.Digest == d {
			return v
		}
	}
	return nil
}

func (r *Registry) target(name string, d digest.Digest) (*function, *Version, error) {
	f := r.fns[name]
	if f == nil {
		return nil, nil, fmt.Errorf("function %s: %w", name, ErrUnknown)
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

func (r *Registry) move(m Move) error {
	if !word(m.Alias) {
		return fmt.Errorf("alias %q is not a tag", m.Alias)
	}
	f := r.fns[m.Function]
	if f == nil {
		return fmt.Errorf("function %s: %w", m.Function, ErrUnknown)
	}
	if slices.ContainsFunc(f.versions, func(v *Version) bool { return v.Name == m.Alias }) {
		return fmt.Errorf("alias %s:%s: a version has that name", m.Function, m.Alias)
	}
	if m.Digest == "" {
		if _, ok := f.aliases[m.Alias]; !ok {
			return fmt.Errorf("alias %s:%s: %w", m.Function, m.Alias, ErrUnknown)
		}
		f.before[m.Alias] = f.aliases[m.Alias]
		delete(f.aliases, m.Alias)
	} else {
		if _, _, err := r.target(m.Function, m.Digest); err != nil {
			return err
		}
		if was := f.aliases[m.Alias]; was != "" && was != m.Digest {
			f.before[m.Alias] = was
		}
		f.aliases[m.Alias] = m.Digest
	}
	delete(f.rollouts, m.Alias)
	return nil
}

// Rollback is the move that takes an alias back to what it named before its last move or its rollout.
func (r *Registry) Rollback(name, alias string) (Move, error) {
	f := r.fns[name]
	if f == nil {
		return Move{}, fmt.Errorf("function %s: %w", name, ErrUnknown)
	}
	if ro := f.rollouts[alias]; ro != nil {
		return Move{name, alias, ro.From}, nil
	}
	was := f.before[alias]
	if was == "" {
		return Move{}, fmt.Errorf("alias %s:%s never named anything else", name, alias)
	}
	return Move{name, alias, was}, nil
}

func (r *Registry) roll(ro Rollout, now float64) error {
	f, _, err := r.target(ro.Function, ro.To)
	if err != nil {
		return err
	}
	from, ok := f.aliases[ro.Alias]
	if !ok {
		return fmt.Errorf("alias %s:%s: %w; a rollout goes from one version to another", ro.Function, ro.Alias, ErrUnknown)
	}
	if from == ro.To {
		return fmt.Errorf("alias %s:%s names that version already", ro.Function, ro.Alias)
	}
	last := 0.0
	for _, s := range append(slices.Clone(ro.Steps), 1) {
		if s < last || s > 1 {
			return fmt.Errorf("rollout %s:%s: steps must rise and stay within 1", ro.Function, ro.Alias)
		}
		last = s
	}
	if ro.Share < 0 || ro.Share > 1 || ro.StepDuration < 0 || ro.MinResponses < 0 || ro.MaxFailureShare < 0 || ro.MaxFailureShare > 1 {
		return fmt.Errorf("rollout %s:%s: shares lie between 0 and 1, and hold and least are not below 0", ro.Function, ro.Alias)
	}
	ro.From, ro.since = from, now
	if len(ro.Steps) > 0 && ro.Share == 0 {
		ro.Share = ro.Steps[0]
	}
	f.rollouts[ro.Alias] = &ro
	return nil
}

// withdraw takes a version out of use: nothing is bound to it any more, rollouts to it end, and aliases that name it
// go back to what they named before, where that may run.
func (r *Registry) withdraw(text string) error {
	ref, err := ParseRef(text)
	if err != nil || ref.Digest == "" {
		return errors.Join(err, fmt.Errorf("withdraw %q: function@digest is wanted", text))
	}
	f, v, err := r.target(ref.Function, ref.Digest)
	if err != nil {
		return err
	}
	v.Withdrawn = true
	for alias, ro := range f.rollouts {
		switch v.Digest {
		case ro.To:
			delete(f.rollouts, alias)
		case ro.From: // nothing to go back to
			f.aliases[alias] = ro.To
			delete(f.rollouts, alias)
		}
	}
	for alias, d := range f.aliases {
		if d != v.Digest {
			continue
		}
		if was := f.version(f.before[alias]); was != nil && !was.Withdrawn {
			f.aliases[alias] = was.Digest
		} else {
			delete(f.aliases, alias)
		}
	}
	return nil
}

// ResolvedVersion is what an event runs on, settled once when it is taken.
type ResolvedVersion struct {
	Version
	Alias  string // by which it was named; "" for a digest or a version
	Canary bool   // it is the newer side of a rollout
}

// ID is the function's id for the decisions: a version is a function of its own, so that a warm copy of the old one
// never stands for the new.
func (b ResolvedVersion) ID() string { return b.Function + "@" + string(b.Digest) }

// Resolve settles the version of an event; an empty event type is any. tenant and event choose the side of a rollout; the same event always gets
// the same side at the same share, and an event that got the new side keeps it as the share grows.
func (r *Registry) Resolve(text, eventType, tenant, event string) (ResolvedVersion, error) {
	ref, err := ParseRef(text)
	if err != nil {
		return ResolvedVersion{}, err
	}
	f := r.fns[ref.Function]
	if f == nil {
		return ResolvedVersion{}, fmt.Errorf("function %s: %w", ref.Function, ErrUnknown)
	}
	b := ResolvedVersion{}
	d := ref.Digest
	if d == "" {
		if at := slices.IndexFunc(f.versions, func(v *Version) bool { return v.Name == ref.Tag }); at >= 0 {
			d = f.versions[at].Digest
		} else if ro := f.rollouts[ref.Tag]; ro != nil {
			b.Alias, d = ref.Tag, ro.From
			if slices.Contains(ro.Tenants, tenant) || side(ref.Function, event) < ro.Share {
				b.Canary, d = true, ro.To
			}
		} else {
			b.Alias, d = ref.Tag, f.aliases[ref.Tag]
		}
	}
	if d == "" {
		return ResolvedVersion{}, fmt.Errorf("%s:%s: %w", ref.Function, ref.Tag, ErrUnknown)
	}
	_, v, err := r.target(ref.Function, d)
	if err != nil {
		return ResolvedVersion{}, err
	}
	if len(v.Classes) > 0 && eventType != "" && !slices.Contains(v.Classes, eventType) {
		return ResolvedVersion{}, fmt.Errorf("%s:%s takes %s, not %s", v.Function, v.Name, strings.Join(v.Classes, ", "), eventType)
	}
	b.Version = *v
	return b, nil
}

// IsAllowed tells whether a version that an event was bound to earlier may still run.
func (r *Registry) IsAllowed(name string, d digest.Digest) bool {
	_, _, err := r.target(name, d)
	return err == nil
}

func side(function, event string) float64 {
	h := fnv.New64a()
	h.Write([]byte(function))
	h.Write([]byte{0})
	h.Write([]byte(event))
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return float64(x>>11) / (1 << 53)
}

// RecordResult counts an answer of a version. Bad is one that the version is to blame for.
func (r *Registry) RecordResult(name string, d digest.Digest, bad bool) {
	f := r.fns[name]
	if f == nil {
		return
	}
	for _, ro := range f.rollouts {
		at := slices.Index([]digest.Digest{ro.From, ro.To}, d)
		if at < 0 {
			continue
		}
		if bad {
			ro.bad[at]++
		} else {
			ro.good[at]++
		}
	}
}

// AdvanceRollouts tells what rollouts ask for now, in the order of functions and aliases: go back where the new version is
// worse by more than it may, go a step on where it has held, and end at the whole. Its entries are for Apply; while
// there are none, nothing is due. Rules, in order, for each: too bad, and enough seen to say so; not long enough at
// this step; too little seen; the next step; the end.
func (r *Registry) AdvanceRollouts(now float64) []Entry {
	var due []Entry
	for _, name := range r.names {
		f := r.fns[name]
		aliases := make([]string, 0, len(f.rollouts))
		for alias := range f.rollouts {
			aliases = append(aliases, alias)
		}
		slices.Sort(aliases)
		for _, alias := range aliases {
			ro := f.rollouts[alias]
			seen := ro.good[1] + ro.bad[1]
			worse := rate(ro.bad[1], seen) - rate(ro.bad[0], ro.good[0]+ro.bad[0])
			e := Entry{At: now, Actor: "rollout"}
			switch {
			case seen > 0 && seen >= ro.MinResponses && worse > ro.MaxFailureShare:
				e.Move = &Move{name, alias, ro.From}
				e.Reason = fmt.Sprintf("%d of %d answers were bad, %.2f more than of the version before", ro.bad[1], seen, worse)
			case len(ro.Steps) == 0, now-ro.since < ro.StepDuration, seen < ro.MinResponses:
				continue
			default:
				next := 1.0
				for _, s := range ro.Steps {
					if s > ro.Share {
						next = s
						break
					}
				}
				if ro.Share >= 1 || next <= ro.Share {
					e.Move, e.Reason = &Move{name, alias, ro.To}, "it has held at every step"
				} else {
					step := *ro
					step.Share, step.good, step.bad = next, [2]int{}, [2]int{}
					e.Rollout, e.Reason = &step, fmt.Sprintf("it has held at %.2f", ro.Share)
				}
			}
			due = append(due, e)
		}
	}
	return due
}

func rate(bad, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(bad) / float64(all)
}

// View is one function as a console shows it.
type View struct {
	Function string                   `json:"function"`
	Versions []Version                `json:"versions"`
	Aliases  map[string]digest.Digest `json:"aliases"`
	Rollouts []Rollout                `json:"rollouts,omitempty"`
}

// List shows all functions, in the order they were first published.
func (r *Registry) List() []View {
	var list []View
	for _, name := range r.names {
		f := r.fns[name]
		v := View{Function: name, Aliases: map[string]digest.Digest{}}
		for _, x := range f.versions {
			v.Versions = append(v.Versions, *x)
		}
		for a, d := range f.aliases {
			v.Aliases[a] = d
		}
		for _, ro := range f.rollouts {
			v.Rollouts = append(v.Rollouts, *ro)
		}
		slices.SortFunc(v.Rollouts, func(a, b Rollout) int { return strings.Compare(a.Alias, b.Alias) })
		list = append(list, v)
	}
	return list
}

// Contains tells whether a function was ever published.
func (r *Registry) Contains(name string) bool { return r.fns[name] != nil }

// Find is the version that a reference names now, leaving rollouts aside.
func (r *Registry) Find(text string) (Version, error) {
	ref, err := ParseRef(text)
	if err != nil {
		return Version{}, err
	}
	f := r.fns[ref.Function]
	if f == nil {
		return Version{}, fmt.Errorf("function %s: %w", ref.Function, ErrUnknown)
	}
	d := ref.Digest
	if d == "" {
		d = f.aliases[ref.Tag]
		for _, v := range f.versions {
			if v.Name == ref.Tag {
				d = v.Digest
			}
		}
	}
	if v := f.version(d); v != nil {
		return *v, nil
	}
	return Version{}, fmt.Errorf("%s: %w", text, ErrUnknown)
}
