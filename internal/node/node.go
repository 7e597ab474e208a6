package node

import (
	"log/slog"
	"sync/atomic"
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
	// discoverySilenceTimeout is the silence after which the discovery watch reconnects. A healthy discovery service sends
	// its position every second.
	discoverySilenceTimeout = 1800 * time.Millisecond
	// responseMargin is the time in seconds between a response and the moment at which its client stops waiting.
	responseMargin = 0.015
)

// Node is a running front end of the platform.
type Node struct {
	document  *platform.Document
	server    *eventloop.Server
	discovery *eventloop.DiscoveryWatch
	ready     atomic.Bool // reported to readiness queries
	log       *slog.Logger
}

// Start starts a front end: its sockets, its dispatcher and its discovery watch.
func Start(document *platform.Document, log *slog.Logger) (*Node, error) {
	n := &Node{document: document, log: log}
	settings := n.serverSettings()
	// The document's endpoint list applies before the first byte of a client is read: requests do not wait for the watch.
	settings.OnStart = func(p *proxy.Proxy) {
		p.SetEndpointList(n.endpointList())
		n.ready.Store(true)
	}
	var err error
	if n.server, err = eventloop.Start(settings); err != nil {
		return nil, err
	}
	n.discovery = eventloop.StartDiscoveryWatch(document.DiscoveryAddress, discoverySilenceTimeout,
		document.Discovery.ResumeRequest, n.applyDiscoveryLine, log)
	return n, nil
}

// applyDiscoveryLine applies a line of the discovery service and passes a changed endpoint list to the event loop.
func (n *Node) applyDiscoveryLine(line []byte) error {
	changed, err := n.document.Discovery.ReadLine(line)
	if changed {
		list := n.endpointList()
		// A loop that has ended needs no list; Serve reports its end.
		_ = n.server.Post(func(p *proxy.Proxy) { p.SetEndpointList(list) })
	}
	return err
}

// endpointList returns the endpoint list at the present time.
func (n *Node) endpointList() *upstream.EndpointList {
	return n.document.Discovery.EndpointList(eventloop.Now(), units.Seconds(unixSeconds(time.Now())))
}

// Close ends the discovery watch. The server is stopped by Serve.
func (n *Node) Close() { n.discovery.Close() }

// unixSeconds returns a time as seconds since the epoch, the unit in which workers state their start.
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

// proxySettings returns the settings of a proxy with a maximum number of connections to clients and to workers.
func (n *Node) proxySettings(clients, workers int) proxy.Settings {
	document := n.document
	deployment := document.Terms.Deployment()
	limits := clientLimits(deployment, n.ready.Load)
	poolLimits := upstreamLimits(document, workers)
	settings := proxy.Settings{
		Name:             document.Name,
		MaxClients:       clients,
		EvictIdleClients: true,
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
