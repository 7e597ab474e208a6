package fakes

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"streamcleat/internal/verification/invariants"
)

// Phases of a worker in the endpoint list.
const (
	phaseServing = "serving"
	phaseGone    = "gone" // has no entry
)

// EndpointList is the endpoint list as a file in the form of Prometheus file service discovery.
type EndpointList struct {
	mu      sync.Mutex
	path    string
	tape    *invariants.Recorder
	entries []listEntry
}

type listEntry struct {
	worker *Worker
	phase  string
}

// TargetGroup is one entry of the file. Its fields stand in the order of their keys.
type TargetGroup struct {
	Labels  *TargetLabels `json:"labels,omitempty"`
	Targets []string      `json:"targets"`
}

// TargetLabels describe the worker of an entry.
type TargetLabels struct {
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Phase    string `json:"phase"`
	Size     string `json:"size,omitempty"`
	Started  string `json:"started,omitempty"` // Unix seconds
	Zone     string `json:"zone,omitempty"`
}

// NewEndpointList writes the list for the first time, with all workers serving.
func NewEndpointList(path string, tape *invariants.Recorder, workers []*Worker) (*EndpointList, error) {
	l := &EndpointList{path: path, tape: tape}
	for _, w := range workers {
		l.entries = append(l.entries, listEntry{w, phaseServing})
	}
	return l, l.write()
}

// SetPhase changes or adds a worker's entry; phase "gone" removes it. The change is recorded before the file is written, so
// no front end learns of it earlier than the recording says.
func (l *EndpointList) SetPhase(w *Worker, phase string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	startedAt, cold := w.StartedAt()
	started := 0.0
	if cold {
		started = unixSeconds(startedAt)
	}
	kept := l.entries[:0]
	for _, entry := range l.entries {
		if entry.worker != w {
			kept = append(kept, entry)
		}
	}
	l.entries = kept
	if phase != phaseGone {
		l.entries = append(l.entries, listEntry{w, phase})
	}
	l.tape.Add(invariants.Record{Kind: invariants.EndpointUpdated, Worker: w.Name(), EndpointState: phase, StartedAt: started})
	return l.write()
}

func (l *EndpointList) write() error {
	groups := []TargetGroup{}
	for _, entry := range l.entries {
		groups = append(groups, entry.targetGroup())
	}
	data, err := json.MarshalIndent(groups, "", " ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(l.path, data, 0o644)
}

func (e listEntry) targetGroup() TargetGroup {
	spec := e.worker.spec
	labels := &TargetLabels{
		Instance: spec.Name,
		Kind:     spec.MachineType,
		Phase:    e.phase,
		Size:     fmt.Sprintf("%g", float64(spec.Cores)*spec.Speed),
		Zone:     "room-1",
	}
	if startedAt, cold := e.worker.StartedAt(); cold {
		labels.Started = fmt.Sprintf("%.3f", unixSeconds(startedAt))
	}
	return TargetGroup{Labels: labels, Targets: []string{e.worker.Addr()}}
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }
