package control

import (
	"fmt"
	"testing"
)

// The slots of removed workers are reused, and their lookups and replicas are removed, also if a load result arrives after
// the removal.
func TestEndpointUpdate_ReplacedWorkersLeaveNoState(t *testing.T) {
	r := newSimulatedFleet(1, basicDeployment(), 3).frontEnds[0].router
	for i := range 300 {
		now := r.now + 0.1
		id := WorkerID(fmt.Sprint("new-", i))
		r.OnEndpointUpdate(now, Snapshot, []Worker{{ID: id, Weight: 1}})
		fn := r.functionOf(Request{Function: "f"})
		fn.ensureReplica(r.workersByID[id]).warm = true
		r.OnLoadResult(now, LoadResult{
			Worker: WorkerID(fmt.Sprint("new-", i-9)), Function: "f", Outcome: Succeeded, Replicas: 1, Duration: 0.1,
		})
		w := r.workersByID[id]
		isIndexed := w.id == id && r.workers[w.index] == w && r.workersByDigest[w.digest()] == w
		if !isIndexed || fn.replicaOn(w) == nil || w.concurrencyLimit != initialConcurrencyLimit {
			t.Fatalf("%s is not indexed, or its state is not initial", id)
		}
	}
	replicas := len(r.functionsByID["f"].replicas)
	if len(r.workers) > 6 || len(r.workersByID) > 6 || len(r.workersByDigest) > 6 || replicas > 6 {
		t.Errorf("%d workers, %d by ID, %d by digest, %d replicas",
			len(r.workers), len(r.workersByID), len(r.workersByDigest), replicas)
	}
}
