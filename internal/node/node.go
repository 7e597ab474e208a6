package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"streamcleat/internal/dispatch"
	downstreamframes "streamcleat/internal/downstream/frames"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/platform"
	"streamcleat/internal/proxy"
	"streamcleat/internal/upstream"
	upstreamframes "streamcleat/internal/upstream/frames"
)

const (
	// discoverySilenceTimeout is the longest silence of a healthy discovery service, which sends its position every second.
	discoverySilenceTimeout = 1800 * time.Millisecond
	// responseMargin, in seconds, is by how much a response leaves before its client stops waiting.
	responseMargin = 0.015
)

// Node is one front end of the platform in service.
type Node struct {
	document  *platform.Document
	server    *eventloop.Server
	discovery *eventloop.DiscoveryWatch
	ready     atomic.Bool // reported to readiness probes
	log       *slog.Logger
}

// Start wires one front end of the platform: its sockets, the dispatcher, and the watch on the discovery service.
func Start(document *platform.Document, log *slog.Logger) (*Node, error) {
	n := &Node{document: document, log: log}
	discovery := document.Discovery
	settings := n.serverSettings()
	// The list of the start is in force before a client's first byte is read: nothing waits for the watch.
	settings.OnStart = func(p *proxy.Proxy) {
		p.SetEndpointList(discovery.EndpointList(eventloop.Now(), unixSeconds(time.Now())))
		n.ready.Store(true)
	}
	var err error
	if n.server, err = eventloop.Start(settings); err != nil {
		return nil, err
	}
	takeLine := func(line []byte) error {
		changed, err := discovery.ReadLine(line)
		if changed {
			list := discovery.EndpointList(eventloop.Now(), unixSeconds(time.Now()))
			// A loop that has ended needs no list; Serve reports its end.
			_ = n.server.Post(func(p *proxy.Proxy) { p.SetEndpointList(list) })
		}
		return err
	}
	n.discovery = eventloop.StartDiscoveryWatch(document.DiscoveryAddress, discoverySilenceTimeout, discovery.ResumeRequest, takeLine, log)
	return n, nil
}

// Close ends the watch on the discovery service. The server is stopped by Serve, or by its own Stop.
func (n *Node) Close() { n.discovery.Close() }

// unixSeconds is a time of day as workers state their starts.
func unixSeconds(at time.Time) float64 { return float64(at.UnixNano()) / float64(time.Second) }

// serverSettings are those of the front end's sockets and of the proxy on them.
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

// proxySettings are those of a proxy with so many connections to clients and workers.
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
			LoadTimeout:     document.Terms.Loading.LoadTimeoutMs / millisecondsPerSecond,
			MaxOpen:         maxOpenRequests(document),
			Seed:            document.Seed,
			CancelAbandoned: true,
			TracingDisabled: true,
		},
		NewSession: func(handler proxy.RequestHandler, now float64) proxy.Session {
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
