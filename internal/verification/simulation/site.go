package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"streamcleat/internal/appliance"
	"streamcleat/internal/config"
	"streamcleat/internal/schedule"
	"streamcleat/internal/units"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

// Parameters of every site. Times are in seconds.
const (
	latencyObjective        = 0.8
	requestTimeout          = 2.0
	responseMargin          = 0.2
	responseRetention       = 120.0
	clientIdleTimeout       = 5.0
	warmUpTime              = 4.0
	initialCapacityFraction = 0.29
	overloadFactor          = 2.5
	overloadWindow          = 1.5
	idleReplicaLifetime     = 4.0
	drainGrace              = 0.01
	observationDelay        = 0.001
	recoveryPeriod          = 9.0 // at the end of a run, without faults
	retryPeriod             = 3.0 // initial part of the recovery period; no request is sent after it
	clientStartTime         = 0.3 // time at which the clients start
	clientCloseLead         = 1.0 // time between the clients' closing their idle connections and the end of the run
	fullSpeedFetches        = 4   // concurrent fetches that the function store serves without slowdown

	// Rate limit of load commands, if the script enables it.
	loadWindow      = 2
	loadBurst       = 4
	loadsPerRequest = 0.2

	maxViolationsPerKind = 3 // number of violations described in the report; all are counted
)

// site is one simulated deployment: appliances, workers, clients and the network between them.
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
	machineTypes     map[string]string  // by worker name
	executedKeys     map[string]float64 // time of execution of requests with an idempotency key, by request ID
	rateFactor       float64            // multiplier of the clients' request rate; 0: the script's rate
	cancelFraction   float64            // fraction of requests that are cancelled, if above normalCancelFraction
	ignoreRetryAfter bool               // clients retry immediately

	// State of the checks.
	recorder        *invariants.Recorder
	rules           invariants.Rules
	reboots         map[int]int     // power losses, by appliance number
	durableFirings  map[string]bool // firings of schedules, by request identity; true if recorded on disk
	outages         []outage
	openOutages     map[int]*outage // by appliance number
	operations      []*operation
	openOperations  map[*clientCall]*operation
	unknownOutcomes []invariants.Record // ends of calls with an unknown outcome
	activeFrontEnds []*frontEnd         // front ends with activity during the current event
	frontEndChecks  int
	violations      []string
	violationCounts map[string]int    // by kind
	coverage        map[string]int    // number of occurrences, by fault kind and state
	latestAttempts  map[string]uint64 // call ID of the latest attempt, by front end and request
	restarts        int
	abandonedStores sync.WaitGroup // stores of ended processes that are still releasing their memory
}

// violation counts a violation of an invariant. Only the first maxViolationsPerKind of each kind are described.
func (s *site) violation(kind, format string, args ...any) {
	s.violationCounts[kind]++
	if s.violationCounts[kind] <= maxViolationsPerKind {
		s.violations = append(s.violations, fmt.Sprintf("%s at %.3f: ", kind, s.scheduler.now)+fmt.Sprintf(format, args...))
	}
}

func newSite(script *Script) (*site, error) {
	scheduler := newScheduler()
	s := &site{
		scheduler:       scheduler,
		script:          script,
		network:         newNetwork(scheduler, newRand(script.Seed, "network")),
		store:           &functionStore{scheduler: scheduler, fullSpeed: fullSpeedFetches, slowdown: 1},
		functions:       fakes.Catalogue(script.Functions, script.Work, script.Seed),
		machineTypes:    map[string]string{},
		executedKeys:    map[string]float64{},
		recorder:        invariants.NewRecorderWithClock(func() float64 { return float64(scheduler.now) }),
		reboots:         map[int]int{},
		durableFirings:  map[string]bool{},
		openOutages:     map[int]*outage{},
		openOperations:  map[*clientCall]*operation{},
		violationCounts: map[string]int{},
		coverage:        map[string]int{},
		latestAttempts:  map[string]uint64{},
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

// populate creates and starts the workers and appliances, and schedules the start of the clients and the faults.
func (s *site) populate() {
	script := s.script
	newWorker := s.newWarmWorker
	if script.ColdStart {
		newWorker = s.newColdWorker
	}
	for i := range script.Workers {
		s.workers = append(s.workers, newWorker(i))
	}
	s.writeEndpointList()
	for i := range script.Appliances {
		s.appliances = append(s.appliances, s.newAppliance(i, script.FrontEndsPerAppliance))
	}
	for _, a := range s.appliances {
		a.start()
		s.beginOutage(a)
	}
	s.scheduler.after(clientStartTime, "clients begin", func() {
		for i := range script.Clients {
			s.clients = append(s.clients, s.newClient(i))
		}
	})
	for _, f := range script.Faults {
		s.scheduler.after(f.At, "fault "+string(f.Kind), func() { s.inject(f) })
	}
	s.scheduler.after(units.Seconds(script.Seconds), "calm", s.endFaults)
}

func (s *site) newRules() invariants.Rules {
	rules := invariants.Rules{
		Semantics:               fakes.ClassSemantics(),
		DeduplicationWindow:     map[string]float64{fakes.ClassIdempotentByKey: float64(s.script.DeduplicationWindow)},
		FunctionWork:            map[string]float64{},
		Capacity:                map[string]float64{},
		DrainGrace:              drainGrace,
		InitialCapacityFraction: initialCapacityFraction,
		WarmUpTime:              warmUpTime,
		OverloadFactor:          overloadFactor,
		OverloadWindow:          overloadWindow,
		SubmissionDelay:         requestTimeout,
		IndependentFrontEnds:    true,
		ObservationDelay:        observationDelay,
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

// configure generates the configuration of the front ends.
func (s *site) configure() error {
	document := fakes.SiteConfig{
		Classes:   fakes.ClassConfigs(latencyObjective, requestTimeout, float64(s.script.DeduplicationWindow)),
		Functions: fakes.FunctionConfigs(s.functions),
		Workers: fakes.WorkersConfig{
			IdleReplicaLifetime: idleReplicaLifetime, LoadsOnRequest: s.script.LoadOnRequest,
			DialTimeout: 1, IdleTimeout: 3, LoadTimeout: 4,
		},
		Rules: fakes.RulesConfig{
			InitialCapacityFraction: initialCapacityFraction, WarmUpTime: warmUpTime, OverloadFactor: overloadFactor,
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

// parseCrontab generates the schedules of the appliances. Each schedule fires every minute.
func (s *site) parseCrontab() error {
	if s.script.Timers == 0 {
		return nil
	}
	var text strings.Builder
	text.WriteString("CRON_TZ=UTC\nMISFIRE=all\nMISFIRE_WITHIN=10m\n")
	classes := []string{fakes.ClassAtMostOnce, fakes.ClassIdempotent, fakes.ClassIdempotentByKey}
	for i := range s.script.Timers {
		fmt.Fprintf(&text, "* * * * * %s %s tenant-%d\n", classes[i%len(classes)], s.functions[i%len(s.functions)].Name, i)
	}
	crontab, err := schedule.Parse(strings.NewReader(text.String()), "sim")
	s.crontab = crontab
	return err
}

// writeEndpointList writes the endpoint list. Each appliance's front ends read it after a random delay.
func (s *site) writeEndpointList() {
	groups := []fakes.TargetGroup{}
	for _, w := range s.workers {
		if !w.listed {
			continue
		}
		labels := &fakes.TargetLabels{Instance: w.name, Kind: s.machineTypes[w.name], Phase: w.state}
		if w.startedUnix > 0 {
			labels.Started = fmt.Sprintf("%.3f", w.startedUnix)
		}
		groups = append(groups, fakes.TargetGroup{Labels: labels, Targets: []string{w.name + ":80"}})
	}
	data, err := json.Marshal(groups)
	if err != nil {
		panic(err) // target groups can always be encoded
	}
	s.endpointList = data
	for _, a := range s.appliances {
		if a.ignoreList || !a.running {
			continue
		}
		a.after(units.Seconds(0.01+0.2*s.network.rng.Float64()), "sees the list", func() {
			a.eachFrontEnd(func(f *frontEnd) { f.readEndpointList() })
		})
	}
}

// recordExecution reports whether a worker executes a request, and records its execution. Workers don't execute
// duplicates of requests with an idempotency key within the deduplication window.
func (s *site) recordExecution(r *workerRequest) bool {
	if r.class != fakes.ClassIdempotentByKey {
		return true
	}
	at, known := s.executedKeys[r.id]
	if known && s.scheduler.now-units.Seconds(at) <= s.script.DeduplicationWindow {
		return false
	}
	s.executedKeys[r.id] = float64(s.scheduler.now)
	return true
}

// restartWorker performs a cold start of a worker that is down, and updates the endpoint list.
func (s *site) restartWorker(w *worker) {
	if w.running || !w.listed {
		return
	}
	w.startCold()
	s.writeEndpointList()
}

// stopAppliance starts the graceful shutdown of an appliance, which is restarted after restartIn seconds.
func (s *site) stopAppliance(a *applianceProcess, restartIn float64) {
	a.restartIn = restartIn
	if a.running && !a.suspended {
		s.beginOutage(a)
		s.restarts++
		a.handle(appliance.StopRequested, "script")
	}
}

// restartAfterDiskFailure restarts an appliance that can't write its state, in place of its operator.
func (s *site) restartAfterDiskFailure(a *applianceProcess) { s.stopAppliance(a, minRestartDelay) }

// endFaults ends all faults and starts the recovery period, in which the site must recover and every request must end.
func (s *site) endFaults() {
	s.network.heal()
	s.rateFactor, s.cancelFraction, s.ignoreRetryAfter = 0, 0, false
	s.store.slowUntil, s.store.rejectUntil = 0, 0
	for _, w := range s.workers {
		clear(w.faultUntil)
		if w.suspended {
			w.resume()
		}
		if w.listed && !w.running {
			w.startCold()
		}
		w.state = stateServing
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
	s.scheduler.after(recoveryPeriod-clientCloseLead, "clients hang up", func() {
		for _, c := range s.clients {
			c.closeIdle()
		}
	})
}

func (a *applianceProcess) endFaults() {
	a.ignoreList = false
	a.disk.syncDelay = 0
	a.disk.setIgnoreSync(false)
	wasFull := a.disk.setFull(false)
	if a.suspended {
		a.resume()
	}
	if wasFull || a.store != nil && a.store.Err() != nil {
		a.site.restartAfterDiskFailure(a)
	}
}
