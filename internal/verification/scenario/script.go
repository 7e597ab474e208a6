package scenario

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"streamcleat/internal/verification/fakes"
)

// Script describes one scenario. Times are in seconds; fractions are between 0 and 1.
type Script struct {
	Name           string             `json:"name"`
	Description    string             `json:"about"`
	Seconds        float64            `json:"seconds"`
	Rate           float64            `json:"rate"` // requests per second, not counting firings of schedules
	FrontEnds      int                `json:"front_ends"`
	Workers        int                `json:"workers"`
	Cores          int                `json:"cores"` // of each worker
	Functions      int                `json:"functions"`
	WorkPerRequest float64            `json:"work"` // mean work of a request, in seconds on a core of speed 1
	ClassMix       map[string]float64 `json:"mix"`  // fraction of each request class
	Schedules      int                `json:"timers"`
	MinuteDuration float64            `json:"minute"` // duration of a minute on the schedules' clock
	Clients        int                `json:"clients"`
	ColdStart      bool               `json:"cold"`          // all workers are cold when the scenario starts
	LoadOnRequest  bool               `json:"load_on_event"` // workers load a function when a request for it arrives
	LoadLimit      [3]float64         `json:"ration"`        // window, load commands without a request, load commands for each request
	Retries        int                `json:"repeats"`
	Versions       bool               `json:"versions"` // functions have versions
	PreloadAhead   float64            `json:"ahead"`    // how long before a schedule is due its function is preloaded; 0: never
	Faults         []Fault            `json:"troubles"`
}

// Fault describes one fault of a script.
type Fault struct {
	At          float64   `json:"at"`
	Kind        FaultKind `json:"kind"`
	Fraction    float64   `json:"part"` // of the workers, functions or requests, depending on the kind
	Duration    float64   `json:"for"`
	Magnitude   float64   `json:"times"` // factor or count, depending on the kind
	Every       float64   `json:"every"` // interval of a repeated fault
	Bytes       int       `json:"bytes"` // bytes of a truncated response that are sent
	HitFraction float64   `json:"hit"`   // fraction of the requests that the fault affects; 0: all
}

// Maximum values of the fields of a script.
const (
	maxSeconds   = 3600
	maxRate      = 5000
	maxFrontEnds = 64
	maxWorkers   = 200
	maxFunctions = 10000
	maxTimers    = 2000
	maxClients   = 16
)

const (
	scriptDirectory = "scripts"
	scriptSuffix    = ".json"
)

//go:embed scripts/*.json
var scriptFiles embed.FS

// Scripts returns the names of the built-in scripts.
func Scripts() []string {
	entries, err := fs.ReadDir(scriptFiles, scriptDirectory)
	if err != nil {
		panic(err) // the scripts are embedded
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), scriptSuffix))
	}
	slices.Sort(names)
	return names
}

// Builtin returns a built-in script.
func Builtin(name string) (*Script, error) {
	data, err := scriptFiles.ReadFile(scriptDirectory + "/" + name + scriptSuffix)
	if err != nil {
		return nil, fmt.Errorf("unknown script %q, want one of %s", name, strings.Join(Scripts(), ", "))
	}
	return ParseScript(data, name)
}

// defaultScript returns the default values of a script, which describe a small site.
func defaultScript() *Script {
	return &Script{
		Seconds: 8, Rate: 100, FrontEnds: 2, Workers: 8, Cores: 2, Functions: 40, WorkPerRequest: 0.04, Schedules: 30,
		MinuteDuration: 1, Clients: 2, Retries: 1,
		ClassMix: map[string]float64{fakes.ClassIdempotent: 0.6, fakes.ClassIdempotentByKey: 0.25, fakes.ClassAtMostOnce: 0.15},
	}
}

// ParseScript decodes and validates a script. Missing fields have the values of defaultScript. from is the name of the script
// in error messages, and its default name.
func ParseScript(data []byte, from string) (*Script, error) {
	s := defaultScript()
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("script %s: %w", from, err)
	}
	if s.Name == "" {
		s.Name = from
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("script %s: %w", from, err)
	}
	return s, nil
}

// errSizes is the error for an invalid value of any of the fields that it names.
var errSizes = errors.New("minute and work must be above 0, cores at least 1, clients 0 to 16")

// FieldError reports an invalid value of a field of a script.
type FieldError struct {
	Field string
	Value any
	Want  string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %v is not %s", e.Field, e.Value, e.Want) }

func (s *Script) check() error {
	switch {
	case s.Seconds <= 0 || s.Seconds > maxSeconds:
		return &FieldError{"seconds", s.Seconds, "above 0 and at most 3600"}
	case s.Rate < 0 || s.Rate > maxRate:
		return &FieldError{"rate", s.Rate, "between 0 and 5000"}
	case s.FrontEnds < 1 || s.FrontEnds > maxFrontEnds:
		return &FieldError{"front_ends", s.FrontEnds, "between 1 and 64"}
	case s.Workers < 1 || s.Workers > maxWorkers:
		return &FieldError{"workers", s.Workers, "between 1 and 200"}
	case s.Functions < 1 || s.Functions > maxFunctions:
		return &FieldError{"functions", s.Functions, "between 1 and 10000"}
	case s.Schedules < 0 || s.Schedules > maxTimers:
		return &FieldError{"timers", s.Schedules, "between 0 and 2000"}
	case s.MinuteDuration <= 0 || s.WorkPerRequest <= 0 || s.Cores < 1 || s.Clients < 0 || s.Clients > maxClients || s.Retries < 0:
		return errSizes
	}
	for class := range s.ClassMix {
		if !slices.Contains(fakes.RequestClasses(), class) {
			return &FieldError{"mix", class, "one of shop-event, till-entry, price-reset"}
		}
	}
	for i, f := range s.Faults {
		if err := f.check(fmt.Sprintf("troubles[%d]", i), s.Seconds); err != nil {
			return err
		}
	}
	return nil
}

func (f Fault) check(field string, seconds float64) error {
	if injections[f.Kind] == nil {
		return &FieldError{field + ".kind", f.Kind, "a known kind of fault"}
	}
	if f.At < 0 || f.At > seconds || f.Duration < 0 || !isFraction(f.Fraction) || !isFraction(f.HitFraction) {
		return fmt.Errorf("%s: at must be within the scenario, part and hit between 0 and 1", field)
	}
	return nil
}

func isFraction(v float64) bool { return v >= 0 && v <= 1 }
