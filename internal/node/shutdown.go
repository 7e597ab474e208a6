package node

import (
	"fmt"
	"os"
	"time"

	"streamcleat/internal/platform"
	"streamcleat/internal/proxy"
)

// shutdownPollInterval is how often the progress of a shutdown is looked at.
const shutdownPollInterval = 20 * time.Millisecond

// Serve runs the front end until stop, then answers what still comes and what is open, and ends it. A reload counts in
// all of that, also while it drains: what the new journal service tells of draining workers must not be missed. A
// second stop changes nothing: the first has an end of its own.
func (n *Node) Serve(stop <-chan struct{}, reload <-chan os.Signal, read func() (*platform.Document, error)) error {
	loopEnded := make(chan error, 1)
	go func() { loopEnded <- n.server.Wait() }() // ends with the loop, which every return below follows or ends
	shutdown := platform.Shutdown{MaxRequestTimeout: n.maxRequestTimeout()}
	var stoppedAt time.Time
	var poll <-chan time.Time
	for {
		select {
		case <-reload:
			n.reload(read)
		case err := <-loopEnded: // else it would go on as a process that serves nobody
			return fmt.Errorf("event loop on %s ended: %w", n.document.Listen, err)
		case <-stop:
			stop, stoppedAt = nil, time.Now()
			n.ready.Store(false)
			ticker := time.NewTicker(shutdownPollInterval)
			defer ticker.Stop()
			poll = ticker.C
		case <-poll:
			terminated, err := n.advanceShutdown(&shutdown, stoppedAt)
			if err != nil {
				return err
			}
			if terminated {
				n.logTotals()
				return n.server.Stop(0)
			}
		}
	}
}

// logTotals logs what the process did, and what it met that it recovered from.
func (n *Node) logTotals() {
	counts, _, _, err := n.server.Counts()
	if err != nil {
		return // the loop has ended, which is reported by itself
	}
	faults := n.server.RecoveredErrors()
	closes, unanswered := map[proxy.CloseReason]uint64{}, uint64(0)
	err = n.server.Do(func(p *proxy.Proxy) { closes, unanswered = p.Closes() })
	n.log.Info("totals of this process", "accepted", counts.Accepted, "succeeded", counts.Succeeded, "rejected", counts.Rejected,
		"failed", counts.Failed, "cancelled", counts.Cancelled, "attempts", counts.Attempts, "timed_out", counts.TimedOut,
		"sends_denied", counts.SendsDenied, "closes", closes, "closed_unanswered", unanswered, "accept_failures", faults.AcceptFailures,
		"aborted_connections", faults.AbortedConnections, "registration_failures", faults.RegistrationFailures,
		"dial_retries", faults.DialRetries, "write_retries", faults.WriteRetries, "slow_iterations", faults.SlowIterations, "error", err)
}

// maxRequestTimeout is the longest time, in seconds, that a client waits for a response.
func (n *Node) maxRequestTimeout() (longest float64) {
	for _, class := range n.document.Terms.RequestClasses {
		longest = max(longest, class.TimeoutMs/millisecondsPerSecond)
	}
	return longest
}

// reload reads the document anew and moves to its journal service. A document that is faulty or another front end's
// leaves the last one in force.
func (n *Node) reload(read func() (*platform.Document, error)) {
	next, err := read()
	if err == nil && (next.Name != n.document.Name || next.Listen != n.document.Listen) {
		err = fmt.Errorf("name, listen: it is %s's on %s, not %s's on %s", next.Name, next.Listen, n.document.Name, n.document.Listen)
	}
	if err != nil {
		n.log.Error("the document is faulty; the last one stays in force", "error", err)
		return
	}
	n.discovery.SetAddress(next.DiscoveryAddress)
}

// advanceShutdown does what the shutdown's phase asks for and tells whether it is over.
func (n *Node) advanceShutdown(shutdown *platform.Shutdown, stoppedAt time.Time) (terminated bool, err error) {
	err = n.server.Do(func(p *proxy.Proxy) {
		outstanding := platform.Outstanding{Requests: !p.Idle(), UnreadResponses: p.HasClients()}
		switch shutdown.Phase(time.Since(stoppedAt).Seconds(), outstanding) {
		case platform.GoingAway:
			p.Drain()
		case platform.Answering:
			p.Terminate()
			p.CloseClients()
		case platform.Flushing:
			p.CloseClients()
		case platform.Terminated:
			terminated = true
		}
	})
	return terminated, err
}
