// Package proxy is one front end without its sockets and its clock: the clients' sessions, the dispatcher, the
// connections to workers, the endpoint list, and what waits for records to reach the disk. It owns all of that state.
// It is called on one goroutine, with what came in, and calls out through Host: eventloop gives it real sockets,
// simulation a virtual network and clock. It makes no routing decision; package control does.
package proxy

import (
	"log/slog"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream/cloudevents"
	"streamcleat/internal/upstream"
	"streamcleat/internal/upstream/openinference"
)

// SweepEvery is the interval, in seconds, at which the host calls Sweep.
const SweepEvery = 0.1

// Settings of one front end. Times are seconds.
type Settings struct {
	Name             string // for Proxy-Status and logs
	Cluster          string // datagrams of another cluster are dropped
	Dispatch         dispatch.Settings
	Upstream         openinference.Limits
	Downstream       cloudevents.Limits
	MaxClients       int                                                              // client connections; any further one is closed
	EvictIdleClients bool                                                             // the client connection idle longest is closed instead
	NewSession       func(handler RequestHandler, now float64) Session                // a client's connection; nil: the HTTP ingress
	NewPool          func(t Transport, results upstream.ExchangeHandler) UpstreamPool // connections to workers; nil: Open Inference Protocol
	Log              *slog.Logger                                                     // nil: nothing is logged
	RecordStore      RecordStore                                                      // keeps what must outlive the process; nil: nothing does
	RecordTimeout    float64                                                          // a response waits no longer than this for its record
	Recovered        []dispatch.RecoveredRecord                                       // what an earlier process recorded
	ReplicaSnapshots []dispatch.ReplicaSnapshot                                       // replicas that it knew, with their ages at the start
	OnRequestEnd     func(response dispatch.Response, trace *dispatch.Trace)          // called on the loop for each ended request; may be nil
}

// Proxy is the state of one front end.
type Proxy struct {
	settings   Settings
	host       Host
	log        *slog.Logger
	dispatcher *dispatch.Dispatcher
	pool       UpstreamPool
	startedAt  float64             // on the host's clock
	unanswered []dispatch.Response // of an earlier process, see Lost
	timerAt    float64             // for which the host's timer is set; 0: it has fired

	// Requests that wait for a response, by the waiter that the dispatcher knows them by.
	lastWaiter      dispatch.WaiterID
	clientRequests  map[dispatch.WaiterID]clientRequest
	internalWaiters map[dispatch.WaiterID]func(dispatch.Response) // submitted within the process

	clients       []*Client
	upstreamConns map[upstream.ConnID]Conn
	endpoints     endpointState
	durability    durabilityBarrier
	draining      bool // no connection is accepted any more
	closes        closeCounts

	// Work for Flush, in the order in which it was asked for.
	flushing         bool
	operations       []operation
	rejectedAttempts []uint64        // attempts whose records can't be taken
	outgoingAttempts []pendingEffect // attempts, until what their clients sent is read
	clientsToSend    []*Client

	datagramHeader [datagramHeaderSize]byte
}

// New makes a front end that serves from now on.
func New(settings Settings, host Host) *Proxy {
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	if settings.NewPool == nil {
		settings.NewPool = func(t Transport, results upstream.ExchangeHandler) UpstreamPool {
			return openinference.NewPool(settings.Upstream, t, results)
		}
	}
	if settings.NewSession == nil {
		settings.NewSession = func(handler RequestHandler, now float64) Session {
			return cloudevents.NewSession(settings.Downstream, settings.Name, handler, now)
		}
	}
	recovered, snapshots := settings.Recovered, settings.ReplicaSnapshots
	settings.Recovered, settings.ReplicaSnapshots = nil, nil // not kept for the life of the process
	p := &Proxy{
		settings:        settings,
		host:            host,
		log:             settings.Log,
		startedAt:       host.Now(),
		clientRequests:  map[dispatch.WaiterID]clientRequest{},
		internalWaiters: map[dispatch.WaiterID]func(dispatch.Response){},
		upstreamConns:   map[upstream.ConnID]Conn{},
		endpoints:       newEndpointState(snapshots),
		datagramHeader:  datagramHeader(settings.Cluster),
	}
	p.pool = settings.NewPool(upstreamTransport{p}, exchangeHandler{p})
	p.dispatcher = dispatch.New(settings.Dispatch, dispatchEffects{p}, p.startedAt)
	p.unanswered = p.dispatcher.Recover(p.startedAt, recovered)
	p.resetTimer()
	return p
}

// Unanswered are requests of an earlier process that may have run and must not run again; nobody was told how they ended.
func (p *Proxy) Unanswered() []dispatch.Response { return p.unanswered }

// Dispatcher is the front end's dispatcher; whoever changes it calls Flush.
func (p *Proxy) Dispatcher() *dispatch.Dispatcher { return p.dispatcher }

// Connections counts the connections to clients and workers.
func (p *Proxy) Connections() (clients, backends int) { return len(p.clients), p.pool.Len() }

// Submit takes a request from within the process; respond is called exactly once, on the front end's goroutine.
func (p *Proxy) Submit(request dispatch.Request, respond func(dispatch.Response)) {
	p.lastWaiter++
	p.internalWaiters[p.lastWaiter] = respond
	p.dispatcher.Submit(p.host.Now(), p.lastWaiter, request)
	p.Flush()
}

// Tick fires the dispatcher's timers that are due.
func (p *Proxy) Tick() {
	p.timerAt = 0
	p.dispatcher.Tick(p.host.Now())
	p.Flush()
}

// Sweep looks at idle and slow connections.
func (p *Proxy) Sweep() {
	now := p.host.Now()
	p.pool.Tick(now)
	p.sweepClients(now)
	p.Flush()
}

// Preload has a replica of a function loaded that will be needed soon; it tells whether a load was ordered.
func (p *Proxy) Preload(class, function string) (ordered bool) {
	ordered = p.dispatcher.Preload(p.host.Now(), class, function)
	p.Flush()
	return ordered
}

// resetTimer sets the host's timer to the dispatcher's next one.
func (p *Proxy) resetTimer() {
	if next := p.dispatcher.NextTimer(); p.timerAt == 0 || next != p.timerAt {
		p.timerAt = next
		p.host.SetTimer(next)
	}
}
