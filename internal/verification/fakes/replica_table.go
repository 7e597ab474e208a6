package fakes

// ReplicaSet holds the replicas of one version of a function on a worker.
type ReplicaSet struct {
	Function        *Function
	Digest          string // of the version; empty for a function without versions
	Ready           int
	Loading         int
	Busy            int     // number of requests in progress
	IdleSince       float64 // seconds on the worker's clock
	HasImage        bool    // the image is on the worker's disk, so that a load needs no fetch
	PendingEviction int     // number of ready replicas to be evicted as soon as they are idle
}

// Capacity returns the number of requests that the ready replicas execute concurrently.
func (s *ReplicaSet) Capacity() int { return s.Ready * s.Function.Concurrency }

// ReplicaTable holds all replicas of a worker. It is used by the fake workers of this package and by those of the
// simulation. The caller provides the time and the locking.
type ReplicaTable struct {
	sets  []*ReplicaSet
	byKey map[string]*ReplicaSet // by "function" or "function@digest"
}

// NewReplicaTable returns a table without replicas.
func NewReplicaTable(functions []Function) *ReplicaTable {
	t := &ReplicaTable{byKey: map[string]*ReplicaSet{}}
	for i := range functions {
		t.add(functions[i].Name, &ReplicaSet{Function: &functions[i]})
	}
	return t
}

func (t *ReplicaTable) add(key string, s *ReplicaSet) {
	t.sets = append(t.sets, s)
	t.byKey[key] = s
}

// All returns the sets of all functions and versions. The caller must not change the slice.
func (t *ReplicaTable) All() []*ReplicaSet { return t.sets }

// Lookup returns the replicas of a version, or those of a function without versions if digest is empty. It adds a set for
// a new version, and returns nil for an unknown function.
func (t *ReplicaTable) Lookup(function, digest string) *ReplicaSet {
	unversioned := t.byKey[function]
	if unversioned == nil || digest == "" {
		return unversioned
	}
	key := function + "@" + digest
	if s := t.byKey[key]; s != nil {
		return s
	}
	s := &ReplicaSet{Function: unversioned.Function, Digest: digest}
	t.add(key, s)
	return s
}

// HasOtherReadyVersion reports whether another version of the set's function is ready.
func (t *ReplicaTable) HasOtherReadyVersion(s *ReplicaSet) bool {
	for _, other := range t.sets {
		if other != s && other.Function == s.Function && other.Ready > 0 {
			return true
		}
	}
	return false
}

// MakeRoom evicts idle replicas of other sets, least recently used first, until one more replica of a set fits into the
// memory. It returns false if that is impossible.
func (t *ReplicaTable) MakeRoom(s *ReplicaSet, memoryMB float64) bool {
	for t.usedMemory()+s.Function.MemoryMB > memoryMB {
		var oldest *ReplicaSet
		for _, other := range t.sets {
			idle := other != s && other.Busy == 0 && other.Ready > 0
			if idle && (oldest == nil || other.IdleSince < oldest.IdleSince) {
				oldest = other
			}
		}
		if oldest == nil {
			return false
		}
		oldest.Ready = 0
	}
	return true
}

func (t *ReplicaTable) usedMemory() float64 {
	sum := 0.0
	for _, s := range t.sets {
		sum += float64(s.Ready+s.Loading) * s.Function.MemoryMB
	}
	return sum
}

// EvictIdle evicts replicas that have been idle for longer than lifetime, in seconds.
func (t *ReplicaTable) EvictIdle(now, lifetime float64) {
	for _, s := range t.sets {
		if s.Ready > 0 && s.Busy == 0 && now-s.IdleSince > lifetime {
			s.Ready = 0
		}
	}
}
