package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// Discovery builds the endpoint list from the numbered events of the discovery service.
type Discovery struct {
	position int64
	hosts    []host // in the order they were first listed
	starts   startTimes
}

// startTimes holds the start times of workers on the caller's clock, converted when they were first listed.
type startTimes struct {
	clock upstream.StartTimeConverter
	known map[startKey]float64
}

// startKey identifies a process of a worker: a restarted worker has the same name and another start time.
type startKey struct {
	host        string
	startedAtMs float64
}

const millisecondsPerSecond = 1000

// ErrMissingEvents is wrapped by ReadLine's error for a line that can't be applied because preceding events are missing.
var ErrMissingEvents = errors.New("preceding events missing")

// NewDiscovery returns a Discovery with an empty list at position 0.
func NewDiscovery() *Discovery { return &Discovery{} }

// Position returns the number of the last event applied.
func (d *Discovery) Position() int64 { return d.position }

// ResumeRequest returns the first line to send on a new connection. It requests all events after Position.
func (d *Discovery) ResumeRequest() []byte { return fmt.Appendf(nil, "tail %d\n", d.position) }

// ReadSnapshot applies the events of the configuration document. It ignores the position in the document, which may be ahead
// of the document's events; ResumeRequest requests the missing events.
func (d *Discovery) ReadSnapshot(data []byte) error {
	var snapshot struct {
		Entries []json.RawMessage `json:"entries"`
	}
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	for i, line := range snapshot.Entries {
		if _, err := d.ReadLine(line); err != nil {
			return fmt.Errorf("entries/%d: %w", i, err)
		}
	}
	return nil
}

// LineEffect is the effect of a line from the service on the endpoint list.
type LineEffect int

// Effects of lines.
const (
	Ignored  LineEffect = iota // an event that was already applied, an older position, or an empty line
	UpToDate                   // the service has no event after Position
	Changed                    // the list has changed; further events may follow
)

// ReadLine applies a line from the service. It returns an error if the line is malformed or preceding events are missing. The
// line then has no effect, and the caller must resume from Position.
func (d *Discovery) ReadLine(line []byte) (LineEffect, error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return Ignored, nil
	}
	e, err := parseEntry(line)
	switch {
	case err != nil:
		return Ignored, fmt.Errorf("line %.60q: %w", line, err)
	case e.Update == nil && e.Position == d.position:
		return UpToDate, nil
	case e.Position <= d.position: // already applied
		return Ignored, nil
	case e.Update == nil || e.Position != d.position+1 && !e.Update.Complete:
		return Ignored, fmt.Errorf("event %d after %d: %w", e.Position, d.position, ErrMissingEvents)
	}
	for _, h := range e.Update.Hosts {
		if err := h.validate(); err != nil {
			return Ignored, fmt.Errorf("event %d: worker %.40q: %w", e.Position, h.Name, err)
		}
	}
	d.position = e.Position
	if e.Update.Complete {
		d.hosts = nil
	}
	for _, h := range e.Update.Hosts {
		d.apply(h)
	}
	return Changed, nil
}

// apply adds, replaces or removes a worker. Of several that are listed at one address, all but the successor have gone, and what is
// sent to them would reach it.
func (d *Discovery) apply(h host) {
	if slices.ContainsFunc(d.hosts, func(listed host) bool { return listed.succeeds(h) }) {
		h.State = stateRemoved
	}
	if h.State != stateRemoved {
		d.hosts = slices.DeleteFunc(d.hosts, h.succeeds)
	}
	i := slices.IndexFunc(d.hosts, func(listed host) bool { return listed.Name == h.Name })
	switch {
	case i < 0 && h.State != stateRemoved:
		d.hosts = append(d.hosts, h)
	case i >= 0 && h.State == stateRemoved:
		d.hosts = slices.Delete(d.hosts, i, i+1)
	case i >= 0:
		d.hosts[i] = h
	}
}

// succeeds reports whether h took the address of another worker: it started later or, if the service states the same time for both, it
// serves.
func (h *host) succeeds(other host) bool {
	if h.Name == other.Name || h.Address != other.Address {
		return false
	}
	return h.StartedAtMs > other.StartedAtMs || h.StartedAtMs == other.StartedAtMs && h.State == stateServing && other.State != stateServing
}

// EndpointList returns the current list, given the time on the caller's clock and the wall-clock time in Unix seconds.
// A start time is converted to the caller's clock when it is first listed and does not change afterwards.
func (d *Discovery) EndpointList(now, wall units.Seconds) *upstream.EndpointList {
	known := make(map[startKey]float64, len(d.starts.known))
	list := &upstream.EndpointList{Addresses: make(map[control.WorkerID]string, len(d.hosts))}
	for _, h := range d.hosts {
		worker := h.worker()
		if h.StartedAtMs > 0 {
			key := startKey{h.Name, h.StartedAtMs}
			startedAt, converted := d.starts.known[key]
			if !converted {
				startedAt = float64(d.starts.clock.StartedAt(units.Seconds(h.StartedAtMs/millisecondsPerSecond), now, wall))
			}
			known[key], worker.StartedAt = startedAt, units.Seconds(startedAt)
		}
		worker.Address = h.Address
		list.Addresses[worker.ID] = h.Address
		list.Workers = append(list.Workers, worker)
	}
	d.starts.known = known // drops the start times of removed workers
	return list
}
