package simulation

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"streamcleat/internal/appliance"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
	"streamcleat/internal/proxy"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
	"streamcleat/internal/verification/invariants"
)

const (
	clusterName        = "sim"
	listResyncInterval = 2 // seconds between reads of the endpoint list in the absence of change notifications
)

// frontEnd is a front end of an appliance. Its name and address persist when the process restarts.
type frontEnd struct {
	appliance    *applianceProcess
	name         string
	addr         string
	number       int          // index among all front ends of the site
	proxy        *proxy.Proxy // nil while the process is down
	timer        *event
	workerStates map[string]string  // as last read from the endpoint list, by worker name
	coldStarts   map[string]float64 // times of cold starts as last read from the endpoint list, by worker name
	active       bool               // there was activity during the current event
}

// processName returns the name of the current process. Successive processes of a front end share only the state on disk.
func (f *frontEnd) processName() string { return fmt.Sprintf("%s/%d", f.name, f.appliance.boots) }

// start starts the front end with the state that was recovered by its appliance.
func (f *frontEnd) start() {
	a := f.appliance
	f.timer = nil
	f.workerStates, f.coldStarts = map[string]string{}, map[string]float64{}
	f.proxy = proxy.New(f.settings(), (*host)(f))
	a.after(proxy.SweepInterval, f.name+" sweeps", f.sweep)
	if a.site.endpointList != nil {
		f.readEndpointList()
	}
	a.after(listResyncInterval, f.name+" looks at the list", f.resyncEndpointList)
}

func (f *frontEnd) settings() proxy.Settings {
	a := f.appliance
	config, script := a.site.config, a.site.script
	settings := proxy.Settings{
		Name:             f.name,
		Cluster:          clusterName,
		Dispatch:         config.Dispatch(script.Seed*1000 + uint64(f.number)),
		Upstream:         config.Upstream(f.name),
		Downstream:       config.Downstream(),
		MaxClients:       config.Limits.MaxConnections,
		Recovered:        a.recovered.Records,
		ReplicaSnapshots: a.recovered.Replicas,
		RecordTimeout:    units.Seconds(config.Limits.ResponseMargin / 2),
	}
	if script.Versions {
		settings.Dispatch.ResolveVersion, settings.Dispatch.VersionAllowed = a.resolveVersion, a.isVersionAllowed
	}
	frontEnds := len(a.site.frontEnds)
	settings.Dispatch.Deployment.FrontEnds, settings.Dispatch.Deployment.GossipAllowed = frontEnds, frontEnds > 1
	if a.store != nil {
		settings.RecordStore = a
	}
	return settings
}

func (f *frontEnd) sweep() {
	f.proxy.Sweep()
	f.appliance.after(proxy.SweepInterval, f.name+" sweeps", f.sweep)
}

func (f *frontEnd) resyncEndpointList() {
	f.readEndpointList()
	f.appliance.after(listResyncInterval, f.name+" looks at the list", f.resyncEndpointList)
}

// readEndpointList passes the endpoint list to the proxy and records the changes for the checker of invariants.
func (f *frontEnd) readEndpointList() {
	s := f.appliance.site
	if err := f.proxy.ReadEndpointList(s.endpointList); err != nil {
		s.violation("list", "%s: %v", f.name, err)
	}
	for _, w := range s.workers {
		phase := w.state
		if !w.listed {
			phase = stateRemoved
		}
		if w.coldSince > 0 && units.Seconds(f.coldStarts[w.name]) != w.coldSince {
			f.coldStarts[w.name] = float64(w.coldSince)
			s.recorder.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: w.name, FrontEnd: f.processName(), StartedAt: float64(w.coldSince)})
		}
		if f.workerStates[w.name] != phase {
			f.workerStates[w.name] = phase
			s.recorder.Add(invariants.Record{Kind: invariants.EndpointUpdated, Worker: w.name, EndpointState: phase, FrontEnd: f.processName()})
		}
	}
}

// accept accepts a client's connection, unless the appliance is not yet recovering or the proxy rejects the connection.
func (f *frontEnd) accept(e *endpoint) bool {
	state := f.appliance.lifecycle.State
	if f.proxy == nil || state < appliance.Serving && state != appliance.Recovering {
		return false
	}
	client := f.proxy.Accept(proxyConn{e})
	if client == nil {
		return false
	}
	e.onData = func(data []byte) { f.proxy.OnClientData(client, data) }
	e.onClosed = func() {
		e.close()
		f.proxy.OnClientClosed(client)
	}
	return true
}

// markActive marks the front end as active during the current event, so that its state is checked after the event.
func (f *frontEnd) markActive() {
	if !f.active {
		f.active = true
		f.appliance.site.activeFrontEnds = append(f.appliance.site.activeFrontEnds, f)
	}
}

// proxyConn implements proxy.Conn by an endpoint.
type proxyConn struct{ end *endpoint }

// Write implements proxy.Conn.
func (c proxyConn) Write(data []byte) { c.end.write(data) }

// Close implements proxy.Conn. Data that was already written is still delivered.
func (c proxyConn) Close() { c.end.close() }

// CloseWrite implements proxy.Conn.
func (c proxyConn) CloseWrite() { c.end.closeWrite() }

// Unsent implements proxy.Conn.
func (c proxyConn) Unsent() int { return c.end.unsent() }

// RemoteAddr implements proxy.Conn.
func (c proxyConn) RemoteAddr() string { return c.end.conn.name }

// ReadAhead implements proxy.Conn. No data is read ahead, as data is passed on on arrival.
func (c proxyConn) ReadAhead() ([]byte, bool) { return nil, true }

// InputAge implements proxy.Conn. The age is 0, as data is passed on on arrival.
func (c proxyConn) InputAge() units.Seconds { return 0 }

// host implements proxy.Host, which provides a front end's proxy with clock, timers and network.
type host frontEnd

// Now implements proxy.Host.
func (h *host) Now() units.Seconds {
	(*frontEnd)(h).markActive()
	return h.appliance.monotonic()
}

// Wall implements proxy.Host.
func (h *host) Wall() time.Time { return h.appliance.wallClock() }

// SetTimer implements proxy.Host.
func (h *host) SetTimer(at units.Seconds) {
	f := (*frontEnd)(h)
	f.timer.cancel()
	f.timer = f.appliance.after(at-f.appliance.monotonic(), f.name+" wakes", func() { f.proxy.Tick() })
}

// After implements proxy.Host.
func (h *host) After(seconds units.Seconds, do func()) {
	h.appliance.after(seconds, h.name+" after", do)
}

// Post implements proxy.Host.
func (h *host) Post(do func()) { h.appliance.after(0, h.name+" posted", do) }

// Dial implements proxy.Host.
func (h *host) Dial(id upstream.ConnID, addr string) {
	f := (*frontEnd)(h)
	s := f.appliance.site
	s.network.dial(&f.appliance.process, addr, units.Seconds(s.config.Workers.DialTimeout), func(e *endpoint, err error) {
		if err != nil {
			f.proxy.OnDialed(id, nil, err)
			return
		}
		onResponseData := f.recordAttempts(e, addr)
		e.onData = func(data []byte) {
			onResponseData(data)
			f.proxy.OnUpstreamData(id, data)
		}
		e.onClosed = func() {
			e.close()
			f.proxy.OnUpstreamClosed(id)
		}
		f.proxy.OnDialed(id, proxyConn{e}, nil)
	})
}

// Broadcast implements proxy.Host.
func (h *host) Broadcast(data []byte) {
	s := h.appliance.site
	for _, other := range s.frontEnds {
		if other.number == h.number {
			continue
		}
		s.network.sendDatagram(&h.appliance.process, &other.appliance.process, data, func(data []byte) {
			if other.proxy != nil {
				other.proxy.OnDatagram(data)
			}
		})
	}
}

// attemptRecorder parses the data on one connection to a worker, at the front end's side, and records the attempts for the
// checker of invariants.
type attemptRecorder struct {
	frontEnd  *frontEnd
	worker    string
	requests  *http1.Framer
	responses *http1.Framer
	open      invariants.Record // the attempt in flight; its RequestID is empty if there is none
}

// recordAttempts records the attempts on a connection. The caller must pass received data to onResponseData.
func (f *frontEnd) recordAttempts(e *endpoint, addr string) (onResponseData func([]byte)) {
	worker, _, _ := strings.Cut(addr, ":")
	r := &attemptRecorder{
		frontEnd: f, worker: worker, requests: http1.NewRequestFramer(messageLimits),
		responses: http1.NewResponseFramer(messageLimits),
	}
	e.onWrite = r.onRequestData
	e.onFinished = r.end
	return r.onResponseData
}

func (r *attemptRecorder) onRequestData(data []byte) {
	r.requests.Feed(bytes.Clone(data))
	for {
		m, err := r.requests.Next()
		if err != nil {
			r.frontEnd.appliance.site.violation("wire", "%s sent %s a malformed request: %v", r.frontEnd.name, r.worker, err)
			return
		}
		if m == nil {
			return
		}
		r.onRequest(m)
	}
}

func (r *attemptRecorder) onRequest(m *http1.Message) {
	s, f := r.frontEnd.appliance.site, r.frontEnd
	switch {
	case strings.HasSuffix(m.Target, "/infer"):
		r.open = invariants.Record{
			Kind:      invariants.AttemptStarted,
			Worker:    r.worker,
			Function:  strings.Split(m.Target, "/")[3],
			Digest:    strings.Trim(m.Header.Get("If-Match"), `"`),
			FrontEnd:  f.processName(),
			CallID:    s.recorder.NextCallID(),
			RequestID: m.Header.Get("Ce-Source") + "#" + m.Header.Get("Ce-Id"),
			Class:     m.Header.Get("Ce-Type"),
		}
		s.recorder.Add(r.open)
		s.latestAttempts[f.name+" "+r.open.RequestID] = r.open.CallID
	case strings.HasSuffix(m.Target, "/load"):
		s.recorder.Add(invariants.Record{Kind: invariants.LoadCommanded, Worker: r.worker, FrontEnd: f.processName(), Replicas: 1})
	}
}

func (r *attemptRecorder) onResponseData(data []byte) {
	r.responses.Feed(bytes.Clone(data))
	if m, err := r.responses.Next(); m != nil || err != nil {
		r.end()
	}
}

// end records the end of the attempt in flight, if there is one.
func (r *attemptRecorder) end() {
	if r.open.RequestID == "" {
		return
	}
	r.open.Kind = invariants.AttemptEnded
	r.frontEnd.appliance.site.recorder.Add(r.open)
	r.open = invariants.Record{}
}

// sortedCalls returns the call IDs of requests in ascending order, so that the trace is deterministic.
func sortedCalls(calls map[dispatch.Identity]uint64) []uint64 {
	list := slices.Collect(maps.Values(calls))
	slices.Sort(list)
	return list
}
