package registry

import (
	"fmt"
	"slices"
	"strings"

	"github.com/opencontainers/go-digest"
)

// DefaultAlias is the alias that a reference without a tag or digest names.
const DefaultAlias = "current"

// Length limits in bytes of the names in a reference, in accordance with the OCI distribution specification.
const (
	maxTagLength          = 128
	maxFunctionNameLength = 200
)

// Reference is a parsed reference: function, function:alias, function:version or function@digest.
type Reference struct {
	Function string
	Tag      string        // alias or version name; DefaultAlias if the reference has none
	Digest   digest.Digest // takes precedence over Tag; empty if the reference has none
}

// ParseRef parses a reference in the form of the OCI distribution specification. Its errors are of type *ReferenceError.
func ParseRef(text string) (Reference, error) {
	name, digestText, hasDigest := strings.Cut(text, "@")
	ref := Reference{Tag: DefaultAlias}
	if hasDigest {
		parsed, err := digest.Parse(digestText)
		if err != nil {
			return ref, &ReferenceError{Text: text, Err: fmt.Errorf("digest: %w", err)}
		}
		ref.Digest = parsed
	}
	name, tag, hasTag := strings.Cut(name, ":")
	if hasTag {
		if !isTag(tag) {
			return ref, &ReferenceError{Text: text, Err: fmt.Errorf("%q is not a tag", tag)}
		}
		ref.Tag = tag
	}
	ref.Function = name
	if !isFunctionName(name) {
		return ref, &ReferenceError{Text: text, Err: fmt.Errorf("%q is not a function name", name)}
	}
	return ref, nil
}

// isTag reports whether s is valid as a tag, that is, as an alias or a version name.
func isTag(s string) bool {
	return s != "" && len(s) <= maxTagLength && !strings.ContainsFunc(s, func(c rune) bool { return !isTagCharacter(c) })
}

func isTagCharacter(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}

// isFunctionName reports whether s consists of tags separated by slashes.
func isFunctionName(s string) bool {
	return s != "" && len(s) <= maxFunctionNameLength &&
		!slices.ContainsFunc(strings.Split(s, "/"), func(part string) bool { return !isTag(part) })
}
