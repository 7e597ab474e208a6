package fakes

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/google/renameio/v2"

	"streamcleat/internal/invariants"
)

// List is the list of workers as a file in the form of Prometheus file service discovery.
type List struct {
	mu    sync.Mutex
	path  string
	tape  *invariants.Tape
	lines []Line
}

// Line is one worker in the list.
type Line struct {
	Worker *Worker
	Phase  string // serving or draining; a worker that is gone has no line
}

// NewList writes the list for the first time.
func NewList(path string, tape *invariants.Tape, workers []*Worker) (*List, error) {
	l := &List{path: path, tape: tape}
	for _, w := range workers {
		l.lines = append(l.lines, Line{w, "serving"})
	}
	return l, l.write()
}

// Set changes or adds a worker's line; phase "gone" removes it. What is told counts from before the file is there.
func (l *List) Set(w *Worker, phase string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, cold := w.Began()
	born := 0.0
	if cold {
		born = float64(at.UnixNano()) / 1e9
	}
	kept := l.lines[:0]
	for _, line := range l.lines {
		if line.Worker != w {
			kept = append(kept, line)
		}
	}
	l.lines = kept
	if phase != "gone" {
		l.lines = append(l.lines, Line{w, phase})
	}
	l.tape.Add(invariants.Record{Kind: invariants.Told, Worker: w.Name(), Phase: phase, Born: born})
	return l.write()
}

func (l *List) write() error {
	groups := []map[string]any{}
	for _, line := range l.lines {
		w := line.Worker
		labels := map[string]string{"instance": w.Name(), "phase": line.Phase, "kind": w.spec.Kind, "zone": "room-1",
			"size": fmt.Sprintf("%g", float64(w.spec.Cores)*w.spec.Speed)}
		if at, cold := w.Began(); cold {
			labels["started"] = fmt.Sprintf("%.3f", float64(at.UnixNano())/1e9)
		}
		groups = append(groups, map[string]any{"targets": []string{w.Addr()}, "labels": labels})
	}
	data, err := json.MarshalIndent(groups, "", " ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(l.path, data, 0o644)
}
