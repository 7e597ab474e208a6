package scenario

import (
	"fmt"
	"net"
	"path/filepath"

	"streamcleat/internal/config"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/proxy"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

// Resource limits of every worker.
const (
	workerMemoryMB     = 8000
	workerQueueLimit   = 64
	maxConcurrentLoads = 4
)

const (
	stateServing  = "serving"
	stateDraining = "draining"
	stateRemoved  = "gone"

	anyPort     = "127.0.0.1:0"
	clusterName = "drill"
	seedStride  = 1000003 // keeps the front end seeds of scenarios with different seeds apart
)

// start starts the workers and the front ends, and sets the rules that the checker applies to them.
func (r *run) start() error {
	s := r.script
	r.functions = fakes.Catalogue(s.Functions+hotFunctions, s.WorkPerRequest, r.seed)
	r.rules = invariants.Rules{
		Semantics:               fakes.ClassSemantics(),
		DeduplicationWindow:     map[string]float64{fakes.ClassIdempotentByKey: deduplicationWindow},
		MeanWork:                r.meanWork(),
		Capacity:                map[string]float64{},
		DrainGrace:              drainGrace,
		InitialCapacityFraction: initialCapacityFraction,
		WarmUpTime:              warmUpTime,
		OverloadFactor:          overloadFactor,
		OverloadWindow:          overloadWindow,
		LoadWindow:              s.LoadLimit[0],
		LoadBurst:               s.LoadLimit[1],
		LoadsPerRequest:         s.LoadLimit[2],
		ObservationDelay:        observationDelay,
	}
	startWorker := r.startWorker
	if s.ColdStart {
		startWorker = r.startColdWorker
	}
	for range s.Workers {
		w, err := startWorker()
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
	}
	path := filepath.Join(r.tempDir, "workers.json")
	var err error
	if r.list, err = fakes.NewEndpointList(path, r.recorder, r.workers); err != nil {
		return err
	}
	return r.startFrontEnds(path)
}

func (r *run) meanWork() float64 {
	mean := 0.0
	for _, f := range r.functions {
		mean += f.MeanWork / float64(len(r.functions))
	}
	return mean
}

// startColdWorker starts a worker that has yet to warm up.
func (r *run) startColdWorker() (*fakes.Worker, error) {
	w, err := r.startWorker()
	if err != nil {
		return nil, err
	}
	return w, w.Restart()
}

// startWorker starts a worker that is already warm.
func (r *run) startWorker() (*fakes.Worker, error) {
	r.mu.Lock()
	number := r.nextWorker
	r.nextWorker++
	r.mu.Unlock()
	kind, speed := fakes.MachineType(number)
	name := fmt.Sprintf("wk-%02d", number)
	w, err := fakes.NewWorker(fakes.WorkerConfig{
		Name:                    name,
		MachineType:             kind,
		Cores:                   r.script.Cores,
		Speed:                   speed,
		Memory:                  workerMemoryMB,
		QueueLimit:              workerQueueLimit,
		MaxConcurrentLoads:      maxConcurrentLoads,
		IdleReplicaLifetime:     idleReplicaLifetime + 0.5,
		InitialCapacityFraction: initialCapacityFraction,
		WarmUpTime:              warmUpTime,
		OverloadFactor:          overloadFactor,
		OverloadWindow:          overloadWindow,
		LoadsOnRequest:          r.script.LoadOnRequest,
		MeanWork:                r.meanWork(),
		Functions:               r.functions,
		Store:                   r.store,
		Deduplicator:            r.deduplicator,
		IdempotentByKeyClasses:  map[string]bool{fakes.ClassIdempotentByKey: true},
		Recorder:                r.recorder,
		Seed:                    r.seed + uint64(number),
	})
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules.Capacity[name] = float64(r.script.Cores) * speed
	r.started = append(r.started, w)
	return w, nil
}

// startFrontEnds starts front ends that watch the endpoint list at listPath and gossip with each other.
func (r *run) startFrontEnds(listPath string) error {
	s := r.script
	peers, err := freeUDPAddrs(s.FrontEnds)
	if err != nil {
		return err
	}
	c, err := r.frontEndConfig()
	if err != nil {
		return err
	}
	if s.Versions {
		if r.versions, err = newVersionRegistries(r.functions, s.FrontEnds); err != nil {
			return err
		}
	}
	for i := range s.FrontEnds {
		f, err := eventloop.Start(r.frontEndSettings(c, i, listPath, peers))
		if err != nil {
			return err
		}
		r.frontEnds = append(r.frontEnds, f)
		r.addrs = append(r.addrs, f.Addr())
	}
	return nil
}

// frontEndConfig returns the configuration that all front ends share.
func (r *run) frontEndConfig() (*config.Config, error) {
	s := r.script
	document := fakes.SiteConfig{
		Name:      "front",
		Listen:    []string{anyPort},
		Classes:   fakes.ClassConfigs(latencyObjective, requestTimeout, deduplicationWindow),
		Functions: fakes.FunctionConfigs(r.functions),
		Workers:   fakes.WorkersConfig{IdleReplicaLifetime: idleReplicaLifetime, LoadsOnRequest: s.LoadOnRequest},
		Rules: fakes.RulesConfig{
			InitialCapacityFraction: initialCapacityFraction, WarmUpTime: warmUpTime, OverloadFactor: overloadFactor,
			OverloadWindow: overloadWindow, MaxRetryAfter: 0.5,
			LoadWindow: s.LoadLimit[0], LoadBurst: s.LoadLimit[1], LoadsPerRequest: s.LoadLimit[2],
		},
		Limits: fakes.LimitsConfig{ResponseMargin: responseMargin},
	}
	data, err := document.JSON()
	if err != nil {
		return nil, err
	}
	return config.Parse(data, r.tempDir)
}

func (r *run) frontEndSettings(c *config.Config, number int, listPath string, peers []string) eventloop.Settings {
	s, name := r.script, frontEndName(number)
	decisions := c.Dispatch(r.seed*seedStride + uint64(number))
	decisions.Deployment.FrontEnds, decisions.Deployment.GossipAllowed = s.FrontEnds, s.FrontEnds > 1
	if r.versions != nil {
		decisions.ResolveVersion = r.versions.resolver(number, c.Function)
		decisions.VersionAllowed = r.versions.allowedCheck(number)
	}
	settings := eventloop.Settings{Listen: c.Listen[0], EndpointListFile: listPath, Settings: proxy.Settings{
		Name:         name,
		Cluster:      clusterName,
		Dispatch:     decisions,
		Upstream:     c.Upstream(name),
		Downstream:   c.Downstream(),
		MaxClients:   c.Limits.MaxConnections,
		Log:          r.log,
		OnRequestEnd: r.countCause,
	}}
	if s.FrontEnds > 1 {
		settings.PeerListen = peers[number]
		for i, peer := range peers {
			if i != number {
				settings.Peers = append(settings.Peers, peer)
			}
		}
	}
	return settings
}

// countCause counts the cause of an unsuccessful response.
func (r *run) countCause(response dispatch.Response, _ *dispatch.Trace) {
	if response.Kind == dispatch.Succeeded {
		return
	}
	r.mu.Lock()
	r.causes[response.Cause.String()]++
	r.mu.Unlock()
}

func frontEndName(number int) string { return fmt.Sprintf("front-%d", number) }

// freeUDPAddrs returns n loopback UDP addresses that are currently free.
func freeUDPAddrs(n int) ([]string, error) {
	var list []string
	var conns []*net.UDPConn
	defer func() {
		for _, c := range conns {
			_ = c.Close() // nothing was sent on it
		}
	}()
	for range n {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
		list = append(list, c.LocalAddr().String())
	}
	return list, nil
}
