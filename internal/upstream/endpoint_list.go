package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// EndpointList is a list of workers and their addresses.
type EndpointList struct {
	Workers   []control.Worker // in the order of the list
	Addresses map[control.WorkerID]string
}

// endpointGroup is a group of targets that share labels. It is an alias of an unnamed type because encoding/json prints
// type names in errors shown to users.
type endpointGroup = struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Labels that the parser reads; others are ignored.
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

// ParseEndpointList parses Prometheus file service discovery JSON: a list of groups with "targets" (host:port) and
// "labels". These labels are read: "instance" (worker ID; defaults to the target), "zone", "kind" (machine type), "cell"
// (failure domain, a number), "size" (weight, above 0; defaults to 1), "phase" (serving or draining) and "started" (start
// time in Unix seconds). The offset is added to start times to convert them to the caller's clock. The error joins one
// EndpointError for each invalid entry. A list with any invalid entry is rejected as a whole, because applying only the
// valid entries would remove the workers whose entries are invalid.
func ParseEndpointList(data []byte, offset units.Seconds) (*EndpointList, error) {
	var groups []endpointGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, fmt.Errorf("list of workers: %w", err)
	}
	parser := endpointParser{list: &EndpointList{Addresses: map[control.WorkerID]string{}}, offset: offset}
	for i, group := range groups {
		parser.group = i
		parser.addGroup(group)
	}
	if len(parser.errs) > 0 {
		return nil, fmt.Errorf("list of workers: %w", errors.Join(parser.errs...))
	}
	return parser.list, nil
}

// EndpointError describes an invalid value in an endpoint list.
type EndpointError struct {
	Path    string // JSON pointer, as in /0/labels/size
	Problem string
}

func (e *EndpointError) Error() string { return e.Path + ": " + e.Problem }

// endpointParser accumulates the workers and errors of the groups parsed so far.
type endpointParser struct {
	list   *EndpointList
	offset units.Seconds
	group  int // index of the current group
	errs   []error
}

func (p *endpointParser) errorf(path, format string, args ...any) {
	p.errs = append(p.errs, &EndpointError{Path: fmt.Sprintf("/%d/%s", p.group, path), Problem: fmt.Sprintf(format, args...)})
}

func (p *endpointParser) addGroup(group endpointGroup) {
	worker := p.worker(group.Labels)
	if len(group.Targets) > 1 && group.Labels[labelInstance] != "" {
		p.errorf("labels/"+labelInstance, "one name for %d targets", len(group.Targets))
	}
	for i, target := range group.Targets {
		path := fmt.Sprintf("targets/%d", i)
		if !isHostPort(target) {
			p.errorf(path, "%q is not host:port", target)
			continue
		}
		worker.ID = control.WorkerID(group.Labels[labelInstance])
		if worker.ID == "" {
			worker.ID = control.WorkerID(target)
		}
		if p.list.Addresses[worker.ID] != "" {
			p.errorf(path, "worker %q is listed twice", worker.ID)
			continue
		}
		worker.Address = target
		p.list.Addresses[worker.ID] = target
		p.list.Workers = append(p.list.Workers, worker)
	}
}

// worker returns a worker, without an ID, with the properties that a group's labels specify.
func (p *endpointParser) worker(labels map[string]string) control.Worker {
	worker := control.Worker{Zone: control.ZoneID(labels[labelZone]), MachineType: control.MachineType(labels[labelKind]), Weight: 1}
	if cell, ok := p.number(labels, labelCell); ok {
		worker.FailureDomain = int(cell)
	}
	if size, ok := p.number(labels, labelSize); ok {
		worker.Weight = size
		if size <= 0 {
			p.errorf("labels/"+labelSize, "%v is not above 0", size)
		}
	}
	if started, ok := p.number(labels, labelStarted); ok {
		worker.StartedAt = units.Seconds(started) + p.offset
	}
	switch phase := labels[labelPhase]; phase {
	case "", phaseServing:
	case phaseDraining:
		worker.State = control.Draining
	default:
		p.errorf("labels/"+labelPhase, "%q is neither serving nor draining", phase)
	}
	return worker
}

// number parses a numeric label. It returns false if the label is absent, and also adds an error if it is invalid.
func (p *endpointParser) number(labels map[string]string, label string) (float64, bool) {
	text, ok := labels[label]
	if !ok {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		p.errorf("labels/"+label, "%q is not a number", text)
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

// DiffEndpointLists returns the workers that were added or changed between two lists, followed by those that were removed,
// with state control.Removed. A worker with a new address counts as changed. A nil previous list counts as empty.
func DiffEndpointLists(previous, next *EndpointList) []control.Worker {
	if previous == nil {
		return next.Workers
	}
	before := make(map[control.WorkerID]control.Worker, len(previous.Workers))
	for _, worker := range previous.Workers {
		before[worker.ID] = worker
	}
	var changed []control.Worker
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
