package simulation

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"streamcleat/internal/units"
)

// Fault is one fault of a script. At and Duration are seconds; appliances, workers and clients are numbered from 0.
type Fault struct {
	At        units.Seconds `json:"at"`
	Kind      FaultKind     `json:"kind"`
	Appliance int           `json:"box,omitempty"`
	Worker    int           `json:"worker,omitempty"`
	Client    int           `json:"client,omitempty"`
	Duration  units.Seconds `json:"for,omitempty"`
	Size      float64       `json:"size,omitempty"` // seconds, a factor or a fraction, depending on the kind
	Bytes     int           `json:"bytes,omitempty"`
}

// String describes the fault in errors about scripts.
func (f Fault) String() string {
	return fmt.Sprintf("{At:%v Kind:%s Box:%d Worker:%d Client:%d For:%v Size:%v Bytes:%d}", f.At, string(f.Kind), f.Appliance, f.Worker,
		f.Client, f.Duration, f.Size, f.Bytes)
}

// Script describes a site, its load and its faults. Times are in seconds.
type Script struct {
	Seed                  uint64        `json:"seed"`
	Profile               string        `json:"profile"`
	Seconds               float64       `json:"seconds"` // with load and faults, before the recovery period
	Appliances            int           `json:"boxes"`
	FrontEndsPerAppliance int           `json:"front_ends_per_box"`
	Workers               int           `json:"workers"`
	Cores                 int           `json:"cores"` // of each worker
	Functions             int           `json:"functions"`
	Clients               int           `json:"clients"`
	Rate                  float64       `json:"rate"`                    // requests per second
	Work                  float64       `json:"work"`                    // mean execution time of a request
	Timers                int           `json:"timers"`                  // number of schedules
	LoadOnRequest         bool          `json:"load_on_event,omitempty"` // requests for a function that is not loaded load it
	Stateless             bool          `json:"stateless,omitempty"`     // appliances have no durable state
	ColdStart             bool          `json:"cold,omitempty"`          // workers start cold
	LimitLoads            bool          `json:"ration,omitempty"`        // load commands of front ends are limited
	Versions              bool          `json:"versions,omitempty"`      // functions have versions, and aliases that releases move
	DeduplicationWindow   units.Seconds `json:"remember"`                // for keyed requests at workers
	Faults                []Fault       `json:"faults"`
}

// Upper limits of the sizes and times in a script that is read from a file.
const (
	maxSeconds             = 3600
	maxAppliances          = 200
	maxFrontEnds           = 8 // of an appliance
	maxWorkers             = 500
	maxClients             = 1000
	maxRate                = 10000
	maxTimers              = 1000
	maxDeduplicationWindow = 1000
)

// ReadScript decodes and validates a script.
func ReadScript(data []byte) (*Script, error) {
	s := &Script{}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return s, s.Check()
}

// Check returns an error if the script is invalid.
func (s *Script) Check() error {
	if !s.hasValidSizes() {
		return fmt.Errorf("script with seed %d: a size or time is out of range", s.Seed)
	}
	for i, f := range s.Faults {
		switch {
		case faultKindByName(f.Kind) == nil:
			return fmt.Errorf("faults[%d]: unknown kind %q", i, f.Kind)
		case !s.hasTargetOf(f):
			return fmt.Errorf("faults[%d]: %v has a time or number out of range", i, f)
		}
	}
	return nil
}

// hasValidSizes reports whether the sizes and times of the site are within their limits.
func (s *Script) hasValidSizes() bool {
	for _, valid := range []bool{
		s.Seconds > 0 && s.Seconds <= maxSeconds,
		s.Appliances >= 1 && s.Appliances <= maxAppliances,
		s.FrontEndsPerAppliance >= 1 && s.FrontEndsPerAppliance <= maxFrontEnds,
		s.Workers >= 1 && s.Workers <= maxWorkers,
		s.Cores >= 1,
		s.Functions >= 1,
		s.Clients >= 1 && s.Clients <= maxClients,
		s.Rate > 0 && s.Rate <= maxRate,
		s.Work > 0,
		s.Timers >= 0 && s.Timers <= maxTimers,
		s.DeduplicationWindow > 0 && s.DeduplicationWindow <= maxDeduplicationWindow,
	} {
		if !valid {
			return false
		}
	}
	return true
}

// hasTargetOf reports whether a fault is within the time of the script, and names a process that the site has.
func (s *Script) hasTargetOf(f Fault) bool {
	inTime := f.At >= 0 && f.At <= units.Seconds(s.Seconds+1) && f.Duration >= 0
	return inTime && isIndex(f.Appliance, s.Appliances) && isIndex(f.Worker, s.Workers) && isIndex(f.Client, s.Clients)
}

func isIndex(i, length int) bool { return i >= 0 && i < length }

// Generate draws the script of a seed. A seed uses only a random subset of the fault kinds of its profile, so that faults of
// these kinds coincide more often.
func Generate(profileName string, seed uint64) (*Script, error) {
	p, ok := profiles[profileName]
	if !ok {
		names, _ := Profiles()
		return nil, fmt.Errorf("unknown profile %q, want one of %v", profileName, names)
	}
	rng := newRand(seed, "script")
	s := &Script{Seed: seed, Profile: profileName}
	p.drawSite(s, rng)
	var enabledKinds []faultKind
	fraction := 0.15 + 0.5*rng.Float64()
	for _, k := range faultKinds {
		if slices.Contains(p.groups, k.group) && rng.Float64() < fraction {
			enabledKinds = append(enabledKinds, k)
		}
	}
	s.Faults = slices.Clone(p.always)
	if len(enabledKinds) > 0 {
		for range 1 + rng.IntN(p.maxFaults) {
			s.Faults = append(s.Faults, enabledKinds[rng.IntN(len(enabledKinds))].draw(s, rng))
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return s, nil
}

// draw draws a fault of the kind within the bounds. The fault ends at most 1 s after the script's time.
func (k faultKind) draw(s *Script, rng *rand.Rand) Fault {
	f := Fault{Kind: k.name, At: units.Seconds(drawBetween(rng, bounds{0.3, s.Seconds}))}
	f.Appliance, f.Worker, f.Client = rng.IntN(s.Appliances), rng.IntN(s.Workers), rng.IntN(s.Clients)
	f.Duration = min(units.Seconds(drawBetween(rng, k.duration)), units.Seconds(s.Seconds+1)-f.At)
	f.Size = drawBetween(rng, k.size)
	if k.maxBytes > 0 {
		f.Bytes = k.minBytes + rng.IntN(k.maxBytes-k.minBytes+1)
	}
	return f
}

// drawBetween draws a number within bounds, and truncates it to three decimals.
func drawBetween(rng *rand.Rand, b bounds) float64 {
	return float64(int((b.min+(b.max-b.min)*rng.Float64())*1000)) / 1000
}
