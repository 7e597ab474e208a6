package simulation

import (
	"maps"
	"math/rand/v2"
	"slices"

	"streamcleat/internal/units"
)

// profile describes how a seed draws the site and the faults of its script.
type profile struct {
	description string // for the command's list of profiles
	groups      []faultGroup
	drawSite    func(s *Script, rng *rand.Rand) // draws the sizes of the site
	maxFaults   int                             // maximum number of faults that a seed draws
	always      []Fault                         // faults that every seed has in addition
}

// coveredGroups are the groups of faults under which the program must keep every rule.
var coveredGroups = []faultGroup{groupNetwork, groupDisk, groupProcess, groupWorker, groupStore, groupRelease, groupLoad}

// profiles contains the profiles by name.
var profiles = map[string]profile{
	"day": {
		description: "small sites, every kind of fault that the rules cover",
		groups:      coveredGroups, drawSite: drawSmallSite, maxFaults: 12,
	},
	"network": {
		description: "small sites, network faults only",
		groups:      []faultGroup{groupNetwork}, drawSite: drawSmallSite, maxFaults: 14,
	},
	"disk": {
		description: "small sites, faults of disks and processes",
		groups:      []faultGroup{groupDisk, groupProcess}, drawSite: drawSmallSite, maxFaults: 10,
	},
	"workers": {
		description: "small sites, faults of workers and their store",
		groups:      []faultGroup{groupWorker, groupStore}, drawSite: drawSmallSite, maxFaults: 14,
	},
	"overload": {
		description: "small sites, more requests than they can serve",
		groups:      []faultGroup{groupLoad, groupStore}, drawSite: drawOverloadedSite, maxFaults: 8,
	},
	"rollout": {
		description: "workers restarted one after the other under load",
		groups:      []faultGroup{groupLoad}, drawSite: drawRolloutSite, maxFaults: 3,
		always: []Fault{
			{At: 1, Kind: FaultDrainThenCrash, Worker: 0, Duration: 2},
			{At: 3.5, Kind: FaultDrainThenCrash, Worker: 1, Duration: 2},
			{At: 6, Kind: FaultDrainThenCrash, Worker: 2, Duration: 2},
			{At: 8.5, Kind: FaultDrainThenCrash, Worker: 3, Duration: 2},
		},
	},
	"all-gone": {
		description: "all workers restart at once",
		groups:      []faultGroup{groupLoad}, drawSite: drawThreeWorkerSite, maxFaults: 2,
		always: []Fault{
			{At: 2, Kind: FaultCrashWorker, Worker: 0, Size: 0.5},
			{At: 2, Kind: FaultCrashWorker, Worker: 1, Size: 0.7},
			{At: 2.1, Kind: FaultCrashWorker, Worker: 2, Size: 0.9},
		},
	},
	"release": {
		description: "a release of all functions while the store is slow",
		groups:      []faultGroup{groupStore, groupLoad, groupRelease, groupProcess}, drawSite: drawVersionedSite, maxFaults: 8,
		always: []Fault{
			{At: 2, Kind: FaultReleaseAll, Size: 1},
			{At: 2, Kind: FaultEvictAll},
			{At: 2, Kind: FaultStoreSlow, Duration: 4, Size: 5},
		},
	},
	"grown": {
		description: "80 front ends and 70 workers",
		groups:      coveredGroups, drawSite: drawLargeSite, maxFaults: 12,
	},
	"stateless": {
		description: "small sites without durable state",
		groups:      []faultGroup{groupNetwork, groupWorker, groupStore, groupLoad}, drawSite: drawStatelessSite, maxFaults: 12,
	},
	"beyond": {
		description: "also faults that the rules do not cover: ignored syncs, lost worker state",
		groups:      append(slices.Clone(coveredGroups), groupBeyond), drawSite: drawSmallSite, maxFaults: 14,
	},
}

// Profiles returns the names of all profiles in alphabetical order, and their descriptions in the same order.
func Profiles() (names, descriptions []string) {
	names = slices.Sorted(maps.Keys(profiles))
	for _, name := range names {
		descriptions = append(descriptions, profiles[name].description)
	}
	return names, descriptions
}

func choose(rng *rand.Rand, choices ...int) int { return choices[rng.IntN(len(choices))] }

func drawSmallSite(s *Script, rng *rand.Rand) {
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

func drawOverloadedSite(s *Script, rng *rand.Rand) {
	drawSmallSite(s, rng)
	s.Rate *= 2.5
}

func drawRolloutSite(s *Script, rng *rand.Rand) {
	drawSmallSite(s, rng)
	s.Workers, s.Seconds = max(s.Workers, 4), 12
}

func drawThreeWorkerSite(s *Script, rng *rand.Rand) {
	drawSmallSite(s, rng)
	s.Workers = 3
}

func drawVersionedSite(s *Script, rng *rand.Rand) {
	drawSmallSite(s, rng)
	s.Versions = true
}

func drawStatelessSite(s *Script, rng *rand.Rand) {
	drawSmallSite(s, rng)
	s.Stateless = true
}

func drawLargeSite(s *Script, rng *rand.Rand) {
	s.Seconds = 6
	s.Appliances, s.FrontEndsPerAppliance = 40, 2
	s.Workers, s.Cores = 70, 2
	s.Functions, s.Clients = 60, 30
	s.Work, s.Rate, s.Timers, s.DeduplicationWindow = 0.05, 400, 10, 30
	s.LoadOnRequest = rng.IntN(2) == 0
}
