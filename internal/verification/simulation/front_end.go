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
	"streamcleat/internal/upstream"
	"streamcleat/internal/verification/invariants"
)

const (
	clusterName        = "sim"
	listResyncInterval = 2 // seconds between looks at the endpoint list without a change
)

// frontEnd is one front end of an appliance. It outlives the process: clients know it by its address.
type frontEnd struct {
	appliance *applianceProcess
	name      string
	addr      string
	number    int          // among all
	proxy     *proxy.Proxy // nil while the process is down
	timer     *event
	phases    map[string]string  // of workers, as it read them
	started   map[string]float64 // cold starts of workers, as it learned of them
	touched   bool               // something happened in it during this event
}

// processTag names one process of a front end: a new one shares nothing with the last but the state on disk.
func (f *frontEnd) processTag() string { return fmt.Sprintf("%s/%d", f.name, f.appliance.boots) }

// start starts the front end with what its appliance recovered.
func (f *frontEnd) start() {
	a := f.appliance
	f.timer = nil
	f.phases, f.started = map[string]string{}, map[string]float64{}
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
		RecordTimeout:    config.Limits.ResponseMargin / 2,
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

// readEndpointList reads the endpoint list as it now is, and records what is new in it.
func (f *frontEnd) readEndpointList() {
	s := f.appliance.site
	if err := f.proxy.ReadEndpointList(s.endpointList); err != nil {
		s.violation("list", "%s: %v", f.name, err)
	}
	for _, w := range s.workers {
		phase := w.phase
		if !w.listed {
			phase = phaseGone
		}
		if w.startedCold > 0 && f.started[w.name] != w.startedCold {
			f.started[w.name] = w.startedCold
			s.recorder.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: w.name, FrontEnd: f.processTag(), StartedAt: w.startedCold})
		}
		if f.phases[w.name] != phase {
			f.phases[w.name] = phase
			s.recorder.Add(invariants.Record{Kind: invariants.EndpointUpdated, Worker: w.name, EndpointState: phase, FrontEnd: f.processTag()})
		}
	}
}

// accept takes a connection of a client, while the appliance serves or recovers.
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

// touch notes that something happens in the front end during this event.
func (f *frontEnd) touch() {
	if !f.touched {
		f.touched = true
		f.appliance.site.touched = append(f.appliance.site.touched, f)
	}
}

// proxyConn is a connection as the proxy has it.
type proxyConn struct{ end *endpoint }

// Write sends bytes.
func (c proxyConn) Write(data []byte) { c.end.write(data) }

// Close closes the connection once what was written is sent.
func (c proxyConn) Close() { c.end.close() }

// CloseWrite closes the direction towards the peer.
func (c proxyConn) CloseWrite() { c.end.closeWrite() }

// Unsent returns the number of bytes that the kernel has not taken.
func (c proxyConn) Unsent() int { return c.end.unsent() }

// RemoteAddr returns the connection's name.
func (c proxyConn) RemoteAddr() string { return c.end.conn.name }

// ReadAhead has nothing: what arrives is handed over at once.
func (c proxyConn) ReadAhead() ([]byte, bool) { return nil, true }

// InputAge implements proxy.Conn. Bytes are handed over as they come.
func (c proxyConn) InputAge() float64 { return 0 }

// host is the clock, timers and network that a front end's proxy runs on.
type host frontEnd

// Now returns the machine's monotonic clock in seconds.
func (h *host) Now() float64 {
	(*frontEnd)(h).touch()
	return h.appliance.monotonic()
}

// Wall returns the machine's time of day.
func (h *host) Wall() time.Time { return h.appliance.wallClock() }

// SetTimer replaces the timer of the proxy's Tick.
func (h *host) SetTimer(at float64) {
	f := (*frontEnd)(h)
	f.timer.cancel()
	f.timer = f.appliance.after(at-f.appliance.monotonic(), f.name+" wakes", func() { f.proxy.Tick() })
}

// After calls do after a delay in seconds.
func (h *host) After(seconds float64, do func()) { h.appliance.after(seconds, h.name+" after", do) }

// Post calls do once the present event is done.
func (h *host) Post(do func()) { h.appliance.after(0, h.name+" posted", do) }

// Dial connects to a worker, and reports the result and what happens on the connection to the proxy.
func (h *host) Dial(id upstream.ConnID, addr string) {
	f := (*frontEnd)(h)
	s := f.appliance.site
	s.network.dial(&f.appliance.process, addr, s.config.Workers.DialTimeout, func(e *endpoint, err error) {
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

// Broadcast sends a datagram to every other front end.
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

// attemptRecorder records the attempts on one connection to a worker, as the front end's side of the socket sees them.
type attemptRecorder struct {
	frontEnd  *frontEnd
	worker    string
	requests  *http1.Framer
	responses *http1.Framer
	open      invariants.Record // the attempt that is under way; without a request: none
}

// recordAttempts records the attempts on a connection. The result is to be called with what arrives on it.
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
			r.frontEnd.appliance.site.violation("wire", "%s sent %s what is no request: %v", r.frontEnd.name, r.worker, err)
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
			FrontEnd:  f.processTag(),
			CallID:    s.recorder.NextCallID(),
			RequestID: m.Header.Get("Ce-Source") + "#" + m.Header.Get("Ce-Id"),
			Class:     m.Header.Get("Ce-Type"),
		}
		s.recorder.Add(r.open)
		s.newestAttempt[f.name+" "+r.open.RequestID] = r.open.CallID
	case strings.HasSuffix(m.Target, "/load"):
		s.recorder.Add(invariants.Record{Kind: invariants.LoadCommanded, Worker: r.worker, FrontEnd: f.processTag(), Replicas: 1})
	}
}

func (r *attemptRecorder) onResponseData(data []byte) {
	r.responses.Feed(bytes.Clone(data))
	if m, err := r.responses.Next(); m != nil || err != nil {
		r.end()
	}
}

// end records the end of the attempt that is under way, if any.
func (r *attemptRecorder) end() {
	if r.open.RequestID == "" {
		return
	}
	r.open.Kind = invariants.AttemptEnded
	r.frontEnd.appliance.site.recorder.Add(r.open)
	r.open = invariants.Record{}
}

// sortedCalls returns the call numbers of requests in order, so that two runs of a script do the same.
func sortedCalls(calls map[dispatch.Identity]uint64) []uint64 {
	list := slices.Collect(maps.Values(calls))
	slices.Sort(list)
	return list
}
