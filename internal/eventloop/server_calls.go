package eventloop

import (
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/proxy"
)

// postIfRunning runs f on the event loop soon, or not at all if the loop has ended.
func (s *Server) postIfRunning(f func()) {
	_ = s.reactor.tasks.post(f) // f has no effect without a front end
}

// Post runs f on the event loop soon. It returns ErrLoopEnded if the loop has ended.
func (s *Server) Post(f func(*proxy.Proxy)) error { return s.reactor.tasks.post(func() { f(s.proxy) }) }

// Do runs f on the event loop and waits until it has returned. It returns ErrLoopEnded if the loop ends first.
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

// doIfRunning is Do without the error: a loop that has ended has no state left for f.
func (s *Server) doIfRunning(f func(*proxy.Proxy)) {
	_ = s.Do(f)
}

// DoDispatcher is Do with the front end's dispatcher.
func (s *Server) DoDispatcher(f func(*dispatch.Dispatcher)) error {
	return s.Do(func(p *proxy.Proxy) { f(p.Dispatcher()) })
}

// Submit submits a request from within the process. respond is called exactly once, on the loop.
func (s *Server) Submit(request dispatch.Request, respond func(dispatch.Response)) error {
	return s.Post(func(p *proxy.Proxy) { p.Submit(request, respond) })
}

// Counts returns the dispatcher's totals and the numbers of client and worker connections.
func (s *Server) Counts() (counts dispatch.Counts, clients, backends int, err error) {
	err = s.Do(func(p *proxy.Proxy) {
		counts = p.Dispatcher().Counts()
		clients, backends = p.Connections()
	})
	return counts, clients, backends, err
}

// ReplicaSnapshots returns the replicas that this front end knows, or nil if the loop has ended.
func (s *Server) ReplicaSnapshots() (snapshots []dispatch.ReplicaSnapshot) {
	s.doIfRunning(func(p *proxy.Proxy) { snapshots = p.ReplicaSnapshots() })
	return snapshots
}

// DrainWorker drains a worker; see proxy.Proxy.DrainWorker.
func (s *Server) DrainWorker(id control.WorkerID) (known bool, err error) {
	err = s.Do(func(p *proxy.Proxy) { known = p.DrainWorker(id) })
	return known, err
}

// UndrainWorker returns a worker to the state that the endpoint list gives it; see proxy.Proxy.UndrainWorker.
func (s *Server) UndrainWorker(id control.WorkerID) (known bool, err error) {
	err = s.Do(func(p *proxy.Proxy) { known = p.UndrainWorker(id) })
	return known, err
}

// DrainedWorkers returns the workers drained by DrainWorker, or nil if the loop has ended.
func (s *Server) DrainedWorkers() (workers []string) {
	s.doIfRunning(func(p *proxy.Proxy) { workers = p.DrainedWorkers() })
	return workers
}

// Preload loads a replica of a function that will be needed soon. It reports whether a load command was sent.
func (s *Server) Preload(class, function string) (loading bool, err error) {
	err = s.Do(func(p *proxy.Proxy) { loading = p.Preload(class, function) })
	return loading, err
}

// UnloadReplicas sends an unload command to every worker that is believed to have replicas of a function, which unloads
// the idle ones. It returns the number of commands.
func (s *Server) UnloadReplicas(function string) (commands int, err error) {
	err = s.Do(func(p *proxy.Proxy) { commands = p.UnloadReplicas(function) })
	return commands, err
}

// sweep runs the proxy's sweep over idle and slow connections and expires dials.
func (s *Server) sweep() {
	now := time.Now()
	s.reactor.timers.sweepAt = now.Add(longestWait)
	s.expireDials(now)
	s.proxy.Sweep()
}

// readEndpointList applies the content of the endpoint list file. An invalid list leaves the last valid one in force.
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
