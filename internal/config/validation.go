package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"sort"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON Schema (draft 2020-12) of the configuration document.
//
//go:embed schema.json
var Schema []byte

const (
	schemaURL       = "urn:streamcleat:config"
	maxExcerptBytes = 60 // maximum length of a value quoted in an error message
)

// ValidationError describes an invalid value of a document.
type ValidationError struct {
	Pointer string // JSON pointer to the value (RFC 6901)
	Value   string // the value as JSON, truncated; empty for objects and arrays
	Want    string // what is allowed
}

// Error implements the error interface.
func (e ValidationError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s: %s", e.Pointer, e.Want)
	}
	return fmt.Sprintf("%s: %s: %s", e.Pointer, e.Value, e.Want)
}

// ValidationErrors lists all invalid values of a document.
type ValidationErrors []ValidationError

// Error implements the error interface. The text has one line for each value.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// validate checks a document against the schema. If values are invalid, the error is of type ValidationErrors.
func validate(document any) error {
	schema, err := compileSchema()
	if err != nil {
		return err
	}
	err = schema.Validate(document)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	return schemaErrors(invalid, document)
}

// compileSchema compiles the embedded schema.
func compileSchema() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		return nil, err
	}
	return compiler.Compile(schemaURL)
}

// schemaErrors converts a schema validation error: it returns one error for each leaf cause, sorted by pointer.
func schemaErrors(root *jsonschema.ValidationError, document any) ValidationErrors {
	var invalid ValidationErrors
	printer := message.NewPrinter(language.English)
	var collect func(e *jsonschema.ValidationError)
	collect = func(e *jsonschema.ValidationError) {
		for _, cause := range e.Causes {
			collect(cause)
		}
		if len(e.Causes) == 0 {
			invalid = append(invalid, ValidationError{
				jsonPointer(e.InstanceLocation), excerpt(document, e.InstanceLocation),
				e.ErrorKind.LocalizedString(printer),
			})
		}
	}
	collect(root)
	sort.SliceStable(invalid, func(i, j int) bool { return invalid[i].Pointer < invalid[j].Pointer })
	return invalid
}

// jsonPointer returns the JSON pointer (RFC 6901) of a location, or "/" for the whole document.
func jsonPointer(location []string) string {
	if len(location) == 0 {
		return "/"
	}
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var pointer strings.Builder
	for _, member := range location {
		pointer.WriteString("/" + escape.Replace(member))
	}
	return pointer.String()
}

// excerpt returns the value at a location as JSON, truncated to maxExcerptBytes, or an empty string for an object or array.
func excerpt(value any, location []string) string {
	for _, member := range location {
		switch container := value.(type) {
		case map[string]any:
			value = container[member]
		case []any:
			if i, err := strconv.Atoi(member); err == nil && i < len(container) {
				value = container[i]
			}
		}
	}
	switch value.(type) {
	case map[string]any, []any:
		return ""
	}
	text, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	if len(text) > maxExcerptBytes {
		text = append(text[:maxExcerptBytes-3], "..."...)
	}
	return string(text)
}

// check returns the errors for constraints that JSON Schema can't express, such as those between several values.
func (c *Config) check() ValidationErrors {
	var invalid ValidationErrors
	invalid = append(invalid, c.checkRequestClasses()...)
	invalid = append(invalid, c.checkFunctions()...)
	invalid = append(invalid, c.checkPeers()...)
	return append(invalid, c.checkTenants()...)
}

func (c *Config) checkRequestClasses() ValidationErrors {
	var invalid ValidationErrors
	indexByName := map[string]int{}
	for i, class := range c.RequestClasses {
		pointer := fmt.Sprintf("/event_types/%d", i)
		if first, duplicate := indexByName[class.Name]; duplicate {
			invalid = append(invalid, ValidationError{
				pointer + "/name", fmt.Sprintf("%q", class.Name),
				fmt.Sprintf("duplicate of /event_types/%d", first),
			})
		}
		indexByName[class.Name] = i
		if class.LatencyObjective > class.Timeout {
			invalid = append(invalid, ValidationError{
				pointer + "/target_time_s", fmt.Sprint(class.LatencyObjective),
				fmt.Sprintf("must not exceed max_age_s, %v", class.Timeout),
			})
		}
		if c.Limits.ResponseMargin >= class.Timeout {
			invalid = append(invalid, ValidationError{
				pointer + "/max_age_s", fmt.Sprint(class.Timeout),
				fmt.Sprintf("must exceed /limits/answer_margin_s, %v", c.Limits.ResponseMargin),
			})
		}
	}
	return invalid
}

func (c *Config) checkFunctions() ValidationErrors {
	var invalid ValidationErrors
	for i, function := range c.Functions {
		if _, err := path.Match(function.Pattern, ""); err != nil {
			invalid = append(invalid, ValidationError{fmt.Sprintf("/functions/%d/match", i), fmt.Sprintf("%q", function.Pattern), err.Error()})
		}
	}
	return invalid
}

func (c *Config) checkPeers() ValidationErrors {
	var invalid ValidationErrors
	if c.Peers == nil {
		return nil
	}
	if len(c.Peers.Listen) != len(c.Listen) {
		invalid = append(invalid, ValidationError{
			"/peers/listen", fmt.Sprintf("%d entries", len(c.Peers.Listen)),
			fmt.Sprintf("must have one entry for each of the %d of /listen", len(c.Listen)),
		})
	}
	if listed := len(c.Listen) + len(c.Peers.Others); c.Peers.FrontEnds < listed {
		invalid = append(invalid, ValidationError{
			"/peers/front_ends", strconv.Itoa(c.Peers.FrontEnds),
			fmt.Sprintf("must be at least the number of front ends listed here, %d", listed),
		})
	}
	return invalid
}

func (c *Config) checkTenants() ValidationErrors {
	var invalid ValidationErrors
	seen := map[string]bool{}
	for i, tenant := range c.Tenants {
		if seen[tenant.Name] {
			invalid = append(invalid, ValidationError{fmt.Sprintf("/tenants/%d/name", i), fmt.Sprintf("%q", tenant.Name), "duplicate name"})
		}
		seen[tenant.Name] = true
	}
	return invalid
}
