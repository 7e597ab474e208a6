package main

import (
	"log/slog"
	"sync/atomic"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/platform"
	"streamcleat/internal/platform/downstream"
	platformupstream "streamcleat/internal/platform/upstream"
	"streamcleat/internal/proxy"
	"streamcleat/internal/upstream"
)

const (
	// journalSilenceTimeout is how long the journal service may send nothing: it sends its last number each second.
	journalSilenceTimeout = 1800 * time.Millisecond
	// responseMargin, in seconds, is by how much a response leaves before its client stops waiting.
	responseMargin = 0.015
)

// nodeRuntime is one front end of the platform in service.
type nodeRuntime struct {
	document  *platform.Document
	server    *eventloop.Server
	discovery *eventloop.DiscoveryWatch
	ready     atomic.Bool // what clients that ask for readiness are told
	log       *slog.Logger
}

// startNode wires one front end of the platform: its sockets, the dispatcher, and the journal service's updates.
func startNode(document *platform.Document, log *slog.Logger) (*nodeRuntime, error) {
	n := &nodeRuntime{document: document, log: log}
	journal := document.Discovery
	settings := n.serverSettings()
	// The list of the start is in force before a client's first byte is read: nothing waits for the watch.
	settings.OnStart = func(p *proxy.Proxy) {
		p.SetEndpointList(journal.EndpointList(eventloop.Now(), unixSeconds(time.Now())))
		n.ready.Store(true)
	}
	var err error
	if n.server, err = eventloop.Start(settings); err != nil {
		return nil, err
	}
	takeLine := func(line []byte) error {
		changed, err := journal.ReadLine(line)
		if changed {
			list := journal.EndpointList(eventloop.Now(), unixSeconds(time.Now()))
			// A loop that has ended needs no list; serve tells of its end.
			_ = n.server.Post(func(p *proxy.Proxy) { p.SetEndpointList(list) })
		}
		return err
	}
	n.discovery = eventloop.Watch(document.DiscoveryAddress, journalSilenceTimeout, journal.ResumeRequest, takeLine, log)
	return n, nil
}

// unixSeconds is a time of day as workers state their starts.
func unixSeconds(at time.Time) float64 { return float64(at.UnixNano()) / float64(time.Second) }

// serverSettings are those of the front end's sockets and of the proxy on them.
func (n *nodeRuntime) serverSettings() eventloop.Settings {
	document := n.document
	clients, workers := connectionLimits(document)
	settings := eventloop.Settings{
		Settings:      n.proxySettings(clients, workers),
		Listen:        document.Listen,
		PeerListen:    document.PeerListen,
		Peers:         document.Peers,
		PeerBroadcast: document.PeerBroadcast,
		Kernel:        nodeKernel(),
	}
	if document.PeerListen != "" && document.Terms.FrontEndIndex < len(document.Peers) {
		settings.Self = document.Peers[document.Terms.FrontEndIndex]
	}
	return settings
}

// proxySettings are those of a proxy with so many connections to clients and workers.
func (n *nodeRuntime) proxySettings(clients, workers int) proxy.Settings {
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
			return downstream.NewSession(limits, handler, now)
		},
		NewPool: func(transport proxy.Transport, results upstream.Results) proxy.UpstreamPool {
			return platformupstream.NewPool(poolLimits, transport, results)
		},
	}
	settings.Downstream.MaxUnread = maxUnreadBytes(document, clients)
	settings.Upstream.DialTimeout = poolLimits.DialTimeout
	return settings
}
