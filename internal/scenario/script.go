// Package scenario plays scripted bad days through the real front ends on loopback, against the project's stand-ins,
// and lets the referee judge what passed on the sockets.
package scenario

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io/fs"
	"sort"
	"strings"
)

// Script is one day. Times are seconds; shares are of 1.
type Script struct {
	Name      string             `json:"name"`
	About     string             `json:"about"`
	Seconds   float64            `json:"seconds"`
	Rate      float64            `json:"rate"` // events a second beside the timers
	FrontEnds int                `json:"front_ends"`
	Workers   int                `json:"workers"`
	Cores     int                `json:"cores"` // of each worker
	Functions int                `json:"functions"`
	Work      float64            `json:"work"` // mean seconds of an event
	Mix       map[string]float64 `json:"mix"`  // share of each event type
	Timers    int                `json:"timers"`
	Minute    float64            `json:"minute"` // seconds that a minute of the timers' clock takes
	Clients   int                `json:"clients"`
	Cold      bool               `json:"cold"` // all workers start with the day
	OnEvent   bool               `json:"load_on_event"`
	Ration    [3]float64         `json:"ration"` // load window, orders free, orders for each event
	Repeats   int                `json:"repeats"`
	Versions  bool               `json:"versions"` // functions have versions
	Ahead     float64            `json:"ahead"`    // seconds before a timer is due that its function is loaded; 0: never
	Troubles  []Trouble          `json:"troubles"`
}

// Trouble is one thing that goes wrong.
type Trouble struct {
	At    float64 `json:"at"`
	Kind  string  `json:"kind"`
	Part  float64 `json:"part"` // of the workers, functions, events or clients
	For   float64 `json:"for"`
	Times float64 `json:"times"`
	Every float64 `json:"every"` // pause between the turns of what comes again
	Bytes int     `json:"bytes"`
	Hit   float64 `json:"hit"` // share of the events that a fault meets; 0: all
}

// kinds of trouble: what Part counts, and whether For must be given.
var kinds = map[string]bool{"hang": true, "lose": true, "errors": true, "slow": true, "stall": true, "reset": true,
	"cut": true, "late-reports": true, "crash": true, "deploy": true, "replace": true, "preempt": true, "flush": true,
	"store-slow": true, "store-stop": true, "burst": true, "hot-key": true, "all-gone": true, "midnight": true,
	"hang-up": true, "retry-abuse": true, "release-at-once": true, "release-paced": true, "pauses": true, "neighbour": true}

//go:embed scripts/*.json
var files embed.FS

// Scripts are the names of the scripts that come with the program.
func Scripts() []string {
	entries, _ := fs.ReadDir(files, "scripts")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	sort.Strings(names)
	return names
}

// Builtin is a script that comes with the program.
func Builtin(name string) (*Script, error) {
	data, err := files.ReadFile("scripts/" + name + ".json")
	if err != nil {
		return nil, fmt.Errorf("script %q is none of %s", name, strings.Join(Scripts(), ", "))
	}
	return ParseScript(data, name)
}

// ParseScript reads a script; what it leaves out has the sizes of a small site.
func ParseScript(data []byte, from string) (*Script, error) {
	s := &Script{Seconds: 8, Rate: 100, FrontEnds: 2, Workers: 8, Cores: 2, Functions: 40, Work: 0.04, Timers: 30,
		Minute: 1, Clients: 2, Repeats: 1,
		Mix: map[string]float64{"shop-event": 0.6, "till-entry": 0.25, "price-reset": 0.15}}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("script %s: %w", from, err)
	}
	if s.Name == "" {
		s.Name = from
	}
	wrong := func(field string, v any, want string) error {
		return fmt.Errorf("script %s: %s: %v is not %s", from, field, v, want)
	}
	switch {
	case s.Seconds <= 0 || s.Seconds > 3600:
		return nil, wrong("seconds", s.Seconds, "above 0 and at most 3600")
	case s.Rate < 0 || s.Rate > 5000:
		return nil, wrong("rate", s.Rate, "between 0 and 5000")
	case s.FrontEnds < 1 || s.FrontEnds > 64:
		return nil, wrong("front_ends", s.FrontEnds, "between 1 and 64")
	case s.Workers < 1 || s.Workers > 200:
		return nil, wrong("workers", s.Workers, "between 1 and 200")
	case s.Functions < 1 || s.Functions > 10000:
		return nil, wrong("functions", s.Functions, "between 1 and 10000")
	case s.Timers < 0 || s.Timers > 2000:
		return nil, wrong("timers", s.Timers, "between 0 and 2000")
	case s.Minute <= 0 || s.Work <= 0 || s.Cores < 1 || s.Clients < 0 || s.Clients > 16 || s.Repeats < 0:
		return nil, fmt.Errorf("script %s: minute and work must be above 0, cores at least 1, clients 0 to 16", from)
	}
	for name := range s.Mix {
		if name != "shop-event" && name != "till-entry" && name != "price-reset" {
			return nil, wrong("mix", name, "one of shop-event, till-entry, price-reset")
		}
	}
	for i, t := range s.Troubles {
		field := fmt.Sprintf("troubles[%d]", i)
		if !kinds[t.Kind] {
			return nil, wrong(field+".kind", t.Kind, "a known kind of trouble")
		}
		if t.At < 0 || t.At > s.Seconds || t.For < 0 || t.Part < 0 || t.Part > 1 || t.Hit < 0 || t.Hit > 1 {
			return nil, fmt.Errorf("script %s: %s: at must lie within the day, part and hit between 0 and 1", from, field)
		}
	}
	return s, nil
}
