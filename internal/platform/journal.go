package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"streamcleat/control"
	"streamcleat/internal/upstream"
)

// Discovery is the list of workers as the journal service's numbered events make it.
type Discovery struct {
	pos   int64
	hosts []host // in the order they were first named
}

type host struct {
	Host   string   `json:"host"`
	Dial   string   `json:"dial"`
	Site   string   `json:"site"`
	Class  string   `json:"class"`
	Block  int      `json:"block"`
	Health string   `json:"health"`
	Share  *float64 `json:"share"`
	BornMs float64  `json:"born_ms"`
}

type entry struct {
	Pos   int64 `json:"pos"`
	Hosts *struct {
		Whole bool   `json:"whole"`
		Hosts []host `json:"hosts"`
	} `json:"hosts"`
}

// NewDiscovery is the state before the first event.
func NewDiscovery() *Discovery { return &Discovery{} }

// Position is the number of the last event that was taken.
func (j *Discovery) Position() int64 { return j.pos }

// ResumeRequest is what a new connection begins with: it asks for all that came after the last event taken.
func (j *Discovery) ResumeRequest() []byte { return fmt.Appendf(nil, "tail %d\n", j.pos) }

// ReadSnapshot takes the events up to the start. What the document's own number is ahead of them is asked for.
func (j *Discovery) ReadSnapshot(data []byte) error {
	var doc struct {
		Entries []json.RawMessage `json:"entries"`
	}
	if err := json.Unmarshal(data, &doc); err != nil {
		return err
	}
	for i, e := range doc.Entries {
		if _, err := j.ReadLine(e); err != nil {
			return fmt.Errorf("entries/%d: %w", i, err)
		}
	}
	return nil
}

var errGap = errors.New("events are missing")

// ReadLine takes one line of the service and tells whether it changed the list. An error tells that a line is broken or
// that events before it are missing: nothing of it was taken, and the service is to be asked again.
func (j *Discovery) ReadLine(line []byte) (changed bool, err error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return false, nil
	}
	var e entry
	if line[0] != '{' { // the last number alone
		err = json.Unmarshal(line, &e.Pos)
	} else {
		err = json.Unmarshal(line, &e)
	}
	switch {
	case err != nil:
		return false, fmt.Errorf("line %.60q: %w", line, err)
	case e.Pos <= j.pos: // told before
		return false, nil
	case e.Hosts == nil || e.Pos != j.pos+1 && !e.Hosts.Whole:
		return false, fmt.Errorf("event %d after %d: %w", e.Pos, j.pos, errGap)
	}
	for _, h := range e.Hosts.Hosts {
		if err := h.check(); err != nil {
			return false, fmt.Errorf("event %d: worker %.40q: %w", e.Pos, h.Host, err)
		}
	}
	j.pos = e.Pos
	if e.Hosts.Whole {
		j.hosts = nil
	}
	for _, h := range e.Hosts.Hosts {
		j.put(h)
	}
	return true, nil
}

func (h *host) check() error {
	if h.Host == "" {
		return errors.New("host: missing")
	}
	switch h.Health {
	case "left":
		return nil
	case "active", "leaving":
		_, err := netip.ParseAddrPort(h.Dial)
		return err
	}
	return fmt.Errorf("health: %.40q is not active, leaving or left", h.Health)
}

func (j *Discovery) put(h host) {
	for i := range j.hosts {
		if j.hosts[i].Host != h.Host {
			continue
		}
		if h.Health == "left" {
			j.hosts = append(j.hosts[:i], j.hosts[i+1:]...)
		} else {
			j.hosts[i] = h
		}
		return
	}
	if h.Health != "left" {
		j.hosts = append(j.hosts, h)
	}
}

// EndpointList is the list in force. Starts of workers become the caller's clock by offset, which is added to Unix seconds and
// must stay the same: a worker whose start changes counts as one that began anew.
func (j *Discovery) EndpointList(offset float64) *upstream.EndpointList {
	list := &upstream.EndpointList{Addresses: make(map[control.WorkerID]string, len(j.hosts))}
	for _, h := range j.hosts {
		wk := control.Worker{ID: control.WorkerID(h.Host), Zone: control.ZoneID(h.Site), MachineType: control.MachineType(h.Class),
			FailureDomain: h.Block, Weight: 1}
		if h.Share != nil {
			wk.Weight = *h.Share
		}
		if h.Health == "leaving" {
			wk.State = control.Draining
		}
		if h.BornMs > 0 {
			wk.StartedAt = h.BornMs/1000 + offset
		}
		list.Addresses[wk.ID] = h.Dial
		list.Workers = append(list.Workers, wk)
	}
	return list
}
