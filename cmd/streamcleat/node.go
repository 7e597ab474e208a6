package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/platform"
	"streamcleat/internal/platform/downstream"
	platformupstream "streamcleat/internal/platform/upstream"
	"streamcleat/internal/proxy"
	"streamcleat/internal/telemetry"
	"streamcleat/internal/upstream"
)

func nodeCommand() *cobra.Command {
	level, rate := slog.LevelWarn, 20
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run one front end of the platform, as the document that RELAY_CONFIG names tells",
		Long: "Runs one front end in the foreground. SIGHUP reads the document again and goes over to its journal service;\n" +
			"SIGTERM takes events for as long as they may still come, answers all that is open and ends with status 0.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			log := slog.New(telemetry.RateLimited(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}), rate))
			return node(cmd.Context(), log)
		},
	}
	cmd.Flags().TextVar(&level, "log", level, "least level that is logged: debug, info (also events that were not handled), warn, error")
	cmd.Flags().IntVar(&rate, "log-rate", rate, "most log records a second")
	return cmd
}

func readMachine() (*platform.Document, error) {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return nil, exit{2, errors.New("RELAY_CONFIG is not set: it names the platform's configuration document")}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, exit{2, err}
	}
	m, err := platform.ReadDocument(data)
	if err != nil {
		return nil, exit{2, fmt.Errorf("%s:\n%w", path, err)}
	}
	return m, nil
}

// journalSilent is how long the journal service may say nothing: it tells its last number each second.
const journalSilent = 1800 * time.Millisecond

func node(ctx context.Context, log *slog.Logger) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	m, err := readMachine()
	if err != nil {
		return err
	}
	// One core: a second thread only takes over while the event loop waits in the kernel.
	runtime.GOMAXPROCS(2)
	debug.SetMemoryLimit(int64(m.MemoryMB * 0.6 * (1 << 20)))
	n, err := startNode(m, log)
	if err != nil {
		return err
	}
	defer n.watch.Close()
	return n.run(ctx.Done(), hup, readMachine)
}

// running is one front end of the platform in service.
type running struct {
	machine *platform.Document
	server  *eventloop.Server
	watch   *eventloop.DiscoveryWatch
	ready   atomic.Bool // what clients are told that ask whether to come
	log     *slog.Logger
}

// startNode wires one front end of the platform: its sockets, the core, and the journal service's news.
func startNode(m *platform.Document, log *slog.Logger) (*running, error) {
	dep := m.Terms.Deployment()
	n := &running{machine: m, log: log}
	limits := clientLimits(m, dep, n.ready.Load)
	set := eventloop.Settings{Listen: m.Listen, PeerListen: m.PeerListen, Peers: m.Peers, PeerBroadcast: m.PeerBroadcast}
	if m.PeerListen != "" && m.Terms.Me < len(m.Peers) {
		set.Self = m.Peers[m.Terms.Me]
	}
	// Descriptors for the listener, the loop, the journal service, datagrams, dials that hold two, and connections that
	// are closed as soon as they are accepted: 374 of 384 were seen in use with 24.
	spare := 24 + m.MaxDescriptors/16
	toWorkers := (m.MaxDescriptors - spare) / 3
	set.Settings = proxy.Settings{Name: m.Name, MaxClients: m.MaxDescriptors - spare - toWorkers, EvictIdleClients: true, Log: log,
		Dispatch: dispatch.Settings{Deployment: dep, ResponseMargin: 0.015, LoadTimeout: m.Terms.Domain.OrderTimeoutMs / 1000,
			// A quarter of the memory for bodies of events that are open.
			MaxOpen: min(m.Terms.Caps.MaxOpen, int(m.MemoryMB*(1<<20)/4/(downstream.BodyMost+4096))),
			Seed:    m.Seed, CancelAbandoned: true, TracingDisabled: true},
		NewSession: func(t proxy.RequestHandler, now float64) proxy.Session { return downstream.NewSession(limits, t, now) },
		NewPool: func(w proxy.Transport, s upstream.Results) proxy.UpstreamPool {
			return platformupstream.NewPool(platformupstream.Limits{DialTimeout: m.Terms.Caps.DialTimeoutMs / 1000,
				IdleTimeout: m.Terms.Caps.IdleCloseMs / 1000 * 0.6, MaxTotal: toWorkers, MaxPerWorker: max(toWorkers/20, 2),
				MaxStreams: max(m.Terms.Caps.MaxStreams, 1), IdempotencyKeyField: downstream.KeyField}, w, s)
		},
	}
	// An eighth of the memory for answers that clients leave unread, on all connections together.
	set.Downstream.Unread = max(int(m.MemoryMB*(1<<20)/8)/set.MaxClients, 64<<10)
	set.Upstream.DialTimeout = m.Terms.Caps.DialTimeoutMs / 1000
	offset := eventloop.Now() - float64(time.Now().UnixNano())/1e9
	journal := m.Known
	// The list of the start is in force before a client's first byte is read: nothing waits for the watch.
	set.OnStart = func(f *proxy.Proxy) {
		f.SetEndpointList(journal.EndpointList(offset))
		n.ready.Store(true)
	}
	var err error
	if n.server, err = eventloop.Start(set); err != nil {
		return nil, err
	}
	n.watch = eventloop.Watch(m.DiscoveryAddress, journalSilent, journal.ResumeRequest, func(line []byte) error {
		changed, err := journal.ReadLine(line)
		if changed {
			list := journal.EndpointList(offset)
			n.server.Post(func(f *proxy.Proxy) { f.SetEndpointList(list) })
		}
		return err
	}, log)
	return n, nil
}

// run serves until stop, then answers what still comes and what is open, and ends the front end. A reload counts in all
// of that, also while it drains: what the new journal service tells of draining workers must not be missed. A second
// stop changes nothing: the first has an end of its own.
func (n *running) run(stop <-chan struct{}, hup <-chan os.Signal, read func() (*platform.Document, error)) error {
	ended := make(chan error, 1)
	go func() { ended <- n.server.Wait() }()
	var told time.Time
	var look <-chan time.Time
	life := platform.Shutdown{}
	for _, t := range n.machine.Terms.Classes {
		life.MaxAge = max(life.MaxAge, t.GiveUpMs/1000)
	}
	for {
		select {
		case <-hup:
			next, err := read()
			if err == nil && (next.Name != n.machine.Name || next.Listen != n.machine.Listen) {
				err = fmt.Errorf("name, listen: it is %s's on %s, not %s's on %s", next.Name, next.Listen, n.machine.Name, n.machine.Listen)
			}
			if err != nil {
				n.log.Error("the document is faulty; the last one stays in force", "error", err)
				continue
			}
			n.watch.Move(next.DiscoveryAddress)
		case err := <-ended: // else it would go on as a process that serves nobody
			return fmt.Errorf("event loop on %s ended: %w", n.machine.Listen, err)
		case <-stop:
			stop, told = nil, time.Now()
			n.ready.Store(false)
			t := time.NewTicker(20 * time.Millisecond)
			defer t.Stop()
			look = t.C
		case <-look:
			over := false
			err := n.server.Do(func(f *proxy.Proxy) {
				switch life.Phase(time.Since(told).Seconds(), platform.Outstanding{Requests: !f.Idle(), UnreadResponses: f.HasClients()}) {
				case platform.GoingAway:
					f.Drain()
				case platform.Answering:
					f.Terminate()
					f.CloseClients()
				case platform.Flushing:
					f.CloseClients()
				case platform.Terminated:
					over = true
				}
			})
			if err != nil {
				return err
			}
			if over {
				return n.server.Stop(0)
			}
		}
	}
}

// clientLimits are what requests may name: what the deployment does, and figures that some machine could bear.
func clientLimits(m *platform.Document, dep *control.Deployment, ready func() bool) *downstream.Limits {
	age := map[string]float64{}
	for _, t := range dep.RequestClasses {
		age[t.Name] = t.Timeout
	}
	tenants := map[string]bool{}
	for _, t := range dep.Tenants {
		tenants[string(t.Name)] = true
	}
	return &downstream.Limits{Open: 32, First: 2.5, Arrival: 2, Idle: 5,
		MaxAge:   func(eventType string) float64 { return age[eventType] },
		Tenant:   func(name string) bool { return len(tenants) == 0 || tenants[name] },
		Ready:    ready,
		MemoryMB: 1 << 16, Lanes: 256, Load: 600, Work: 600}
}
