package fakes

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"streamcleat/internal/verification/invariants"
)

// Endpoint states of a worker.
const (
	stateServing = "serving"
	stateRemoved = "gone" // removed from the list
)

// EndpointList writes the endpoint list to a file in the format of Prometheus file service discovery.
type EndpointList struct {
	mu       sync.Mutex
	path     string
	recorder *invariants.Recorder
	entries  []listEntry
}

type listEntry struct {
	worker *Worker
	state  string
}

// TargetGroup is one entry of the file. The fields are in the order of their keys in the file.
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

// NewEndpointList writes a list in which all workers are serving.
func NewEndpointList(path string, recorder *invariants.Recorder, workers []*Worker) (*EndpointList, error) {
	l := &EndpointList{path: path, recorder: recorder}
	for _, w := range workers {
		l.entries = append(l.entries, listEntry{w, stateServing})
	}
	if err := l.prepare(); err != nil {
		return nil, err
	}
	return l, l.publish()
}

// SetState changes or adds a worker's entry; the state "gone" removes it. It records the change between writing the new file
// and renaming it, so that no front end reads a change that is not yet recorded, and no slow write counts as time of the notice.
func (l *EndpointList) SetState(w *Worker, state string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	startedAt, cold := w.StartedAt()
	started := 0.0
	if cold {
		started = unixSeconds(startedAt)
	}
	l.entries = slices.DeleteFunc(l.entries, func(entry listEntry) bool { return entry.worker == w })
	if state != stateRemoved {
		l.entries = append(l.entries, listEntry{w, state})
	}
	if err := l.prepare(); err != nil {
		return err
	}
	l.recorder.Add(invariants.Record{Kind: invariants.EndpointUpdated, Worker: w.Name(), EndpointState: state, StartedAt: started})
	return l.publish()
}

// preparedPath returns the path of the file that replaces the list.
func (l *EndpointList) preparedPath() string { return l.path + ".next" }

// prepare writes the entries to a file beside the list.
func (l *EndpointList) prepare() error {
	groups := []TargetGroup{}
	for _, entry := range l.entries {
		groups = append(groups, entry.targetGroup())
	}
	data, err := json.MarshalIndent(groups, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(l.preparedPath(), data, 0o644)
}

// publish replaces the list by the prepared file in one step.
func (l *EndpointList) publish() error { return os.Rename(l.preparedPath(), l.path) }

func (e listEntry) targetGroup() TargetGroup {
	config := e.worker.config
	labels := &TargetLabels{
		Instance: config.Name,
		Kind:     config.MachineType,
		Phase:    e.state,
		Size:     fmt.Sprintf("%g", float64(config.Cores)*config.Speed),
		Zone:     "room-1",
	}
	if startedAt, cold := e.worker.StartedAt(); cold {
		labels.Started = fmt.Sprintf("%.3f", unixSeconds(startedAt))
	}
	return TargetGroup{Labels: labels, Targets: []string{e.worker.Addr()}}
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }
