package proxy

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/upstream"
)

const (
	// startTolerance, in seconds, is by how much two statements of a worker's start may differ and mean the same one.
	startTolerance = 0.5
	// snapshotStartTolerance, in seconds, is the same between the endpoint list and a replica snapshot.
	snapshotStartTolerance = 1
)

// endpointState is the list of workers: as its source tells it, and as orders to drain change it.
type endpointState struct {
	configured   *upstream.EndpointList // as read last; nil before the first
	active       *upstream.EndpointList // in force
	clockOffset  float64                // from Unix seconds to the host's clock, at the last reading
	startClock   upstream.StartClock
	statedStarts map[control.WorkerID]float64 // starts of workers in Unix seconds, as read
	readAt       float64                      // time of the last reading, on the host's clock
	drained      map[control.WorkerID]bool    // by order
	lastUnload   uint64                       // IDs of unload commands count down, so that none meets the dispatcher's
	snapshots    []dispatch.ReplicaSnapshot   // of an earlier process, until the first list
}

func newEndpointState(snapshots []dispatch.ReplicaSnapshot) endpointState {
	return endpointState{drained: map[control.WorkerID]bool{}, snapshots: snapshots}
}

// statedStart is a worker's start in Unix seconds as the list states it, 0 where it states none.
func (e *endpointState) statedStart(id control.WorkerID) float64 { return e.statedStarts[id] }

// ReadEndpointList takes the text of the endpoint list. A faulty one leaves the last good one in force.
func (p *Proxy) ReadEndpointList(data []byte) error {
	e := &p.endpoints
	e.clockOffset = p.host.Now() - float64(p.host.Wall().UnixNano())/1e9
	list, err := upstream.ParseEndpointList(data, e.clockOffset)
	if err != nil {
		return err
	}
	e.adjustStarts(list, p.host.Now())
	e.configured = list
	p.applyEndpoints()
	return nil
}

// SetEndpointList puts a list of workers in force as it is. Their starts are on the host's clock.
func (p *Proxy) SetEndpointList(list *upstream.EndpointList) {
	p.endpoints.configured = list
	p.applyEndpoints()
}

// adjustStarts settles when the workers of a new list started. The list states it by a time of day, and the machines'
// clocks differ and are set: a worker restarted only where the list states another time than before, whatever the
// clock here does; then it did so after the last reading that stated the old one, however long ago that time seems to
// be. No start lies in the future.
func (e *endpointState) adjustStarts(list *upstream.EndpointList, now float64) {
	previous := e.workersByID()
	stated := make(map[control.WorkerID]float64, len(list.Workers))
	for i := range list.Workers {
		worker := &list.Workers[i]
		if worker.StartedAt > 0 {
			stated[worker.ID] = worker.StartedAt - e.clockOffset
			worker.StartedAt = e.startClock.StartedAt(stated[worker.ID], now, now-e.clockOffset)
		}
		old, known := previous[worker.ID]
		switch difference := stated[worker.ID] - e.statedStarts[worker.ID]; {
		case !known || e.configured.Addresses[worker.ID] != list.Addresses[worker.ID]:
		case difference > -startTolerance && difference < startTolerance:
			worker.StartedAt = e.configured.Workers[old].StartedAt
		case worker.StartedAt > 0:
			worker.StartedAt = max(worker.StartedAt, e.readAt)
		}
	}
	e.statedStarts, e.readAt = stated, now
}

// workersByID are the indexes of the workers in the list that was read last.
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

// withDrains is the list that was read last, with the drains that operators ordered.
func (e *endpointState) withDrains() *upstream.EndpointList {
	list := &upstream.EndpointList{Workers: slices.Clone(e.configured.Workers), Addresses: e.configured.Addresses}
	for i := range list.Workers {
		if e.drained[list.Workers[i].ID] {
			list.Workers[i].State = control.Draining
		}
	}
	return list
}

// applyEndpoints puts the list in force that its source and the operators' orders make together.
func (p *Proxy) applyEndpoints() {
	if p.endpoints.configured == nil {
		return
	}
	list := p.endpoints.withDrains()
	change := upstream.Diff(p.endpoints.active, list)
	p.endpoints.active = list
	p.pool.SetEndpoints(list)
	if len(change) > 0 {
		p.dispatcher.OnEndpointUpdate(p.host.Now(), control.Delta, change)
		p.restoreReplicas()
		p.log.Info("endpoint list updated", "workers", len(list.Workers), "changed", len(change))
	}
	p.Flush()
}

// restoreReplicas hands on, with the first list, what an earlier process knew of workers that have not restarted since.
func (p *Proxy) restoreReplicas() {
	snapshots := p.endpoints.snapshots
	p.endpoints.snapshots = nil
	for _, snapshot := range snapshots {
		snapshot.Age += p.host.Now() - p.startedAt
		difference := p.endpoints.statedStart(control.WorkerID(snapshot.Worker)) - snapshot.WorkerStartedAt
		if difference > -snapshotStartTolerance && difference < snapshotStartTolerance {
			p.dispatcher.RestoreReplica(p.host.Now(), snapshot)
		}
	}
}

// ReplicaSnapshots are the replicas that this front end knows.
func (p *Proxy) ReplicaSnapshots() []dispatch.ReplicaSnapshot {
	return p.dispatcher.ReplicaSnapshots(p.endpoints.statedStart)
}

// DrainWorker makes a worker drain, or returns it to the state that the list states. An order stays in force over
// updates of the list. It tells whether the list names the worker.
func (p *Proxy) DrainWorker(id control.WorkerID, drain bool) (known bool) {
	e := &p.endpoints
	if e.configured == nil || e.configured.Addresses[id] == "" {
		return false
	}
	if drain {
		e.drained[id] = true
	} else {
		delete(e.drained, id)
	}
	p.applyEndpoints()
	return true
}

// DrainedWorkers are the workers that drain by order, sorted.
func (p *Proxy) DrainedWorkers() []string {
	var workers []string
	for id := range p.endpoints.drained {
		workers = append(workers, string(id))
	}
	slices.Sort(workers)
	return workers
}

// UnloadReplicas asks every worker that is believed to have a function loaded to unload its idle replicas, and tells
// how many were asked.
func (p *Proxy) UnloadReplicas(function string) (asked int) {
	_, functions := p.dispatcher.RoutingView()
	for _, f := range functions {
		if string(f.ID) != function {
			continue
		}
		for _, worker := range f.Replicas {
			p.endpoints.lastUnload--
			p.pool.SendLoad(p.host.Now(), dispatch.LoadCommand{ID: p.endpoints.lastUnload, Worker: worker, Function: function})
			asked++
		}
	}
	p.Flush()
	return asked
}
