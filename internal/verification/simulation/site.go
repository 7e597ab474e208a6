package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"streamcleat/internal/appliance"
	"streamcleat/internal/config"
	"streamcleat/internal/schedule"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

// Figures of every site. Times are seconds.
const (
	latencyObjective    = 0.8
	requestTimeout      = 2.0
	responseMargin      = 0.2
	responseRetention   = 120.0
	clientIdleTimeout   = 5.0
	warmUpTime          = 4.0
	coldShare           = 0.29
	overloadFactor      = 2.5
	overloadWindow      = 1.5
	idleReplicaLifetime = 4.0
	drainGrace          = 0.01
	recordingGrace      = 0.001
	recoveryPeriod      = 9.0 // without faults, after the last one
	lastRetry           = 3.0 // of the recovery period: nobody begins anything after it
	firstRequest        = 0.3 // from the beginning to the start of the clients
	hangUpBefore        = 1.0 // the end: clients close their connections
	storePace           = 4   // concurrent fetches without slowing down

	// Limit of load commands where the script has one.
	loadWindow      = 2
	loadBurst       = 4
	loadsPerRequest = 0.2

	maxViolationsPerKind = 3 // that are described
)

// site is one simulated world: appliances, workers, clients and what lies between them.
type site struct {
	scheduler *scheduler
	script    *Script
	config    *config.Config
	network   *network
	store     *functionStore
	functions []fakes.Function
	crontab   []schedule.Entry

	appliances []*applianceProcess
	frontEnds  []*frontEnd // of all appliances
	workers    []*worker
	clients    []*client

	endpointList     []byte
	machineTypes     map[string]string  // by worker
	executedKeys     map[string]float64 // keyed requests that the workers remember, and when they ran
	rateFactor       float64            // of the clients' requests; 0: the usual
	cancelShare      float64            // of requests whose client cancels, where it is above the usual
	ignoreRetryAfter bool               // clients come back at once

	// What the checks know.
	recorder      *invariants.Recorder
	rules         invariants.Rules
	reboots       map[int]int     // by appliance
	firedMinutes  map[string]bool // that appliances fired their schedules for; true: and it is on disk
	outages       []outage
	openOutages   map[int]*outage // by appliance
	operations    []*operation
	openOperation map[*clientCall]*operation
	unknownEnds   []invariants.Record // of calls whose end nobody will know
	touched       []*frontEnd         // in this event
	touchChecks   int
	violations    []string
	described     map[string]int    // violations by kind
	coverage      map[string]int    // by kind of fault and state
	newestAttempt map[string]uint64 // by front end and request
	restarts      int
	closing       sync.WaitGroup // stores that give their memory back
}

// violation notes that something broke, and describes the first violations of each kind.
func (s *site) violation(kind, format string, args ...any) {
	s.described[kind]++
	if s.described[kind] <= maxViolationsPerKind {
		s.violations = append(s.violations, fmt.Sprintf("%s at %.3f: ", kind, s.scheduler.now)+fmt.Sprintf(format, args...))
	}
}

func newSite(script *Script) (*site, error) {
	scheduler := newScheduler()
	s := &site{
		scheduler:     scheduler,
		script:        script,
		network:       newNetwork(scheduler, newRand(script.Seed, "network")),
		store:         &functionStore{scheduler: scheduler, pace: storePace, slowdown: 1},
		functions:     fakes.Catalogue(script.Functions, script.Work, script.Seed),
		machineTypes:  map[string]string{},
		executedKeys:  map[string]float64{},
		recorder:      invariants.NewRecorderWithClock(func() float64 { return scheduler.now }),
		reboots:       map[int]int{},
		firedMinutes:  map[string]bool{},
		openOutages:   map[int]*outage{},
		openOperation: map[*clientCall]*operation{},
		described:     map[string]int{},
		coverage:      map[string]int{},
		newestAttempt: map[string]uint64{},
	}
	s.rules = s.newRules()
	if err := s.configure(); err != nil {
		return nil, err
	}
	if err := s.parseCrontab(); err != nil {
		return nil, err
	}
	s.populate()
	return s, nil
}

// populate creates and starts what the script names, and schedules its faults.
func (s *site) populate() {
	script := s.script
	for i := range script.Workers {
		s.workers = append(s.workers, s.newWorker(i, script.ColdStart))
	}
	s.writeEndpointList()
	for i := range script.Appliances {
		s.appliances = append(s.appliances, s.newAppliance(i, script.FrontEndsPerAppliance))
	}
	for _, a := range s.appliances {
		a.start()
		s.beginOutage(a)
	}
	s.scheduler.after(firstRequest, "clients begin", func() {
		for i := range script.Clients {
			s.clients = append(s.clients, s.newClient(i))
		}
	})
	for _, f := range script.Faults {
		s.scheduler.after(f.At, "fault "+string(f.Kind), func() { s.inject(f) })
	}
	s.scheduler.after(script.Seconds, "calm", s.endFaults)
}

func (s *site) newRules() invariants.Rules {
	rules := invariants.Rules{
		Semantics:               fakes.ClassSemantics(),
		DeduplicationWindow:     map[string]float64{fakes.ClassIdempotentByKey: s.script.DeduplicationWindow},
		FunctionWork:            map[string]float64{},
		Capacity:                map[string]float64{},
		DrainGrace:              drainGrace,
		InitialCapacityFraction: coldShare,
		WarmUpTime:              warmUpTime,
		OverloadFactor:          overloadFactor,
		OverloadWindow:          overloadWindow,
		SubmissionDelay:         requestTimeout,
		IndependentFrontEnds:    true,
		ObservationDelay:        recordingGrace,
	}
	for _, f := range s.functions {
		rules.MeanWork += f.MeanWork / float64(len(s.functions))
		rules.FunctionWork[f.Name] = f.MeanWork
	}
	if s.script.LimitLoads {
		rules.LoadWindow, rules.LoadBurst, rules.LoadsPerRequest = loadWindow, loadBurst, loadsPerRequest
	}
	return rules
}

// configure makes the configuration of the front ends.
func (s *site) configure() error {
	document := fakes.SiteConfig{
		Classes:   fakes.ClassConfigs(latencyObjective, requestTimeout, s.script.DeduplicationWindow),
		Functions: fakes.FunctionConfigs(s.functions),
		Workers: fakes.WorkersConfig{
			IdleReplicaLifetime: idleReplicaLifetime, LoadsOnRequest: s.script.LoadOnRequest,
			DialTimeout: 1, IdleTimeout: 3, LoadTimeout: 4,
		},
		Rules: fakes.RulesConfig{
			InitialCapacityFraction: coldShare, WarmUpTime: warmUpTime, OverloadFactor: overloadFactor,
			OverloadWindow: overloadWindow, MaxRetryAfter: 0.5,
			LoadWindow: s.rules.LoadWindow, LoadBurst: s.rules.LoadBurst, LoadsPerRequest: s.rules.LoadsPerRequest,
		},
		Limits: fakes.LimitsConfig{ResponseMargin: responseMargin, IdleTimeout: clientIdleTimeout, ResponseRetention: responseRetention},
	}
	data, err := document.JSON()
	if err != nil {
		return err
	}
	s.config, err = config.Parse(data, ".")
	return err
}

// parseCrontab makes the schedules of the appliances: every one fires each minute.
func (s *site) parseCrontab() (err error) {
	if s.script.Timers == 0 {
		return nil
	}
	var text strings.Builder
	text.WriteString("CRON_TZ=UTC\nMISFIRE=all\nMISFIRE_WITHIN=10m\n")
	classes := []string{fakes.ClassAtMostOnce, fakes.ClassIdempotent, fakes.ClassIdempotentByKey}
	for i := range s.script.Timers {
		fmt.Fprintf(&text, "* * * * * %s %s tenant-%d\n", classes[i%len(classes)], s.functions[i%len(s.functions)].Name, i)
	}
	s.crontab, err = schedule.Parse(strings.NewReader(text.String()), "sim")
	return err
}

// writeEndpointList writes the list of workers; front ends learn of it a moment later.
func (s *site) writeEndpointList() {
	groups := []fakes.TargetGroup{}
	for _, w := range s.workers {
		if !w.listed {
			continue
		}
		labels := &fakes.TargetLabels{Instance: w.name, Kind: s.machineTypes[w.name], Phase: w.phase}
		if w.startedUnix > 0 {
			labels.Started = fmt.Sprintf("%.3f", w.startedUnix)
		}
		groups = append(groups, fakes.TargetGroup{Labels: labels, Targets: []string{w.name + ":80"}})
	}
	data, err := json.Marshal(groups)
	if err != nil {
		panic(err) // the list always has a JSON form
	}
	s.endpointList = data
	for _, a := range s.appliances {
		if a.ignoreList || !a.running {
			continue
		}
		a.after(0.01+0.2*s.network.rng.Float64(), "sees the list", func() {
			a.eachFrontEnd(func(f *frontEnd) { f.readEndpointList() })
		})
	}
}

// isFirstExecution returns whether a request that runs has its effect, and remembers it: workers drop repeats of keyed
// requests for a time.
func (s *site) isFirstExecution(r *workerRequest) bool {
	if r.class != fakes.ClassIdempotentByKey {
		return true
	}
	at, known := s.executedKeys[r.id]
	if known && s.scheduler.now-at <= s.script.DeduplicationWindow {
		return false
	}
	s.executedKeys[r.id] = s.scheduler.now
	return true
}

// restartWorker starts a worker that is down anew, cold, and writes the endpoint list.
func (s *site) restartWorker(w *worker) {
	if w.running || !w.listed {
		return
	}
	w.start(true)
	s.writeEndpointList()
}

// stopAppliance asks an appliance to stop in order. It starts again after a delay in seconds.
func (s *site) stopAppliance(a *applianceProcess, restartIn float64) {
	a.restartIn = restartIn
	if a.running && !a.paused {
		s.beginOutage(a)
		s.restarts++
		a.handle(appliance.StopRequested, "script")
	}
}

// restartAfterDiskFailure restarts an appliance whose state can't be written, as an operator who sees that.
func (s *site) restartAfterDiskFailure(a *applianceProcess) { s.stopAppliance(a, minRestartDelay) }

// endFaults ends every fault: from here on all is well, and everything that was begun must end.
func (s *site) endFaults() {
	s.network.heal()
	s.rateFactor, s.cancelShare, s.ignoreRetryAfter = 0, 0, false
	s.store.slowUntil, s.store.outUntil = 0, 0
	for _, w := range s.workers {
		clear(w.faultUntil)
		if w.paused {
			w.resume()
		}
		if w.listed && !w.running {
			w.start(true)
		}
		w.phase = phaseServing
	}
	s.writeEndpointList()
	for _, c := range s.clients {
		c.finishing, c.readRate = true, 0
		for _, conn := range c.conns {
			if conn.end != nil {
				conn.end.readRate = 0
			}
		}
	}
	for _, a := range s.appliances {
		a.endFaults()
	}
	s.scheduler.after(recoveryPeriod-hangUpBefore, "clients hang up", func() {
		for _, c := range s.clients {
			c.closeIdle()
		}
	})
}

func (a *applianceProcess) endFaults() {
	a.ignoreList = false
	a.disk.syncDelay, a.disk.ignoreSync = 0, false
	wasFull := a.disk.full
	a.disk.full = false
	if a.paused {
		a.resume()
	}
	if wasFull || a.store != nil && a.store.Err() != nil {
		a.site.restartAfterDiskFailure(a)
	}
}
