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

// Listed is the list of workers as a file tells it: what goes to the decisions, and where each is reached.
type Listed struct {
	Workers []control.Worker // in the file's order
	Address map[control.WorkerID]string
}

// ReadList reads Prometheus file service discovery JSON: a list of groups with "targets" (host:port) and "labels".
// Labels read: "instance" (the worker's name; its target otherwise), "zone", "kind", "cell" (a whole number),
// "size" (above 0; 1 otherwise), "phase" (serving or draining) and "started" (Unix seconds of its start). Unix
// seconds become the caller's clock by offset, which is added. Every fault is reported with its place, and then
// the list is of no use: half a list would take the other half for gone.
func ReadList(data []byte, offset float64) (*Listed, error) {
	var groups []struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, fmt.Errorf("list of workers: %w", err)
	}
	list := &Listed{Address: map[control.WorkerID]string{}}
	var faults []error
	for g, group := range groups {
		fault := func(place, format string, args ...any) {
			faults = append(faults, fmt.Errorf("/%d/%s: %s", g, place, fmt.Sprintf(format, args...)))
		}
		wk := control.Worker{Zone: control.ZoneID(group.Labels["zone"]), Kind: control.KindID(group.Labels["kind"]),
			Size: 1}
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
			wk.Cell = int(v)
		}
		if v, ok := number("size"); ok {
			if wk.Size = v; v <= 0 {
				fault("labels/size", "%v is not above 0", v)
			}
		}
		if v, ok := number("started"); ok {
			wk.Born = v + offset
		}
		switch phase := group.Labels["phase"]; phase {
		case "", "serving":
		case "draining":
			wk.Phase = control.Draining
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
			if list.Address[wk.ID] != "" {
				fault(fmt.Sprintf("targets/%d", t), "worker %q is listed twice", wk.ID)
				continue
			}
			list.Address[wk.ID] = target
			list.Workers = append(list.Workers, wk)
		}
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("list of workers: %w", errors.Join(faults...))
	}
	return list, nil
}

// Change is what a newer list changes in an older one, gone workers included; nil where nothing does. A worker
// of the same name at another address is one that started anew.
func Change(old, next *Listed) (change []control.Worker) {
	if old == nil {
		return next.Workers
	}
	was := make(map[control.WorkerID]control.Worker, len(old.Workers))
	for _, wk := range old.Workers {
		was[wk.ID] = wk
	}
	for _, wk := range next.Workers {
		if was[wk.ID] != wk || old.Address[wk.ID] != next.Address[wk.ID] {
			change = append(change, wk)
		}
	}
	for _, wk := range old.Workers {
		if next.Address[wk.ID] == "" {
			wk.Phase = control.Gone
			change = append(change, wk)
		}
	}
	return change
}
