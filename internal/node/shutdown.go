package node

import (
	"fmt"
	"os"
	"time"

	"streamcleat/internal/platform"
	"streamcleat/internal/proxy"
	"streamcleat/internal/units"
)

// shutdownPollInterval is the interval at which a shutdown checks its phase.
const shutdownPollInterval = 20 * time.Millisecond

// Serve runs the front end until stop is closed, then shuts it down gracefully and returns. On a signal on reload it calls
// readDocument for the new document. It does so during the shutdown too, because drains announced by a new discovery
// service must not be missed. It returns an error if the event loop ends by itself.
func (n *Node) Serve(stop <-chan struct{}, reload <-chan os.Signal, readDocument func() (*platform.Document, error)) error {
	loopEnded := make(chan error, 1)
	go func() { loopEnded <- n.server.Wait() }() // ends with the loop, which has ended or is stopped at every return below
	shutdown := platform.Shutdown{MaxRequestTimeout: n.maxRequestTimeout()}
	var stoppedAt time.Time
	var poll <-chan time.Time
	for {
		select {
		case <-reload:
			n.reload(readDocument)
		case err := <-loopEnded: // without the loop, the process would keep running but serve no requests
			return fmt.Errorf("event loop on %s ended: %w", n.document.Listen, err)
		case <-stop:
			stop, stoppedAt = nil, time.Now()
			n.readiness.onStop()
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

// logTotals logs the counters of the process and the numbers of errors that it recovered from.
func (n *Node) logTotals() {
	counts, _, _, err := n.server.Counts()
	if err != nil {
		return // the event loop has ended, which Serve reports
	}
	recovered := n.server.RecoveredErrors()
	closes, unanswered := map[proxy.CloseReason]uint64{}, uint64(0)
	err = n.server.Do(func(p *proxy.Proxy) { closes, unanswered = p.CloseCounts() })
	n.log.Info("process totals", "accepted", counts.Accepted, "succeeded", counts.Succeeded, "rejected", counts.Rejected,
		"failed", counts.Failed, "cancelled", counts.Cancelled, "attempts", counts.Attempts, "timed_out", counts.TimedOut,
		"sends_denied", counts.SendsDenied, "closes", closes, "closed_unanswered", unanswered, "accept_failures", recovered.AcceptFailures,
		"aborted_connections", recovered.AbortedConnections, "registration_failures", recovered.RegistrationFailures,
		"dial_retries", recovered.DialRetries, "write_retries", recovered.WriteRetries, "accepts_delayed", recovered.AcceptsDelayed, "dropped_datagrams", recovered.DroppedDatagrams, "slow_iterations", recovered.SlowIterations, "error", err)
}

// maxRequestTimeout returns the longest timeout of a request class in seconds.
func (n *Node) maxRequestTimeout() units.Seconds {
	longest := 0.0
	for _, class := range n.document.Terms.RequestClasses {
		longest = max(longest, class.TimeoutMs/millisecondsPerSecond)
	}
	return units.Seconds(longest)
}

// reload reads the document again and switches to its discovery service. A document that is invalid or belongs to another
// front end is rejected and changes nothing.
func (n *Node) reload(readDocument func() (*platform.Document, error)) {
	next, err := readDocument()
	if err == nil && (next.Name != n.document.Name || next.Listen != n.document.Listen) {
		err = fmt.Errorf("document is for front end %s on %s, this is %s on %s", next.Name, next.Listen, n.document.Name, n.document.Listen)
	}
	if err != nil {
		n.log.Error("failed to reload document, keeping the previous one", "error", err)
		return
	}
	n.discovery.SetAddress(next.DiscoveryAddress)
}

// advanceShutdown performs the actions of the shutdown's current phase and reports whether the shutdown is complete.
func (n *Node) advanceShutdown(shutdown *platform.Shutdown, stoppedAt time.Time) (terminated bool, err error) {
	err = n.server.Do(func(p *proxy.Proxy) {
		outstanding := platform.Outstanding{Requests: !p.Idle(), UnreadResponses: p.HasClients()}
		switch shutdown.Advance(units.Seconds(time.Since(stoppedAt).Seconds()), outstanding) {
		case platform.Serving, platform.Draining: // requests are still accepted
		case platform.GoingAway:
			p.Drain()
		case platform.Responding:
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
