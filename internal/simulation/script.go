package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
)

// Figures of every world. Times are seconds.
const (
	targetTime = 0.8
	maxAge     = 2.0
	margin     = 0.2
	warmWithin = 4.0
	coldShare  = 0.29
	fallFactor = 2.5
	fallWindow = 1.5
	keepWarm   = 4.0
	calm       = 9.0 // without faults, after the last one
	lastTry    = 3.0 // of the calm: nobody begins anything after it
)

// Fault is one thing that goes wrong. Numbers of boxes, workers and clients count from 0.
type Fault struct {
	At     float64 `json:"at"`
	Kind   string  `json:"kind"`
	Box    int     `json:"box,omitempty"`
	Worker int     `json:"worker,omitempty"`
	Client int     `json:"client,omitempty"`
	For    float64 `json:"for,omitempty"`
	Size   float64 `json:"size,omitempty"` // seconds of a clock step, times slower, share: as the kind has it
	Bytes  int     `json:"bytes,omitempty"`
}

// Script is a whole world with what goes wrong in it.
type Script struct {
	Seed      uint64  `json:"seed"`
	Profile   string  `json:"profile"`
	Seconds   float64 `json:"seconds"` // until the calm begins
	Boxes     int     `json:"boxes"`
	PerBox    int     `json:"front_ends_per_box"`
	Workers   int     `json:"workers"`
	Cores     int     `json:"cores"`
	Functions int     `json:"functions"`
	Clients   int     `json:"clients"`
	Rate      float64 `json:"rate"` // events a second
	Work      float64 `json:"work"` // mean seconds of an event
	Timers    int     `json:"timers"`
	OnEvent   bool    `json:"load_on_event,omitempty"`
	Stateless bool    `json:"stateless,omitempty"`
	Cold      bool    `json:"cold,omitempty"`
	Ration    bool    `json:"ration,omitempty"`
	Versions  bool    `json:"versions,omitempty"` // functions have versions, and aliases that move
	Remember  float64 `json:"remember"`           // seconds for which workers drop repeats of keyed events
	Faults    []Fault `json:"faults"`
}

// kind is one kind of fault: who it strikes, and within which bounds a seed may draw it. Within them the program
// promises to keep every rule; what lies beyond is drawn by the profile "beyond" alone.
type kind struct {
	name   string
	group  string
	strike string     // what it needs: "box", "worker", "client", or two of them
	span   [2]float64 // seconds that it lasts
	size   [2]float64
	bytes  [2]int
}

var kinds = []kind{
	{name: "delay-worker", group: "network", strike: "box worker", span: [2]float64{0.5, 4}, size: [2]float64{0.005, 0.05}},
	{name: "delay-client", group: "network", strike: "box client", span: [2]float64{0.5, 4}, size: [2]float64{0.005, 0.03}},
	{name: "cut-worker", group: "network", strike: "box worker", span: [2]float64{0.2, 5}},
	{name: "cut-to-worker", group: "network", strike: "box worker", span: [2]float64{0.2, 5}},
	{name: "cut-from-worker", group: "network", strike: "box worker", span: [2]float64{0.2, 5}},
	{name: "cut-client", group: "network", strike: "box client", span: [2]float64{0.2, 4}},
	{name: "cut-peers", group: "network", strike: "box", span: [2]float64{0.5, 6}},
	{name: "half-picture", group: "network", strike: "box", span: [2]float64{0.5, 5}}, // of the workers each box sees every other one
	{name: "lossy", group: "network", strike: "", span: [2]float64{1, 8}, size: [2]float64{0.05, 0.5}},
	{name: "reset-worker", group: "network", strike: "box worker", bytes: [2]int{1, 400}},
	{name: "reset-client", group: "network", strike: "box client", bytes: [2]int{1, 400}},
	{name: "half-open-worker", group: "network", strike: "box worker"},
	{name: "half-open-client", group: "network", strike: "box client"},
	{name: "slow-client", group: "network", strike: "client", span: [2]float64{1, 6}, size: [2]float64{100, 4000}},
	{name: "small-buffer", group: "network", strike: "", span: [2]float64{1, 6}, bytes: [2]int{0, 400}},

	{name: "disk-slow", group: "disk", strike: "box", span: [2]float64{0.2, 3}, size: [2]float64{0.01, 0.6}},
	{name: "disk-full", group: "disk", strike: "box", span: [2]float64{0.5, 4}},
	{name: "torn", group: "disk", strike: "box", bytes: [2]int{0, 300}},

	{name: "kill", group: "process", strike: "box", size: [2]float64{0.05, 2}},
	{name: "power", group: "process", strike: "box", size: [2]float64{0.3, 3}},
	{name: "stop", group: "process", strike: "box", size: [2]float64{0.05, 2}},
	{name: "stall", group: "process", strike: "box", span: [2]float64{0.01, 0.4}},
	{name: "clock", group: "process", strike: "box", size: [2]float64{-130, 130}},

	{name: "crash", group: "worker", strike: "worker", size: [2]float64{0.05, 3}},
	{name: "worker-power", group: "worker", strike: "worker", size: [2]float64{0.3, 3}},
	{name: "restart", group: "worker", strike: "worker"}, // under the same address, at once
	{name: "stall-worker", group: "worker", strike: "worker", span: [2]float64{0.1, 3}},
	{name: "hang", group: "worker", strike: "worker", span: [2]float64{0.5, 4}},
	{name: "lose", group: "worker", strike: "worker", span: [2]float64{0.5, 4}}, // runs events and loses the answers, while it looks alive
	{name: "errors", group: "worker", strike: "worker", span: [2]float64{0.5, 4}},
	{name: "turn-away", group: "worker", strike: "worker", span: [2]float64{0.5, 4}},
	{name: "slow", group: "worker", strike: "worker", span: [2]float64{0.5, 4}},
	{name: "reset-answers", group: "worker", strike: "worker", span: [2]float64{0.2, 2}},
	{name: "cut-answers", group: "worker", strike: "worker", span: [2]float64{0.2, 2}},
	{name: "drain", group: "worker", strike: "worker", span: [2]float64{1, 5}},
	{name: "drain-then-crash", group: "worker", strike: "worker", span: [2]float64{1, 5}, size: [2]float64{0, 0.4}},
	{name: "crash-then-drain", group: "worker", strike: "worker", span: [2]float64{1, 5}, size: [2]float64{0, 0.4}},
	{name: "leave", group: "worker", strike: "worker"},
	{name: "join", group: "worker", strike: ""},
	{name: "list-late", group: "worker", strike: "box", span: [2]float64{1, 5}}, // the watcher misses changes; the list is read again every two seconds

	{name: "store-slow", group: "store", strike: "", span: [2]float64{0.5, 5}, size: [2]float64{2, 12}},
	{name: "store-stop", group: "store", strike: "", span: [2]float64{0.2, 3}},
	{name: "flush", group: "store", strike: ""},

	{name: "alias", group: "release", strike: "box", size: [2]float64{0, versionsOf}},      // one function's alias moves
	{name: "release", group: "release", strike: "box", size: [2]float64{0, versionsOf}},    // those of all do
	{name: "back-and-forth", group: "release", strike: "box", size: [2]float64{0.01, 0.9}}, // one moves and is taken back

	{name: "storm", group: "load", strike: "", span: [2]float64{0.5, 3}, size: [2]float64{2, 6}},
	{name: "hang-up", group: "load", strike: "", span: [2]float64{0.5, 4}, size: [2]float64{0.2, 0.9}},
	{name: "abuse", group: "load", strike: "", span: [2]float64{0.5, 3}},
	{name: "stampede", group: "load", strike: ""}, // all clients drop their connections and come back

	{name: "lying-disk", group: "beyond", strike: "box", span: [2]float64{1, 6}},
	{name: "forgetful", group: "beyond", strike: ""}, // workers forget which keyed events they ran
}

// Kinds are the names of all kinds of fault.
func Kinds() (names []string) {
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

// profile is a size of world and the groups of faults that its seeds draw from.
type profile struct {
	about  string
	groups []string
	shape  func(s *Script, rng *rand.Rand)
	most   int // faults of a seed
	always []Fault
}

func pick(rng *rand.Rand, of ...int) int { return of[rng.IntN(len(of))] }

func small(s *Script, rng *rand.Rand) {
	s.Seconds = 6 + 6*rng.Float64()
	s.Boxes, s.PerBox = pick(rng, 1, 2, 2, 3), pick(rng, 1, 1, 2)
	s.Workers, s.Cores = 2+rng.IntN(4), pick(rng, 1, 2, 2)
	s.Functions, s.Clients = 2+rng.IntN(8), 2+rng.IntN(3)
	s.Work = 0.02 + 0.06*rng.Float64()
	s.Rate = (0.15 + 0.5*rng.Float64()) * float64(s.Workers*s.Cores) / s.Work
	s.Rate = min(s.Rate, 50)
	s.Timers = pick(rng, 0, 2, 6)
	s.Remember = float64(pick(rng, 4, 8, 30))
	s.Versions = rng.IntN(3) == 0
	s.OnEvent, s.Ration, s.Cold = rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(6) == 0
}

var all = []string{"network", "disk", "process", "worker", "store", "release", "load"}

var profiles = map[string]profile{
	"day":      {about: "small sites, every kind of fault that is promised to be survived", groups: all, shape: small, most: 12},
	"network":  {about: "small sites, the network alone", groups: []string{"network"}, shape: small, most: 14},
	"disk":     {about: "small sites, disks and processes", groups: []string{"disk", "process"}, shape: small, most: 10},
	"workers":  {about: "small sites, workers and their store", groups: []string{"worker", "store"}, shape: small, most: 14},
	"overload": {about: "small sites, asked for more than they can do", groups: []string{"load", "store"}, most: 8, shape: func(s *Script, rng *rand.Rand) { small(s, rng); s.Rate *= 2.5 }},
	"rollout": {about: "workers restarted one after the other while clients stay", groups: []string{"load"}, shape: func(s *Script, rng *rand.Rand) {
		small(s, rng)
		s.Workers, s.Seconds = max(s.Workers, 4), 12
	}, most: 3, always: []Fault{{At: 1, Kind: "drain-then-crash", Worker: 0, For: 2}, {At: 3.5, Kind: "drain-then-crash", Worker: 1, For: 2},
		{At: 6, Kind: "drain-then-crash", Worker: 2, For: 2}, {At: 8.5, Kind: "drain-then-crash", Worker: 3, For: 2}}},
	"all-gone": {about: "the whole fleet starts anew at once", groups: []string{"load"}, shape: func(s *Script, rng *rand.Rand) {
		small(s, rng)
		s.Workers = 3
	}, most: 2, always: []Fault{{At: 2, Kind: "crash", Worker: 0, Size: 0.5}, {At: 2, Kind: "crash", Worker: 1, Size: 0.7}, {At: 2.1, Kind: "crash", Worker: 2, Size: 0.9}}},
	"release": {about: "a release of all functions while the store is slow", groups: []string{"store", "load", "release", "process"}, most: 8,
		shape:  func(s *Script, rng *rand.Rand) { small(s, rng); s.Versions = true },
		always: []Fault{{At: 2, Kind: "release", Size: 1}, {At: 2, Kind: "flush"}, {At: 2, Kind: "store-slow", For: 4, Size: 5}}},
	"grown": {about: "80 front ends and 70 workers", groups: all, most: 12, shape: func(s *Script, rng *rand.Rand) {
		s.Seconds, s.Boxes, s.PerBox, s.Workers, s.Cores, s.Functions, s.Clients = 6, 40, 2, 70, 2, 60, 30
		s.Work, s.Rate, s.Timers, s.Remember, s.OnEvent = 0.05, 400, 10, 30, rng.IntN(2) == 0
	}},
	"stateless": {about: "small sites without a state folder, whose clients repeat only what is harmless", groups: []string{"network", "worker", "store", "load"}, most: 12,
		shape: func(s *Script, rng *rand.Rand) { small(s, rng); s.Stateless = true }},
	"beyond": {about: "beside all that, disks that lie and workers that forget: what breaks is told", groups: append(slices.Clone(all), "beyond"), shape: small, most: 14},
}

// Profiles are the names of all profiles, with what they are about.
func Profiles() (names, abouts []string) {
	for name := range profiles {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		abouts = append(abouts, profiles[name].about)
	}
	return
}

// Generate draws the script of a seed. Each seed leaves some kinds of fault out altogether, so that those that are
// left meet each other more often.
func Generate(name string, seed uint64) (*Script, error) {
	p, ok := profiles[name]
	if !ok {
		names, _ := Profiles()
		return nil, fmt.Errorf("profile %q is none of %v", name, names)
	}
	rng := chance(seed, "script")
	s := &Script{Seed: seed, Profile: name}
	p.shape(s, rng)
	var in []kind
	part := 0.15 + 0.5*rng.Float64()
	for _, k := range kinds {
		if slices.Contains(p.groups, k.group) && rng.Float64() < part {
			in = append(in, k)
		}
	}
	s.Faults = slices.Clone(p.always)
	if len(in) > 0 {
		for range 1 + rng.IntN(p.most) {
			s.Faults = append(s.Faults, in[rng.IntN(len(in))].draw(s, rng))
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return s, nil
}

func between(rng *rand.Rand, span [2]float64) float64 {
	return float64(int((span[0]+(span[1]-span[0])*rng.Float64())*1000)) / 1000
}

func (k kind) draw(s *Script, rng *rand.Rand) Fault {
	f := Fault{Kind: k.name, At: between(rng, [2]float64{0.3, s.Seconds})}
	f.Box, f.Worker, f.Client = rng.IntN(s.Boxes), rng.IntN(s.Workers), rng.IntN(s.Clients)
	f.For = min(between(rng, k.span), s.Seconds+1-f.At)
	f.Size = between(rng, k.size)
	if k.bytes[1] > 0 {
		f.Bytes = k.bytes[0] + rng.IntN(k.bytes[1]-k.bytes[0]+1)
	}
	return f
}

// Check tells what is wrong with a script that was read from a file.
func (s *Script) Check() error {
	if s.Seconds <= 0 || s.Seconds > 3600 || s.Boxes < 1 || s.Boxes > 200 || s.PerBox < 1 || s.PerBox > 8 || s.Workers < 1 || s.Workers > 500 ||
		s.Cores < 1 || s.Functions < 1 || s.Clients < 1 || s.Clients > 1000 || s.Rate <= 0 || s.Rate > 10000 || s.Work <= 0 || s.Timers < 0 || s.Timers > 1000 || s.Remember <= 0 || s.Remember > 1000 {
		return fmt.Errorf("script of seed %d: its sizes and times make no world", s.Seed)
	}
	for i, f := range s.Faults {
		switch {
		case !slices.Contains(Kinds(), f.Kind):
			return fmt.Errorf("faults[%d]: kind %q is not known", i, f.Kind)
		case f.At < 0 || f.At > s.Seconds+1 || f.For < 0 || f.Box < 0 || f.Box >= s.Boxes || f.Worker < 0 || f.Worker >= s.Workers || f.Client < 0 || f.Client >= s.Clients:
			return fmt.Errorf("faults[%d]: %+v names what is not there", i, f)
		}
	}
	return nil
}
