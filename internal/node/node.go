package node

import (
	"log/slog"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream"
	downstreamframes "streamcleat/internal/downstream/frames"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/platform"
	"streamcleat/internal/proxy"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
	upstreamframes "streamcleat/internal/upstream/frames"
)

const (
	// discoverySilenceTimeout is the time without a useful line after which the discovery watch reconnects. A healthy
	// discovery service sends its position every second.
	discoverySilenceTimeout = 1800 * time.Millisecond
	// responseMargin is how long before the client's deadline, in seconds, the response is sent at the latest.
	responseMargin = 0.015
)

// Node is a running front end of the platform.
type Node struct {
	document  *platform.Document
	server    *eventloop.Server
	discovery *eventloop.DiscoveryWatch
	readiness readiness
	log       *slog.Logger
}

// Start starts a front end with its sockets, dispatcher and discovery watch.
func Start(document *platform.Document, log *slog.Logger) (*Node, error) {
	n := &Node{document: document, readiness: readiness{log: log}, log: log}
	settings := n.serverSettings()
	// The document's endpoint list is applied before any client data is read, so that requests need not wait for the watch.
	settings.OnStart = func(p *proxy.Proxy) {
		p.SetEndpointList(n.endpointList())
		n.readiness.onStart(p, eventloop.Now())
	}
	var err error
	if n.server, err = eventloop.Start(settings); err != nil {
		return nil, err
	}
	n.discovery = eventloop.StartDiscoveryWatch(document.DiscoveryAddress, discoverySilenceTimeout,
		watchHandler{n}, log)
	return n, nil
}

// watchHandler implements eventloop.WatchHandler for a node. It forwards updates from the discovery service to the event
// loop. Errors of Post are ignored: they mean that the loop has ended, which Serve reports.
type watchHandler struct{ node *Node }

// ResumeRequest implements eventloop.WatchHandler.
func (h watchHandler) ResumeRequest() []byte { return h.node.document.Discovery.ResumeRequest() }

// OnLine implements eventloop.WatchHandler. Only a line with the position of the last applied event confirms that the list
// is complete: after an event, more events may follow, and the service may be slow to send them.
func (h watchHandler) OnLine(line []byte, asOf units.Seconds) (useful bool, err error) {
	effect, err := h.node.document.Discovery.ReadLine(line)
	switch effect {
	case platform.Changed:
		list := h.node.endpointList()
		_ = h.node.server.Post(func(p *proxy.Proxy) { p.SetEndpointList(list) })
	case platform.UpToDate:
		_ = h.node.server.Post(func(p *proxy.Proxy) { p.OnDiscoveryAvailable(asOf) })
	case platform.Ignored:
	}
	return effect != platform.Ignored, err
}

// OnUnavailable implements eventloop.WatchHandler.
func (h watchHandler) OnUnavailable(reason error) {
	_ = h.node.server.Post(func(p *proxy.Proxy) { p.OnDiscoveryUnavailable(reason) })
}

// endpointList returns the current endpoint list.
func (n *Node) endpointList() *upstream.EndpointList {
	return n.document.Discovery.EndpointList(eventloop.Now(), units.Seconds(unixSeconds(time.Now())))
}

// Close stops the discovery watch. Serve stops the server.
func (n *Node) Close() { n.discovery.Close() }

// unixSeconds returns a time in seconds since the Unix epoch, the unit of worker start times in the endpoint list.
func unixSeconds(at time.Time) float64 { return float64(at.UnixNano()) / float64(time.Second) }

// serverSettings returns the settings of the event loop and of the proxy on it.
func (n *Node) serverSettings() eventloop.Settings {
	document := n.document
	clients, workers := connectionLimits(document)
	settings := eventloop.Settings{
		Settings:      n.proxySettings(clients, workers),
		Listen:        document.Listen,
		PeerListen:    document.PeerListen,
		Peers:         document.Peers,
		PeerBroadcast: document.PeerBroadcast,
		Kernel:        newKernel(),
	}
	if document.PeerListen != "" && document.Terms.FrontEndIndex < len(document.Peers) {
		settings.Self = document.Peers[document.Terms.FrontEndIndex]
	}
	return settings
}

// proxySettings returns the settings of the proxy, given the maximum numbers of connections to clients and to workers.
func (n *Node) proxySettings(clients, workers int) proxy.Settings {
	document := n.document
	deployment := document.Terms.Deployment()
	deployment.EndpointLeases = true
	limits := clientLimits(deployment, n.readiness.isReady)
	poolLimits := upstreamLimits(document, workers)
	deployment.IdleTimeout = poolLimits.IdleTimeout
	settings := proxy.Settings{
		Name:             document.Name,
		MaxClients:       clients,
		EvictIdleClients: true,
		OverflowClients:  overflowClients,
		Log:              n.log,
		Dispatch: dispatch.Settings{
			Deployment:      deployment,
			ResponseMargin:  responseMargin,
			LoadTimeout:     units.Seconds(document.Terms.Loading.LoadTimeoutMs / millisecondsPerSecond),
			MaxOpen:         maxOpenRequests(document),
			Seed:            document.Seed,
			CancelAbandoned: true,
			TracingDisabled: true,
		},
		NewSession: func(handler downstream.RequestHandler, now units.Seconds) proxy.Session {
			return downstreamframes.NewSession(limits, handler, now)
		},
		NewPool: func(transport proxy.Transport, results upstream.ExchangeHandler) proxy.UpstreamPool {
			return upstreamframes.NewPool(poolLimits, transport, results)
		},
	}
	settings.Downstream.MaxUnread = maxUnreadBytes(document, clients)
	settings.Upstream.DialTimeout = poolLimits.DialTimeout
	return settings
}
