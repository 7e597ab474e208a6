package eventloop

import (
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/proxy"
)

// postIfRunning runs f on the event loop, soon; it does nothing where the loop has ended.
func (s *Server) postIfRunning(f func()) {
	_ = s.reactor.post(f) // without the loop there is nobody whom f could tell anything
}

// Post runs f with the front end on the event loop, soon. An error tells that the loop has ended.
func (s *Server) Post(f func(*proxy.Proxy)) error { return s.reactor.post(func() { f(s.proxy) }) }

// Do runs f with the front end on the event loop and waits for it. An error tells that the loop has ended.
func (s *Server) Do(f func(*proxy.Proxy)) error {
	done := make(chan struct{})
	err := s.reactor.post(func() {
		defer close(done)
		f(s.proxy)
		s.proxy.Flush()
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-s.loopEnded:
		return ErrLoopEnded
	}
}

// doIfRunning runs f as Do does; it does nothing where the loop has ended.
func (s *Server) doIfRunning(f func(*proxy.Proxy)) {
	_ = s.Do(f) // a front end whose loop has ended has no state left
}

// DoDispatcher runs f with the dispatcher, as Do does.
func (s *Server) DoDispatcher(f func(*dispatch.Dispatcher)) error {
	return s.Do(func(p *proxy.Proxy) { f(p.Dispatcher()) })
}

// Submit takes a request from within the process; respond is called on the loop, exactly once.
func (s *Server) Submit(request dispatch.Request, respond func(dispatch.Response)) error {
	return s.Post(func(p *proxy.Proxy) { p.Submit(request, respond) })
}

// Counts are the dispatcher's totals and the number of connections to clients and workers.
func (s *Server) Counts() (counts dispatch.Counts, clients, backends int, err error) {
	err = s.Do(func(p *proxy.Proxy) {
		counts = p.Dispatcher().Counts()
		clients, backends = p.Connections()
	})
	return counts, clients, backends, err
}

// ReplicaSnapshots are the replicas that this front end knows; none where the loop has ended.
func (s *Server) ReplicaSnapshots() (snapshots []dispatch.ReplicaSnapshot) {
	s.doIfRunning(func(p *proxy.Proxy) { snapshots = p.ReplicaSnapshots() })
	return snapshots
}

// DrainWorker makes a worker drain, or returns it to the state that the endpoint list states, see
// proxy.Proxy.DrainWorker.
func (s *Server) DrainWorker(id control.WorkerID, drain bool) (known bool, err error) {
	err = s.Do(func(p *proxy.Proxy) { known = p.DrainWorker(id, drain) })
	return known, err
}

// DrainedWorkers are the workers that drain by order; none where the loop has ended.
func (s *Server) DrainedWorkers() (workers []string) {
	s.doIfRunning(func(p *proxy.Proxy) { workers = p.DrainedWorkers() })
	return workers
}

// Preload has a replica of a function loaded that will be needed soon; it tells whether a load was ordered.
func (s *Server) Preload(class, function string) (ordered bool, err error) {
	err = s.Do(func(p *proxy.Proxy) { ordered = p.Preload(class, function) })
	return ordered, err
}

// UnloadReplicas asks every worker that is believed to have a function loaded to unload its idle replicas, and tells
// how many were asked.
func (s *Server) UnloadReplicas(function string) (asked int, err error) {
	err = s.Do(func(p *proxy.Proxy) { asked = p.UnloadReplicas(function) })
	return asked, err
}

// sweep has the proxy look at idle and slow connections, and ends dials whose time is up.
func (s *Server) sweep() {
	now := time.Now()
	s.reactor.sweepAt = now.Add(longestWait)
	s.expireDials(now)
	s.proxy.Sweep()
}

// readEndpointList takes the content of the endpoint list's file; a faulty one leaves the last good one in force.
func (s *Server) readEndpointList(data []byte, err error) {
	if err != nil {
		s.log.Warn("list of workers not read; the last one stays in force", "file", s.settings.WorkersFile, "error", err)
		return
	}
	s.postIfRunning(func() {
		if err := s.proxy.ReadEndpointList(data); err != nil {
			s.log.Error("list of workers is faulty; the last one stays in force", "file", s.settings.WorkersFile, "error", err)
		}
	})
}
