package proxy

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

const (
	// restartTolerance is the maximum difference, in seconds, between two stated starts of a worker that did not restart.
	restartTolerance = 0.5
	// snapshotStartTolerance is the same between the endpoint list and a replica snapshot.
	snapshotStartTolerance = 1
)

// discoveryState is what was last logged of the discovery service.
type discoveryState int

// States of the discovery service.
const (
	discoveryNotTried discoveryState = iota
	discoveryHeard
	discoveryLost
)

// endpointState holds the endpoint list as configured, and as operators' drains change it.
type endpointState struct {
	configured   *upstream.EndpointList // as last read; nil before the first reading
	active       *upstream.EndpointList // in force, including drains
	clockOffset  units.Seconds          // host's clock minus Unix time, at the last reading
	startClock   upstream.StartClock
	statedStarts map[control.WorkerID]units.Seconds // starts of workers in Unix seconds, as the list states them
	lastReadAt   units.Seconds                      // time of the last reading, on the host's clock
	drained      map[control.WorkerID]bool          // by operators
	discovery    discoveryState
	cannotServe  bool                       // no worker may be sent requests, as last logged
	rejecting    []control.WorkerID         // count as draining by their rejections, as last logged
	lastUnloadID uint64                     // IDs of unload commands count down, to differ from the dispatcher's
	snapshots    []dispatch.ReplicaSnapshot // of an earlier process; nil after the first list
}

func newEndpointState(snapshots []dispatch.ReplicaSnapshot) endpointState {
	return endpointState{drained: map[control.WorkerID]bool{}, snapshots: snapshots}
}

// statedStart returns the start of a worker in Unix seconds as the list states it, 0 if it does not.
func (e *endpointState) statedStart(id control.WorkerID) units.Seconds { return e.statedStarts[id] }

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

// SetEndpointList puts an endpoint list in force. The starts of its workers are on the host's clock.
func (p *Proxy) SetEndpointList(list *upstream.EndpointList) {
	p.endpoints.configured = list
	p.applyEndpoints()
}

// OnDiscoveryConfirmed records that the endpoint list was complete at a time that is not before asOf, on the host's clock.
func (p *Proxy) OnDiscoveryConfirmed(asOf units.Seconds) {
	if p.endpoints.discovery != discoveryHeard {
		p.log.Warn("discovery heard", "news_seconds_old", float64(p.host.Now()-asOf))
	}
	p.endpoints.discovery = discoveryHeard
	p.dispatcher.OnDiscoveryConfirmed(p.host.Now(), asOf)
	p.Flush()
}

// logRejectingWorkers logs which workers begin and cease to count as draining while discovery is not heard.
func (p *Proxy) logRejectingWorkers() {
	if p.endpoints.discovery == discoveryHeard && len(p.endpoints.rejecting) == 0 {
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

// logAvailability logs when no worker may be sent requests any more, and when one may again.
func (p *Proxy) logAvailability() {
	cannotServe := !p.CanServe()
	if cannotServe == p.endpoints.cannotServe || p.endpoints.discovery == discoveryNotTried {
		return
	}
	p.endpoints.cannotServe = cannotServe
	if cannotServe {
		p.log.Warn("no worker holds a lease, requests are rejected", "discovery_heard", p.DiscoveryHeard())
	} else {
		p.log.Warn("a worker holds a lease, requests are accepted")
	}
}

// CanServe reports whether any worker may be sent requests now.
func (p *Proxy) CanServe() bool { return p.dispatcher.CanServe(p.host.Now()) }

// DiscoveryHeard reports whether the discovery service was heard and not lost since.
func (p *Proxy) DiscoveryHeard() bool { return p.endpoints.discovery == discoveryHeard }

// OnDiscoveryDisconnected records that updates of the endpoint list do not arrive for now, and why.
func (p *Proxy) OnDiscoveryDisconnected(reason error) {
	if p.endpoints.discovery != discoveryLost {
		p.log.Warn("discovery lost, endpoint leases run out", "reason", reason)
	}
	p.endpoints.discovery = discoveryLost
	p.dispatcher.OnDiscoveryDisconnected(p.host.Now())
	p.Flush()
}

// adjustStarts converts the starts of the workers in a new list to the host's clock. The list states starts as wall-clock
// times, and the clocks of machines differ and may be stepped. Therefore a worker counts as restarted only if its stated
// start changed. It then restarted after the previous reading, even if the stated time is earlier. No start is in the
// future.
func (e *endpointState) adjustStarts(list *upstream.EndpointList, now units.Seconds) {
	previous := e.workersByID()
	stated := make(map[control.WorkerID]units.Seconds, len(list.Workers))
	for i := range list.Workers {
		worker := &list.Workers[i]
		if worker.StartedAt > 0 {
			stated[worker.ID] = worker.StartedAt - e.clockOffset
			worker.StartedAt = e.startClock.StartedAt(stated[worker.ID], now, now-e.clockOffset)
		}
		old, known := previous[worker.ID]
		switch {
		case !known || e.configured.Addresses[worker.ID] != list.Addresses[worker.ID]:
		case isSameStart(stated[worker.ID], e.statedStarts[worker.ID], restartTolerance):
			worker.StartedAt = e.configured.Workers[old].StartedAt
		case worker.StartedAt > 0:
			worker.StartedAt = max(worker.StartedAt, e.lastReadAt)
		}
	}
	e.statedStarts, e.lastReadAt = stated, now
}

// isSameStart reports whether two stated starts of a worker differ by less than a tolerance.
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

// restoreReplicas restores, after the first list, the replicas of an earlier process on workers that have not restarted.
func (p *Proxy) restoreReplicas() {
	snapshots := p.endpoints.snapshots
	p.endpoints.snapshots = nil
	for _, snapshot := range snapshots {
		snapshot.Age += p.host.Now() - p.startedAt
		stated := p.endpoints.statedStart(control.WorkerID(snapshot.Worker))
		if isSameStart(stated, snapshot.WorkerStartedAt, snapshotStartTolerance) {
			p.dispatcher.RestoreReplica(p.host.Now(), snapshot)
		}
	}
}

// ReplicaSnapshots returns the replicas that this front end believes to be loaded.
func (p *Proxy) ReplicaSnapshots() []dispatch.ReplicaSnapshot {
	return p.dispatcher.ReplicaSnapshots(p.endpoints.statedStart)
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

// UnloadReplicas sends an unload command for idle replicas to every worker that is believed to have a function loaded. It
// returns the number of commands.
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
