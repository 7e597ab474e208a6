package eventloop

import (
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/proxy"
)

// postIfRunning schedules f to run on the event loop. If the loop has ended, f is dropped.
func (s *Server) postIfRunning(f func()) {
	_ = s.reactor.tasks.post(f) // f is not needed once the front end has stopped
}

// Post schedules f to run on the event loop. It returns ErrLoopEnded if the loop has ended.
func (s *Server) Post(f func(*proxy.Proxy)) error { return s.reactor.tasks.post(func() { f(s.proxy) }) }

// Do runs f on the event loop and waits until f has returned. It returns ErrLoopEnded if the loop ends first.
func (s *Server) Do(f func(*proxy.Proxy)) error {
	done := make(chan struct{})
	err := s.reactor.tasks.post(func() {
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

// doIfRunning is like Do but ignores the error: after the event loop has ended, there is no state left for f to use.
func (s *Server) doIfRunning(f func(*proxy.Proxy)) {
	_ = s.Do(f)
}

// DoDispatcher is like Do but passes the front end's dispatcher to f.
func (s *Server) DoDispatcher(f func(*dispatch.Dispatcher)) error {
	return s.Do(func(p *proxy.Proxy) { f(p.Dispatcher()) })
}

// Submit submits a request from within the process. respond is called exactly once, on the event loop.
func (s *Server) Submit(request dispatch.Request, respond func(dispatch.Response)) error {
	return s.Post(func(p *proxy.Proxy) { p.Submit(request, respond) })
}

// Counts returns the dispatcher's totals and the numbers of connections from clients and to workers.
func (s *Server) Counts() (counts dispatch.Counts, clients, workers int, err error) {
	err = s.Do(func(p *proxy.Proxy) {
		counts = p.Dispatcher().Counts()
		clients, workers = p.Connections()
	})
	return counts, clients, workers, err
}

// ReplicaSnapshots returns the replicas that this front end knows, or nil if the event loop has ended.
func (s *Server) ReplicaSnapshots() (snapshots []dispatch.ReplicaSnapshot) {
	s.doIfRunning(func(p *proxy.Proxy) { snapshots = p.ReplicaSnapshots() })
	return snapshots
}

// DrainWorker drains a worker; see proxy.Proxy.DrainWorker.
func (s *Server) DrainWorker(id control.WorkerID) (known bool, err error) {
	err = s.Do(func(p *proxy.Proxy) { known = p.DrainWorker(id) })
	return known, err
}

// UndrainWorker resets a worker to the state that the endpoint list specifies; see proxy.Proxy.UndrainWorker.
func (s *Server) UndrainWorker(id control.WorkerID) (known bool, err error) {
	err = s.Do(func(p *proxy.Proxy) { known = p.UndrainWorker(id) })
	return known, err
}

// DrainedWorkers returns the workers drained by DrainWorker, or nil if the event loop has ended.
func (s *Server) DrainedWorkers() (workers []string) {
	s.doIfRunning(func(p *proxy.Proxy) { workers = p.DrainedWorkers() })
	return workers
}

// Preload loads a replica of a function that is expected to be needed soon. It reports whether a load command was sent.
func (s *Server) Preload(class, function string) (loading bool, err error) {
	err = s.Do(func(p *proxy.Proxy) { loading = p.Preload(class, function) })
	return loading, err
}

// UnloadReplicas sends an unload command to every worker that, as far as this front end knows, has replicas of a function.
// The workers unload the idle ones. It returns the number of commands sent.
func (s *Server) UnloadReplicas(function string) (commands int, err error) {
	err = s.Do(func(p *proxy.Proxy) { commands = p.UnloadReplicas(function) })
	return commands, err
}

// sweep runs the proxy's sweep of idle and slow connections and expires dials.
func (s *Server) sweep() {
	now := time.Now()
	s.reactor.timers.sweepAt = now.Add(longestWait)
	s.expireDials(now)
	s.proxy.Sweep()
}

// readEndpointList applies the content of the endpoint list file. If the list is invalid, the last valid one stays in force.
func (s *Server) readEndpointList(data []byte, err error) {
	if err != nil {
		s.log.Warn("failed to read endpoint list, keeping the last one", "file", s.settings.EndpointListFile, "error", err)
		return
	}
	s.postIfRunning(func() {
		if err := s.proxy.ReadEndpointList(data); err != nil {
			s.log.Error("invalid endpoint list, keeping the last one", "file", s.settings.EndpointListFile, "error", err)
		}
	})
}
