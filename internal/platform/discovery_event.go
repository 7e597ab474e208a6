package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"streamcleat/control"
)

// States of a worker in events.
const (
	stateServing  = "active"
	stateDraining = "leaving"
	stateRemoved  = "left"
)

// host is a worker in an event. The names of the types host and entry follow the service's keys, since encoding/json
// prints them in errors shown to users.
type host struct {
	Name          string   `json:"host"`
	Address       string   `json:"dial"`
	Zone          string   `json:"site"`
	MachineType   string   `json:"class"`
	FailureDomain int      `json:"block"`
	State         string   `json:"health"`
	Weight        *float64 `json:"share"`
	StartedAtMs   float64  `json:"born_ms"` // Unix time
}

// entry is a numbered event. Without an update it only gives the position of the service's last event.
type entry struct {
	Position int64 `json:"pos"`
	Update   *struct {
		Complete bool   `json:"whole"` // Hosts lists all workers, not only those that changed
		Hosts    []host `json:"hosts"`
	} `json:"hosts"`
}

// errMissingHost reports a worker without a name.
var errMissingHost = errors.New("host: missing")

// parseEntry parses an event or a line that consists of the position of the service's last event.
func parseEntry(line []byte) (entry, error) {
	var e entry
	if line[0] == '{' {
		err := json.Unmarshal(line, &e)
		return e, err
	}
	err := json.Unmarshal(line, &e.Position)
	return e, err
}

// validate returns an error if the worker is invalid.
func (h *host) validate() error {
	if h.Name == "" {
		return errMissingHost
	}
	switch h.State {
	case stateRemoved:
		return nil
	case stateServing, stateDraining:
		_, err := netip.ParseAddrPort(h.Address)
		return err
	}
	return fmt.Errorf("health: %.40q is not active, leaving or left", h.State)
}

// worker converts a host to a control.Worker without its start time.
func (h *host) worker() control.Worker {
	worker := control.Worker{
		ID: control.WorkerID(h.Name), Zone: control.ZoneID(h.Zone),
		MachineType: control.MachineType(h.MachineType), FailureDomain: h.FailureDomain, Weight: 1,
	}
	if h.Weight != nil {
		worker.Weight = *h.Weight
	}
	if h.State == stateDraining {
		worker.State = control.Draining
	}
	return worker
}
