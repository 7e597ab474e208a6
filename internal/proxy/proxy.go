package proxy

import (
	"log/slog"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream"
	"streamcleat/internal/downstream/cloudevents"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
	"streamcleat/internal/upstream/openinference"
)

// SweepInterval is the interval, in seconds, at which the host must call Sweep.
const SweepInterval = 0.1

// Settings configures a [Proxy]. Times are in seconds.
type Settings struct {
	Name       string // for Proxy-Status and logs
	Cluster    string // datagrams of other clusters are dropped
	Dispatch   dispatch.Settings
	Upstream   openinference.Limits
	Downstream cloudevents.Limits
	// MaxClients is the maximum number of client connections.
	MaxClients int
	// OverflowClients is the maximum number of connections beyond MaxClients. Their requests are rejected, so that clients get
	// a response with the reason rather than a closed connection.
	OverflowClients int
	// EvictIdleClients makes a new connection at MaxClients evict the connection that has been idle longest, instead of being
	// rejected.
	EvictIdleClients bool
	// NewSession returns the session of a new client connection. The default speaks CloudEvents over HTTP.
	NewSession func(handler downstream.RequestHandler, now units.Seconds) Session
	// NewPool returns the pool of connections to workers. The default speaks the Open Inference Protocol.
	NewPool func(t Transport, results upstream.ExchangeHandler) UpstreamPool
	Log     *slog.Logger // nil: no logging
	// RecordStore stores the records that must outlive the process. If it is nil, none are stored.
	RecordStore RecordStore
	// RecordTimeout is the maximum time that a response waits for its record. If it is 0, there is no limit.
	RecordTimeout units.Seconds
	// Recovered holds the records of an earlier process.
	Recovered []dispatch.RecoveredRecord
	// ReplicaSnapshots holds the replicas of an earlier process, with their ages at the start of this one.
	ReplicaSnapshots []dispatch.ReplicaSnapshot
	// OnRequestEnd, unless nil, is called on the front end's goroutine for each ended request.
	OnRequestEnd func(response dispatch.Response, trace *dispatch.Trace)
}

// Proxy is one front end. It is confined to one goroutine.
type Proxy struct {
	settings         Settings
	host             Host
	log              *slog.Logger
	dispatcher       *dispatch.Dispatcher
	pool             UpstreamPool
	startedAt        units.Seconds       // on the host's clock
	failedAtRecovery []dispatch.Response // see FailedAtRecovery
	timerAt          units.Seconds       // time for which the host's timer is set; 0: not set

	// Open requests by the dispatcher's waiter.
	lastWaiter      dispatch.WaiterID
	clientRequests  map[dispatch.WaiterID]clientRequest
	internalWaiters map[dispatch.WaiterID]func(dispatch.Response) // submitted by Proxy.Submit

	clients       []*Client
	loadCountedAt units.Seconds // see logClientLoad
	overflow      int           // number of clients beyond MaxClients
	upstreamConns map[upstream.ConnID]Conn
	endpoints     endpointState
	durability    durabilityBarrier
	draining      bool // client connections are rejected
	closes        closeCounts

	// Work for Flush.
	flushing           bool
	readAheadPeriod    uint64 // changes when each client may be read ahead by maxReadAheadBytes again
	upstreamOperations []upstreamOperation
	permittedAt        units.Seconds   // of the message that is being encoded, see recordPermitTime; 0: it needs no permit
	inputReadAt        units.Seconds   // when the clients of the attempts that are being sent began to be read; 0: they were not
	rejectedAttempts   []uint64        // attempts to be rejected because their records can't be stored
	outgoingAttempts   []pendingEffect // attempts that wait until their clients' input has been read
	deferredAttempts   []pendingEffect // attempts whose clients had more input than is read in a turn
	clientsToSend      []*Client

	datagramHeader [datagramHeaderSize]byte
}

// New returns a Proxy that accepts connections and requests.
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
		settings.NewSession = func(handler downstream.RequestHandler, now units.Seconds) Session {
			return cloudevents.NewSession(settings.Downstream, settings.Name, handler, now)
		}
	}
	recovered, snapshots := settings.Recovered, settings.ReplicaSnapshots
	settings.Recovered, settings.ReplicaSnapshots = nil, nil // release their memory
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
	p.failedAtRecovery = p.dispatcher.Recover(p.startedAt, recovered)
	p.resetTimer()
	return p
}

// FailedAtRecovery returns the responses to requests of an earlier process that may have been executed and must not be
// executed again. The responses were not sent to a client.
func (p *Proxy) FailedAtRecovery() []dispatch.Response { return p.failedAtRecovery }

// Dispatcher returns the front end's dispatcher. A caller that changes its state must call Flush.
func (p *Proxy) Dispatcher() *dispatch.Dispatcher { return p.dispatcher }

// Connections returns the number of connections to clients and to workers.
func (p *Proxy) Connections() (clients, workers int) { return len(p.clients), p.pool.Len() }

// Submit submits an internal request. respond is called exactly once, on the front end's goroutine.
func (p *Proxy) Submit(request dispatch.Request, respond func(dispatch.Response)) {
	p.lastWaiter++
	p.internalWaiters[p.lastWaiter] = respond
	p.dispatcher.Submit(p.host.Now(), p.lastWaiter, request)
	p.Flush()
}

// Tick runs the dispatcher's timers that are due.
func (p *Proxy) Tick() {
	p.timerAt = 0
	p.dispatcher.Tick(p.host.Now())
	p.Flush()
}

// Sweep enforces the timeouts of connections to clients and workers.
func (p *Proxy) Sweep() {
	now := p.host.Now()
	p.pool.Tick(now)
	p.sweepClients(now)
	p.logWorkersDrainingByRejection()
	p.logAvailability()
	p.logClientLoad(now)
	p.Flush()
}

// Preload loads a replica of a function that will be requested soon. It reports whether a load command was sent.
func (p *Proxy) Preload(class, function string) bool {
	sent := p.dispatcher.Preload(p.host.Now(), class, function)
	p.Flush()
	return sent
}

// resetTimer sets the host's timer to the dispatcher's next timer.
func (p *Proxy) resetTimer() {
	if next := p.dispatcher.NextTimer(); p.timerAt == 0 || next != p.timerAt {
		p.timerAt = next
		p.host.SetTimer(next)
	}
}
