package simulation

import (
	"maps"
	"math/rand/v2"
	"slices"

	"streamcleat/internal/units"
)

// profile determines the size of the site, and the groups of faults that its seeds draw from.
type profile struct {
	about     string
	groups    []faultGroup
	shape     func(s *Script, rng *rand.Rand)
	maxFaults int     // maximum number that a seed draws
	always    []Fault // additional faults of every seed
}

// survivable are the groups of faults under which the program must keep every rule.
var survivable = []faultGroup{groupNetwork, groupDisk, groupProcess, groupWorker, groupStore, groupRelease, groupLoad}

var profiles = map[string]profile{
	"day": {
		about:  "small sites, every kind of fault that the rules cover",
		groups: survivable, shape: shapeSmall, maxFaults: 12,
	},
	"network": {
		about:  "small sites, network faults only",
		groups: []faultGroup{groupNetwork}, shape: shapeSmall, maxFaults: 14,
	},
	"disk": {
		about:  "small sites, faults of disks and processes",
		groups: []faultGroup{groupDisk, groupProcess}, shape: shapeSmall, maxFaults: 10,
	},
	"workers": {
		about:  "small sites, faults of workers and their store",
		groups: []faultGroup{groupWorker, groupStore}, shape: shapeSmall, maxFaults: 14,
	},
	"overload": {
		about:  "small sites, more requests than they can serve",
		groups: []faultGroup{groupLoad, groupStore}, shape: shapeOverload, maxFaults: 8,
	},
	"rollout": {
		about:  "workers restarted one after the other under load",
		groups: []faultGroup{groupLoad}, shape: shapeRollout, maxFaults: 3,
		always: []Fault{
			{At: 1, Kind: FaultDrainThenCrash, Worker: 0, Duration: 2},
			{At: 3.5, Kind: FaultDrainThenCrash, Worker: 1, Duration: 2},
			{At: 6, Kind: FaultDrainThenCrash, Worker: 2, Duration: 2},
			{At: 8.5, Kind: FaultDrainThenCrash, Worker: 3, Duration: 2},
		},
	},
	"all-gone": {
		about:  "all workers restart at once",
		groups: []faultGroup{groupLoad}, shape: shapeThreeWorkers, maxFaults: 2,
		always: []Fault{
			{At: 2, Kind: FaultCrashWorker, Worker: 0, Size: 0.5},
			{At: 2, Kind: FaultCrashWorker, Worker: 1, Size: 0.7},
			{At: 2.1, Kind: FaultCrashWorker, Worker: 2, Size: 0.9},
		},
	},
	"release": {
		about:  "a release of all functions while the store is slow",
		groups: []faultGroup{groupStore, groupLoad, groupRelease, groupProcess}, shape: shapeVersions, maxFaults: 8,
		always: []Fault{
			{At: 2, Kind: FaultReleaseAll, Size: 1},
			{At: 2, Kind: FaultEvictAll},
			{At: 2, Kind: FaultStoreSlow, Duration: 4, Size: 5},
		},
	},
	"grown": {
		about:  "80 front ends and 70 workers",
		groups: survivable, shape: shapeGrown, maxFaults: 12,
	},
	"stateless": {
		about:  "small sites without durable state",
		groups: []faultGroup{groupNetwork, groupWorker, groupStore, groupLoad}, shape: shapeStateless, maxFaults: 12,
	},
	"beyond": {
		about:  "also faults that the rules do not cover: ignored syncs, lost worker state",
		groups: append(slices.Clone(survivable), groupBeyond), shape: shapeSmall, maxFaults: 14,
	},
}

// Profiles returns the names and descriptions of all profiles.
func Profiles() (names, descriptions []string) {
	names = slices.Sorted(maps.Keys(profiles))
	for _, name := range names {
		descriptions = append(descriptions, profiles[name].about)
	}
	return names, descriptions
}

func choose(rng *rand.Rand, choices ...int) int { return choices[rng.IntN(len(choices))] }

func shapeSmall(s *Script, rng *rand.Rand) {
	s.Seconds = 6 + 6*rng.Float64()
	s.Appliances = choose(rng, 1, 2, 2, 3)
	s.FrontEndsPerAppliance = choose(rng, 1, 1, 2)
	s.Workers = 2 + rng.IntN(4)
	s.Cores = choose(rng, 1, 2, 2)
	s.Functions = 2 + rng.IntN(8)
	s.Clients = 2 + rng.IntN(3)
	s.Work = 0.02 + 0.06*rng.Float64()
	s.Rate = (0.15 + 0.5*rng.Float64()) * float64(s.Workers*s.Cores) / s.Work
	s.Rate = min(s.Rate, 50)
	s.Timers = choose(rng, 0, 2, 6)
	s.DeduplicationWindow = units.Seconds(choose(rng, 4, 8, 30))
	s.Versions = rng.IntN(3) == 0
	s.LoadOnRequest = rng.IntN(2) == 0
	s.LimitLoads = rng.IntN(3) == 0
	s.ColdStart = rng.IntN(6) == 0
}

func shapeOverload(s *Script, rng *rand.Rand) {
	shapeSmall(s, rng)
	s.Rate *= 2.5
}

func shapeRollout(s *Script, rng *rand.Rand) {
	shapeSmall(s, rng)
	s.Workers, s.Seconds = max(s.Workers, 4), 12
}

func shapeThreeWorkers(s *Script, rng *rand.Rand) {
	shapeSmall(s, rng)
	s.Workers = 3
}

func shapeVersions(s *Script, rng *rand.Rand) {
	shapeSmall(s, rng)
	s.Versions = true
}

func shapeStateless(s *Script, rng *rand.Rand) {
	shapeSmall(s, rng)
	s.Stateless = true
}

func shapeGrown(s *Script, rng *rand.Rand) {
	s.Seconds = 6
	s.Appliances, s.FrontEndsPerAppliance = 40, 2
	s.Workers, s.Cores = 70, 2
	s.Functions, s.Clients = 60, 30
	s.Work, s.Rate, s.Timers, s.DeduplicationWindow = 0.05, 400, 10, 30
	s.LoadOnRequest = rng.IntN(2) == 0
}
