package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/upstream"
)

// Discovery is the list of workers as the numbered watch events of the discovery service make it.
type Discovery struct {
	position int64
	hosts    []host // in the order they were first named
	starts   startTimes
}

// startTimes are the starts of workers on the caller's clock, as they were first heard of.
type startTimes struct {
	clock upstream.StartClock
	known map[startKey]float64
}

// startKey is a start as the service states it: of a worker with the same name another one is another process.
type startKey struct {
	host   string
	bornMs float64
}

const millisecondsPerSecond = 1000

// States of a worker as the service names them.
const (
	healthActive  = "active"
	healthLeaving = "leaving"
	healthLeft    = "left"
)

// host is one worker of an event. Errors of encoding/json show users the names and types of host and entry.
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

// entry is one event.
type entry struct {
	Pos   int64 `json:"pos"`
	Hosts *struct {
		Whole bool   `json:"whole"` // the hosts are all there are; otherwise those that changed
		Hosts []host `json:"hosts"`
	} `json:"hosts"`
}

// ErrMissingEvents is wrapped by the error of a line that can't be applied because events before it are missing.
var ErrMissingEvents = errors.New("events are missing")

// errMissingHost is the error of a worker without a name.
var errMissingHost = errors.New("host: missing")

// NewDiscovery returns the state before the first event.
func NewDiscovery() *Discovery { return &Discovery{} }

// Position is the number of the last event that was applied.
func (d *Discovery) Position() int64 { return d.position }

// ResumeRequest is the first line on a new connection: it asks for all events after the last that was applied.
func (d *Discovery) ResumeRequest() []byte { return fmt.Appendf(nil, "tail %d\n", d.position) }

// ReadSnapshot applies the events of the configuration document. The document's own number may be ahead of them; what
// is missing is asked for by ResumeRequest.
func (d *Discovery) ReadSnapshot(data []byte) error {
	var doc struct {
		Entries []json.RawMessage `json:"entries"`
	}
	if err := json.Unmarshal(data, &doc); err != nil {
		return err
	}
	for i, line := range doc.Entries {
		if _, err := d.ReadLine(line); err != nil {
			return fmt.Errorf("entries/%d: %w", i, err)
		}
	}
	return nil
}

// ReadLine applies one line of the service and reports whether it changed the list. After an error nothing of the line
// was applied, and the service is to be asked again: the line is malformed, or events before it are missing.
func (d *Discovery) ReadLine(line []byte) (changed bool, err error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return false, nil
	}
	e, err := parseEntry(line)
	switch {
	case err != nil:
		return false, fmt.Errorf("line %.60q: %w", line, err)
	case e.Pos <= d.position: // applied before
		return false, nil
	case e.Hosts == nil || e.Pos != d.position+1 && !e.Hosts.Whole:
		return false, fmt.Errorf("event %d after %d: %w", e.Pos, d.position, ErrMissingEvents)
	}
	for _, h := range e.Hosts.Hosts {
		if err := h.check(); err != nil {
			return false, fmt.Errorf("event %d: worker %.40q: %w", e.Pos, h.Host, err)
		}
	}
	d.position = e.Pos
	if e.Hosts.Whole {
		d.hosts = nil
	}
	for _, h := range e.Hosts.Hosts {
		d.apply(h)
	}
	return true, nil
}

// parseEntry reads an event, or a line that is only the number of the service's last event.
func parseEntry(line []byte) (e entry, err error) {
	if line[0] == '{' {
		err = json.Unmarshal(line, &e)
	} else {
		err = json.Unmarshal(line, &e.Pos)
	}
	return e, err
}

func (h *host) check() error {
	if h.Host == "" {
		return errMissingHost
	}
	switch h.Health {
	case healthLeft:
		return nil
	case healthActive, healthLeaving:
		_, err := netip.ParseAddrPort(h.Dial)
		return err
	}
	return fmt.Errorf("health: %.40q is not active, leaving or left", h.Health)
}

func (d *Discovery) apply(h host) {
	i := slices.IndexFunc(d.hosts, func(known host) bool { return known.Host == h.Host })
	switch {
	case i < 0 && h.Health != healthLeft:
		d.hosts = append(d.hosts, h)
	case i >= 0 && h.Health == healthLeft:
		d.hosts = slices.Delete(d.hosts, i, i+1)
	case i >= 0:
		d.hosts[i] = h
	}
}

// EndpointList is the list in force, with the starts of workers on the caller's clock. It is called with that clock's
// time and the time of day in Unix seconds.
func (d *Discovery) EndpointList(now, wall float64) *upstream.EndpointList {
	known := make(map[startKey]float64, len(d.starts.known))
	list := &upstream.EndpointList{Addresses: make(map[control.WorkerID]string, len(d.hosts))}
	for _, h := range d.hosts {
		worker := h.worker()
		if h.BornMs > 0 {
			key := startKey{h.Host, h.BornMs}
			startedAt, heard := d.starts.known[key]
			if !heard {
				startedAt = d.starts.clock.StartedAt(h.BornMs/millisecondsPerSecond, now, wall)
			}
			known[key], worker.StartedAt = startedAt, startedAt
		}
		list.Addresses[worker.ID] = h.Dial
		list.Workers = append(list.Workers, worker)
	}
	d.starts.known = known // of workers that are gone none is kept
	return list
}

func (h *host) worker() control.Worker {
	worker := control.Worker{
		ID: control.WorkerID(h.Host), Zone: control.ZoneID(h.Site),
		MachineType: control.MachineType(h.Class), FailureDomain: h.Block, Weight: 1,
	}
	if h.Share != nil {
		worker.Weight = *h.Share
	}
	if h.Health == healthLeaving {
		worker.State = control.Draining
	}
	return worker
}
