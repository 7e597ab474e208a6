package registry

import (
	"maps"
	"slices"
	"strings"

	"github.com/opencontainers/go-digest"
)

// View is the state of one function as shown by the console. Its JSON form is part of the admin API.
type View struct {
	Function string                   `json:"function"`
	Versions []Version                `json:"versions"`
	Aliases  map[string]digest.Digest `json:"aliases"`
	Rollouts []Rollout                `json:"rollouts,omitempty"`
}

// List returns the state of all functions in order of first publication.
func (r *Registry) List() []View {
	var list []View
	for _, function := range r.functionNames {
		list = append(list, r.functions[function].view(function))
	}
	return list
}

func (f *functionRecord) view(function string) View {
	view := View{Function: function, Aliases: map[string]digest.Digest{}}
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
