package appliance

import (
	"fmt"
	"math/rand/v2"

	"streamcleat/internal/eventloop"
	"streamcleat/internal/proxy"
	"streamcleat/internal/storage"
	"streamcleat/internal/units"
)

// openStore loads the state and posts StoreOpened.
func (a *Appliance) openStore() {
	if err := a.loadState(); err != nil {
		a.fail(err)
		return
	}
	a.mu.Lock()
	a.tasks = NewTaskScheduler(a.uptime(), a.backgroundTasks()...)
	a.mu.Unlock()
	a.post(StoreOpened, "")
}

// loadState opens the state folder, if one is configured, rebuilds the function registry from its audit trail and reads
// the keyring.
func (a *Appliance) loadState() error {
	if a.config.State != nil {
		var err error
		a.store, a.recovered, err = storage.OpenStore(a.config.Path(a.config.State.Dir),
			storage.Options{Retention: a.config.Limits.DeduplicationWindow, Log: a.log})
		if err != nil {
			return err
		}
		a.log.Info("state opened", "records", len(a.recovered.Records), "scheduled_requests", len(a.recovered.ScheduledRequests),
			"clean_shutdown", a.recovered.CleanShutdown, "created", a.recovered.Created, "quarantine", a.recovered.QuarantinePath)
		if err := a.store.SaveConfig(a.config.Document()); err != nil {
			return err
		}
	}
	if err := a.functions.open(a.store, a.recovered.AuditTrail); err != nil {
		return err
	}
	if a.config.Registry == nil {
		return nil
	}
	return a.functions.reloadKeys(a.config.Path(a.config.Registry.Keys), a.log)
}

// recoverState starts the servers with the recovered state, submits open scheduled requests again and posts
// StateRecovered.
func (a *Appliance) recoverState() {
	if err := a.startServing(); err != nil {
		a.fail(err)
		return
	}
	for _, scheduled := range a.recovered.ScheduledRequests {
		a.log.Info("scheduled request resubmitted after restart", "request_id", scheduled.Request.String(), "due", scheduled.Due)
		a.submitScheduled(scheduled.Request, scheduled.Deadline, 1)
	}
	if a.onReady != nil {
		a.onReady(a.addresses)
	}
	a.post(StateRecovered, "")
}

// startServing starts the telemetry exporters and the servers, and plans the schedules.
func (a *Appliance) startServing() error {
	if err := a.startTelemetry(); err != nil {
		return err
	}
	if err := a.startServers(); err != nil {
		return err
	}
	if a.config.Schedules == nil {
		return nil
	}
	return a.planSchedules()
}

// startServers starts one server for each configured address. Requests that were interrupted by the end of the previous
// process and can't be retried are logged.
func (a *Appliance) startServers() error {
	if a.config.Workers.File == "" {
		a.log.Warn("no endpoint list configured (workers.file), all requests will be rejected")
	}
	for i, address := range a.config.Listen {
		server, err := eventloop.Start(a.serverSettings(i, address))
		if err != nil {
			return err
		}
		a.mu.Lock()
		a.servers = append(a.servers, server)
		a.addresses = append(a.addresses, server.Addr())
		a.serverByAddress[server.Addr()] = server
		a.mu.Unlock()
		go a.watchServer(server)
	}
	for _, failed := range a.servers[0].FailedAtRecovery() {
		a.log.Error("request failed at restart: may have executed, not safe to retry", "request_id", failed.Identity.String(),
			"class", failed.Class, "function", failed.Function)
	}
	return nil
}

// watchServer shuts the process down if the event loop of a server ends with an error. The process must not keep running
// without serving.
func (a *Appliance) watchServer(server *eventloop.Server) {
	if err := server.Wait(); err != nil {
		a.fail(fmt.Errorf("front end on %s: %w", server.Addr(), err))
	}
}

// serverSettings returns the settings of the server with the given index in config.Listen, which listens on address.
func (a *Appliance) serverSettings(index int, address string) eventloop.Settings {
	cfg := a.config
	name := cfg.Name
	if len(cfg.Listen) > 1 {
		name = fmt.Sprintf("%s-%d", cfg.Name, index)
	}
	dispatchSettings := cfg.Dispatch(rand.Uint64())
	dispatchSettings.ResolveVersion = a.resolveVersion
	dispatchSettings.VersionAllowed = a.functions.isVersionAllowed
	settings := eventloop.Settings{
		Listen:           address,
		EndpointListFile: cfg.Path(cfg.Workers.File),
		Settings: proxy.Settings{
			Name:             name,
			Dispatch:         dispatchSettings,
			Upstream:         cfg.Upstream(name),
			Downstream:       cfg.Downstream(),
			MaxClients:       maxClients(cfg.Limits.MaxConnections, descriptorLimit(), len(cfg.Listen)),
			OverflowClients:  overflowClients,
			EvictIdleClients: true,
			Log:              a.log,
			Recovered:        a.recovered.Records,
			ReplicaSnapshots: a.recovered.Replicas,
			OnRequestEnd:     a.onRequestEnd,
			RecordTimeout:    units.Seconds(cfg.Limits.ResponseMargin / 2),
		},
	}
	if a.store != nil {
		settings.RecordStore = a.store
	}
	if peers := cfg.Peers; peers != nil {
		settings.PeerListen = peers.Listen[index]
		settings.Cluster = peers.Cluster
		settings.Peers = append(settings.Peers, peers.Others...)
		for i, other := range peers.Listen {
			if i != index {
				settings.Peers = append(settings.Peers, other)
			}
		}
	}
	return settings
}
