package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"

	"streamcleat/control"
)

// EndpointList is the list of workers as its file states it: what the routing decisions need, and the address of each.
type EndpointList struct {
	Workers   []control.Worker // in the file's order
	Addresses map[control.WorkerID]string
}

// endpointGroup is one group of the file: targets that share labels. It is an alias because errors of encoding/json show
// the name of a type to users.
type endpointGroup = struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Labels of a group.
const (
	labelInstance = "instance"
	labelZone     = "zone"
	labelKind     = "kind"
	labelCell     = "cell"
	labelSize     = "size"
	labelPhase    = "phase"
	labelStarted  = "started"
)

// Values of the phase label.
const (
	phaseServing  = "serving"
	phaseDraining = "draining"
)

// ParseEndpointList reads Prometheus file service discovery JSON: a list of groups with "targets" (host:port) and
// "labels". Labels read: "instance" (the worker's name; its target otherwise), "zone", "kind", "cell" (a whole number),
// "size" (above 0; 1 otherwise), "phase" (serving or draining) and "started" (Unix seconds of its start). Offset is
// added to Unix seconds, which makes them times of the caller's clock. Every fault is reported with its place. A list
// with a fault is refused as a whole: half a list would remove the other half of the workers.
func ParseEndpointList(data []byte, offset float64) (*EndpointList, error) {
	var groups []endpointGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, fmt.Errorf("list of workers: %w", err)
	}
	parser := endpointParser{list: &EndpointList{Addresses: map[control.WorkerID]string{}}, offset: offset}
	for i, group := range groups {
		parser.group = i
		parser.addGroup(group)
	}
	if len(parser.faults) > 0 {
		return nil, fmt.Errorf("list of workers: %w", errors.Join(parser.faults...))
	}
	return parser.list, nil
}

// EndpointError is one fault of an endpoint list.
type EndpointError struct {
	Place   string // path in the document, as in /0/labels/size
	Problem string
}

func (f *EndpointError) Error() string { return f.Place + ": " + f.Problem }

// endpointParser collects workers and faults group by group.
type endpointParser struct {
	list   *EndpointList
	offset float64
	group  int // index of the group that is read
	faults []error
}

func (p *endpointParser) fault(place, format string, args ...any) {
	p.faults = append(p.faults, &EndpointError{Place: fmt.Sprintf("/%d/%s", p.group, place), Problem: fmt.Sprintf(format, args...)})
}

func (p *endpointParser) addGroup(group endpointGroup) {
	worker := p.worker(group.Labels)
	if len(group.Targets) > 1 && group.Labels[labelInstance] != "" {
		p.fault("labels/"+labelInstance, "one name for %d targets", len(group.Targets))
	}
	for i, target := range group.Targets {
		place := fmt.Sprintf("targets/%d", i)
		if !isHostPort(target) {
			p.fault(place, "%q is not host:port", target)
			continue
		}
		worker.ID = control.WorkerID(group.Labels[labelInstance])
		if worker.ID == "" {
			worker.ID = control.WorkerID(target)
		}
		if p.list.Addresses[worker.ID] != "" {
			p.fault(place, "worker %q is listed twice", worker.ID)
			continue
		}
		p.list.Addresses[worker.ID] = target
		p.list.Workers = append(p.list.Workers, worker)
	}
}

// worker is what the labels say of each worker of a group.
func (p *endpointParser) worker(labels map[string]string) control.Worker {
	worker := control.Worker{Zone: control.ZoneID(labels[labelZone]), MachineType: control.MachineType(labels[labelKind]), Weight: 1}
	if cell, ok := p.number(labels, labelCell); ok {
		worker.FailureDomain = int(cell)
	}
	if size, ok := p.number(labels, labelSize); ok {
		worker.Weight = size
		if size <= 0 {
			p.fault("labels/"+labelSize, "%v is not above 0", size)
		}
	}
	if started, ok := p.number(labels, labelStarted); ok {
		worker.StartedAt = started + p.offset
	}
	switch phase := labels[labelPhase]; phase {
	case "", phaseServing:
	case phaseDraining:
		worker.State = control.Draining
	default:
		p.fault("labels/"+labelPhase, "%q is neither serving nor draining", phase)
	}
	return worker
}

// number reads a numeric label; it returns false where the label is absent or at fault.
func (p *endpointParser) number(labels map[string]string, label string) (float64, bool) {
	text, ok := labels[label]
	if !ok {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		p.fault("labels/"+label, "%q is not a number", text)
		return 0, false
	}
	return value, true
}

func isHostPort(target string) bool {
	host, port, err := net.SplitHostPort(target)
	if err != nil || host == "" {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Diff returns the workers whose entry differs in the newer list, removed ones included as control.Gone; nil where
// nothing differs. A worker of the same name at another address counts as restarted.
func Diff(previous, next *EndpointList) (changed []control.Worker) {
	if previous == nil {
		return next.Workers
	}
	before := make(map[control.WorkerID]control.Worker, len(previous.Workers))
	for _, worker := range previous.Workers {
		before[worker.ID] = worker
	}
	for _, worker := range next.Workers {
		if before[worker.ID] != worker || previous.Addresses[worker.ID] != next.Addresses[worker.ID] {
			changed = append(changed, worker)
		}
	}
	for _, worker := range previous.Workers {
		if next.Addresses[worker.ID] == "" {
			worker.State = control.Removed
			changed = append(changed, worker)
		}
	}
	return changed
}
