package proxy

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

const (
	// restartTolerance is the maximum difference, in seconds, between the start times that two endpoint lists give for a
	// worker that did not restart.
	restartTolerance = 0.5
	// snapshotStartTolerance is the same, in seconds, between the endpoint list and a replica snapshot.
	snapshotStartTolerance = 1
)

// discoveryState is the state of the discovery service that was logged last.
type discoveryState int

// States of the discovery service.
const (
	discoveryUnknown discoveryState = iota // neither update nor outage was reported yet
	discoveryAvailable
	discoveryUnavailable
)

// endpointState holds the endpoint list as configured and as modified by operators' drains.
type endpointState struct {
	configured   *upstream.EndpointList // as last read; nil before the first read
	active       *upstream.EndpointList // in force, including drains
	clockOffset  units.Seconds          // host's clock minus Unix time, at the last read
	startClock   upstream.StartTimeConverter
	listedStarts map[control.WorkerID]units.Seconds // start times of workers in Unix seconds, as in the list
	lastReadAt   units.Seconds                      // time of the last read, on the host's clock
	drained      map[control.WorkerID]bool          // by operators
	discovery    discoveryState
	cannotServe  bool                       // no worker may be sent requests; as last logged
	rejecting    []control.WorkerID         // workers that count as draining because they reject requests; as last logged
	lastUnloadID uint64                     // counts down, so that IDs of unload commands differ from the dispatcher's
	snapshots    []dispatch.ReplicaSnapshot // of an earlier process; nil after the first list
}

func newEndpointState(snapshots []dispatch.ReplicaSnapshot) endpointState {
	return endpointState{drained: map[control.WorkerID]bool{}, snapshots: snapshots}
}

// listedStart returns the start time of a worker in Unix seconds as given in the list, 0 if the list gives none.
func (e *endpointState) listedStart(id control.WorkerID) units.Seconds { return e.listedStarts[id] }

// ReadEndpointList parses an endpoint list and puts it in force. After an error the previous list stays in force.
func (p *Proxy) ReadEndpointList(data []byte) error {
	e := &p.endpoints
	e.clockOffset = p.host.Now() - units.Seconds(float64(p.host.Wall().UnixNano())/1e9)
	list, err := upstream.ParseEndpointList(data, e.clockOffset)
	if err != nil {
		return err
	}
	e.adjustStarts(list, p.host.Now())
	e.configured = list
	p.applyEndpoints()
	return nil
}

// SetEndpointList puts an endpoint list in force. The start times of its workers are on the host's clock.
func (p *Proxy) SetEndpointList(list *upstream.EndpointList) {
	p.endpoints.configured = list
	p.applyEndpoints()
}

// OnDiscoveryAvailable reports that discovery is available and that the endpoint list was complete at asOf or later, on the
// host's clock.
func (p *Proxy) OnDiscoveryAvailable(asOf units.Seconds) {
	if p.endpoints.discovery != discoveryAvailable {
		p.log.Warn("discovery heard", "news_seconds_old", float64(p.host.Now()-asOf))
	}
	p.endpoints.discovery = discoveryAvailable
	p.dispatcher.OnDiscoveryAvailable(p.host.Now(), asOf)
	p.Flush()
}

// logWorkersDrainingByRejection logs which workers begin and cease to count as draining because they reject requests, while
// discovery is not available.
func (p *Proxy) logWorkersDrainingByRejection() {
	if p.endpoints.discovery == discoveryAvailable && len(p.endpoints.rejecting) == 0 {
		return
	}
	rejecting := p.dispatcher.DrainingByRejection()
	for _, id := range rejecting {
		if !slices.Contains(p.endpoints.rejecting, id) {
			p.log.Warn("worker counts as draining, it rejects what is sent to it", "worker", string(id))
		}
	}
	for _, id := range p.endpoints.rejecting {
		if !slices.Contains(rejecting, id) {
			p.log.Warn("worker no longer counts as draining by its rejections", "worker", string(id))
		}
	}
	p.endpoints.rejecting = rejecting
}

// logAvailability logs changes between no worker and at least one worker that may be sent requests.
func (p *Proxy) logAvailability() {
	cannotServe := !p.CanServe()
	if cannotServe == p.endpoints.cannotServe || p.endpoints.discovery == discoveryUnknown {
		return
	}
	p.endpoints.cannotServe = cannotServe
	if cannotServe {
		p.log.Warn("no worker holds a lease, requests are rejected", "discovery_heard", p.DiscoveryAvailable())
	} else {
		p.log.Warn("a worker holds a lease, requests are accepted")
	}
}

// CanServe reports whether any worker may be sent requests now.
func (p *Proxy) CanServe() bool { return p.dispatcher.CanServe(p.host.Now()) }

// DiscoveryAvailable reports whether the discovery service is available: it has confirmed the endpoint list, and no outage
// was reported since.
func (p *Proxy) DiscoveryAvailable() bool { return p.endpoints.discovery == discoveryAvailable }

// OnDiscoveryUnavailable reports a discovery outage and its reason: no updates of the endpoint list arrive until it ends.
func (p *Proxy) OnDiscoveryUnavailable(reason error) {
	if p.endpoints.discovery != discoveryUnavailable {
		p.log.Warn("discovery lost, endpoint leases run out", "reason", reason)
	}
	p.endpoints.discovery = discoveryUnavailable
	p.dispatcher.OnDiscoveryUnavailable(p.host.Now())
	p.Flush()
}

// adjustStarts converts the start times of the workers in a new list to the host's clock. The list gives wall-clock times,
// and the clocks of machines differ and may be stepped. Therefore a worker counts as restarted only if its start time in the
// list changed. It then restarted after the list was last read, even if the listed time is earlier. No start time is in the
// future.
func (e *endpointState) adjustStarts(list *upstream.EndpointList, now units.Seconds) {
	previous := e.workersByID()
	listed := make(map[control.WorkerID]units.Seconds, len(list.Workers))
	for i := range list.Workers {
		worker := &list.Workers[i]
		if worker.StartedAt > 0 {
			listed[worker.ID] = worker.StartedAt - e.clockOffset
			worker.StartedAt = e.startClock.StartedAt(listed[worker.ID], now, now-e.clockOffset)
		}
		old, known := previous[worker.ID]
		switch {
		case !known || e.configured.Addresses[worker.ID] != list.Addresses[worker.ID]:
		case isSameStart(listed[worker.ID], e.listedStarts[worker.ID], restartTolerance):
			worker.StartedAt = e.configured.Workers[old].StartedAt
		case worker.StartedAt > 0:
			worker.StartedAt = max(worker.StartedAt, e.lastReadAt)
		}
	}
	e.listedStarts, e.lastReadAt = listed, now
}

// isSameStart reports whether two start times of a worker differ by less than a tolerance.
func isSameStart(a, b, tolerance units.Seconds) bool {
	difference := a - b
	return difference > -tolerance && difference < tolerance
}

// workersByID returns the indexes of the workers in the list that was read last.
func (e *endpointState) workersByID() map[control.WorkerID]int {
	if e.configured == nil {
		return nil
	}
	indexes := make(map[control.WorkerID]int, len(e.configured.Workers))
	for i, worker := range e.configured.Workers {
		indexes[worker.ID] = i
	}
	return indexes
}

// withDrains returns the list that was read last, with the operators' drains applied.
func (e *endpointState) withDrains() *upstream.EndpointList {
	list := &upstream.EndpointList{Workers: slices.Clone(e.configured.Workers), Addresses: e.configured.Addresses}
	for i := range list.Workers {
		if e.drained[list.Workers[i].ID] {
			list.Workers[i].State = control.Draining
		}
	}
	return list
}

// applyEndpoints puts the configured list with the operators' drains in force.
func (p *Proxy) applyEndpoints() {
	if p.endpoints.configured == nil {
		return
	}
	list := p.endpoints.withDrains()
	change := upstream.DiffEndpointLists(p.endpoints.active, list)
	p.endpoints.active = list
	p.pool.SetEndpoints(list)
	if len(change) > 0 {
		p.dispatcher.OnEndpointUpdate(p.host.Now(), control.Delta, change)
		p.restoreReplicas()
		p.log.Info("endpoint list updated", "workers", len(list.Workers), "changed", len(change))
	}
	p.Flush()
}

// restoreReplicas restores the replicas of an earlier process on workers that have not restarted. Only the first call, after
// the first list, has an effect.
func (p *Proxy) restoreReplicas() {
	snapshots := p.endpoints.snapshots
	p.endpoints.snapshots = nil
	for _, snapshot := range snapshots {
		snapshot.Age += p.host.Now() - p.startedAt
		listed := p.endpoints.listedStart(control.WorkerID(snapshot.Worker))
		if isSameStart(listed, snapshot.WorkerStartedAt, snapshotStartTolerance) {
			p.dispatcher.RestoreReplica(p.host.Now(), snapshot)
		}
	}
}

// ReplicaSnapshots returns the replicas that are loaded, as far as this front end knows.
func (p *Proxy) ReplicaSnapshots() []dispatch.ReplicaSnapshot {
	return p.dispatcher.ReplicaSnapshots(p.endpoints.listedStart)
}

// lists reports whether the configured endpoint list names the worker.
func (e *endpointState) lists(id control.WorkerID) bool {
	return e.configured != nil && e.configured.Addresses[id] != ""
}

// DrainWorker starts the draining of a worker by an operator, which stays in force across updates of the endpoint list.
// It reports whether the list names the worker.
func (p *Proxy) DrainWorker(id control.WorkerID) bool {
	if !p.endpoints.lists(id) {
		return false
	}
	p.endpoints.drained[id] = true
	p.applyEndpoints()
	return true
}

// UndrainWorker ends the draining of a worker by an operator. It reports whether the endpoint list names the worker.
func (p *Proxy) UndrainWorker(id control.WorkerID) bool {
	if !p.endpoints.lists(id) {
		return false
	}
	delete(p.endpoints.drained, id)
	p.applyEndpoints()
	return true
}

// DrainedWorkers returns the workers that operators drain, sorted.
func (p *Proxy) DrainedWorkers() []string {
	var workers []string
	for id := range p.endpoints.drained {
		workers = append(workers, string(id))
	}
	slices.Sort(workers)
	return workers
}

// UnloadReplicas sends an unload command for idle replicas of a function to every worker that has the function loaded, as far
// as this front end knows. It returns the number of commands.
func (p *Proxy) UnloadReplicas(function string) int {
	commands := 0
	_, functions := p.dispatcher.RoutingView()
	for _, f := range functions {
		if string(f.ID) != function {
			continue
		}
		for _, worker := range f.Replicas {
			p.endpoints.lastUnloadID--
			p.pool.SendLoad(p.host.Now(), dispatch.LoadCommand{ID: p.endpoints.lastUnloadID, Worker: worker, Function: function})
			commands++
		}
	}
	p.Flush()
	return commands
}
