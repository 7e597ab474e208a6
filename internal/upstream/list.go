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

// EndpointList is the list of workers as a file tells it: what goes to the decisions, and where each is reached.
type EndpointList struct {
	Workers   []control.Worker // in the file's order
	Addresses map[control.WorkerID]string
}

// ParseEndpointList reads Prometheus file service discovery JSON: a list of groups with "targets" (host:port) and "labels".
// Labels read: "instance" (the worker's name; its target otherwise), "zone", "kind", "cell" (a whole number),
// "size" (above 0; 1 otherwise), "phase" (serving or draining) and "started" (Unix seconds of its start). Unix
// seconds become the caller's clock by offset, which is added. Every fault is reported with its place, and then
// the list is of no use: half a list would take the other half for gone.
func ParseEndpointList(data []byte, offset float64) (*EndpointList, error) {
	var groups []struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, fmt.Errorf("list of workers: %w", err)
	}
	list := &EndpointList{Addresses: map[control.WorkerID]string{}}
	var faults []error
	for g, group := range groups {
		fault := func(place, format string, args ...any) {
			faults = append(faults, fmt.Errorf("/%d/%s: %s", g, place, fmt.Sprintf(format, args...)))
		}
		wk := control.Worker{Zone: control.ZoneID(group.Labels["zone"]), MachineType: control.MachineType(group.Labels["kind"]),
			Weight: 1}
		number := func(label string) (float64, bool) {
			text, ok := group.Labels[label]
			if !ok {
				return 0, false
			}
			v, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
				fault("labels/"+label, "%q is not a number", text)
				return 0, false
			}
			return v, true
		}
		if v, ok := number("cell"); ok {
			wk.FailureDomain = int(v)
		}
		if v, ok := number("size"); ok {
			if wk.Weight = v; v <= 0 {
				fault("labels/size", "%v is not above 0", v)
			}
		}
		if v, ok := number("started"); ok {
			wk.StartedAt = v + offset
		}
		switch phase := group.Labels["phase"]; phase {
		case "", "serving":
		case "draining":
			wk.State = control.Draining
		default:
			fault("labels/phase", "%q is neither serving nor draining", phase)
		}
		if len(group.Targets) > 1 && group.Labels["instance"] != "" {
			fault("labels/instance", "one name for %d targets", len(group.Targets))
		}
		for t, target := range group.Targets {
			host, port, err := net.SplitHostPort(target)
			if _, perr := strconv.ParseUint(port, 10, 16); err != nil || perr != nil || host == "" {
				fault(fmt.Sprintf("targets/%d", t), "%q is not host:port", target)
				continue
			}
			if wk.ID = control.WorkerID(group.Labels["instance"]); wk.ID == "" {
				wk.ID = control.WorkerID(target)
			}
			if list.Addresses[wk.ID] != "" {
				fault(fmt.Sprintf("targets/%d", t), "worker %q is listed twice", wk.ID)
				continue
			}
			list.Addresses[wk.ID] = target
			list.Workers = append(list.Workers, wk)
		}
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("list of workers: %w", errors.Join(faults...))
	}
	return list, nil
}

// Diff is what a newer list changes in an older one, gone workers included; nil where nothing does. A worker
// of the same name at another address is one that started anew.
func Diff(old, next *EndpointList) (change []control.Worker) {
	if old == nil {
		return next.Workers
	}
	was := make(map[control.WorkerID]control.Worker, len(old.Workers))
	for _, wk := range old.Workers {
		was[wk.ID] = wk
	}
	for _, wk := range next.Workers {
		if was[wk.ID] != wk || old.Addresses[wk.ID] != next.Addresses[wk.ID] {
			change = append(change, wk)
		}
	}
	for _, wk := range old.Workers {
		if next.Addresses[wk.ID] == "" {
			wk.State = control.Gone
			change = append(change, wk)
		}
	}
	return change
}
