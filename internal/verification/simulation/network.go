package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"streamcleat/internal/units"
)

const (
	minLatency          = 0.0002   // seconds, one way
	maxLatency          = 0.004    // seconds, one way
	partitionRetryDelay = 0.1      // seconds between retries of deliveries and dials during a partition
	connectionTimeout   = 12.0     // seconds of partition after which the kernel resets a connection
	suspendedRetryDelay = 0.005    // seconds between checks whether a suspended process was resumed
	segmentBytes        = 1448     // maximum size of a segment
	defaultBuffer       = 64 << 10 // size of the kernel's send buffer in bytes
	maxReorderDelay     = 0.1      // maximum additional delay of a datagram in seconds
)

var (
	errRefused  = errors.New("connection refused")
	errTimedOut = errors.New("connection timed out")
)

// linkDirection is one direction of the link between two processes.
type linkDirection struct{ from, to string }

// network transports data between processes. Connections deliver data in order. During a partition they retransmit it until
// the connection times out. Datagrams may be lost, duplicated and reordered.
type network struct {
	scheduler   *scheduler
	rng         *rand.Rand
	extraDelay  map[linkDirection]units.Seconds // seconds
	partitions  map[linkDirection]int           // number of faults that partition the link
	loss        float64                         // fraction of datagrams that are lost
	duplication float64                         // fraction of datagrams that are duplicated
	buffer      int                             // size of the kernels' send buffers in bytes
	listeners   map[string]*listener
	conns       []*connection // open connections, in the order in which they were opened
	dialed      int
}

// listener accepts the connections to an address for a process.
type listener struct {
	process *process
	accept  func(*endpoint) bool // sets the endpoint's callbacks; false rejects the connection
}

func newNetwork(scheduler *scheduler, rng *rand.Rand) *network {
	return &network{
		scheduler: scheduler, rng: rng, extraDelay: map[linkDirection]units.Seconds{}, partitions: map[linkDirection]int{},
		listeners: map[string]*listener{}, buffer: defaultBuffer,
	}
}

// heal ends all network faults.
func (n *network) heal() {
	clear(n.partitions)
	clear(n.extraDelay)
	n.loss, n.duplication, n.buffer = 0, 0, defaultBuffer
}

func (n *network) delay(from, to string) units.Seconds {
	return units.Seconds(minLatency+(maxLatency-minLatency)*n.rng.Float64()*n.rng.Float64()) + n.extraDelay[linkDirection{from, to}]
}

func (n *network) isPartitioned(from, to string) bool {
	return n.partitions[linkDirection{from, to}] > 0
}

// dial is the state of an attempt to establish a connection.
type dial struct {
	network     *network
	process     *process
	incarnation int
	addr        string
	listener    *listener
	startedAt   units.Seconds
	timeout     units.Seconds
	done        func(*endpoint, error) // called in the process that dials
}

// dial connects a process to an address, and calls done with the result unless the process has ended by then.
func (n *network) dial(p *process, addr string, timeout units.Seconds, done func(*endpoint, error)) {
	d := &dial{
		network: n, process: p, incarnation: p.incarnation, addr: addr, listener: n.listeners[addr], startedAt: n.scheduler.now,
		timeout: timeout, done: done,
	}
	if d.listener == nil {
		d.fail(n.delay(p.name, addr), errRefused)
		return
	}
	n.scheduler.after(n.delay(p.name, d.listener.process.name), p.name+" dials "+addr, d.tryConnect)
}

func (d *dial) fail(delay units.Seconds, err error) {
	d.process.after(delay, "dialed "+d.addr, func() { d.done(nil, err) })
}

// tryConnect establishes the connection. During a partition it retries until the timeout has passed.
func (d *dial) tryConnect() {
	n, from, to := d.network, d.process, d.listener.process
	switch {
	case from.incarnation != d.incarnation:
	case n.isPartitioned(from.name, to.name) || n.isPartitioned(to.name, from.name) || !to.powered:
		if n.scheduler.now-d.startedAt+partitionRetryDelay > d.timeout {
			d.fail(0, errTimedOut)
			return
		}
		n.scheduler.after(partitionRetryDelay, from.name+" dials again", d.tryConnect)
	case !to.running || n.listeners[d.addr] != d.listener:
		d.fail(n.delay(to.name, from.name), errRefused)
	default:
		d.connect()
	}
}

func (d *dial) connect() {
	n, from, to := d.network, d.process, d.listener.process
	n.dialed++
	c := &connection{network: n, name: fmt.Sprintf("%s>%s#%d", from.name, d.addr, n.dialed)}
	for i, p := range []*process{from, to} {
		c.ends[i] = &endpoint{conn: c, side: i, process: p, incarnation: p.incarnation, canSend: true, bytesUntilReset: noReset}
	}
	n.conns = append(n.conns, c)
	// A suspended process doesn't delay the connection, since the kernel accepts it. The process handles it when resumed.
	n.scheduler.after(0, c.name+" accepted", to.whileRunning(func() {
		if !d.listener.accept(c.ends[1]) {
			c.ends[1].close()
		}
	}))
	n.scheduler.after(n.delay(to.name, from.name), c.name+" up", func() {
		if from.incarnation != d.incarnation || !from.running {
			c.ends[0].resetByKernel()
			return
		}
		from.whileRunning(func() { d.done(c.ends[0], nil) })()
	})
}

// endpointsOf returns a process's endpoints of its open connections.
func (n *network) endpointsOf(name string) (list []*endpoint) {
	for _, c := range n.conns {
		for _, e := range c.ends {
			if e.process.name == name && e.incarnation == e.process.incarnation {
				list = append(list, e)
			}
		}
	}
	return list
}

// endpointsBetween returns the first process's endpoints of its open connections with the second process.
func (n *network) endpointsBetween(a, b string) (list []*endpoint) {
	for _, e := range n.endpointsOf(a) {
		if e.peer().process.name == b && !e.finished {
			list = append(list, e)
		}
	}
	return list
}

// describeConnections describes the state of a process's open connections, for reports of violations.
func (n *network) describeConnections(name string) (list []string) {
	for _, e := range n.endpointsOf(name) {
		list = append(list, fmt.Sprintf("%s (finished %v, peer finished %v, %d bytes queued, blackholed %v)", e.conn.name, e.finished, e.peer().finished,
			e.queuedBytes, e.conn.blackholed))
	}
	return list
}

// sendDatagram sends a datagram, which may be lost, duplicated or reordered.
func (n *network) sendDatagram(from, to *process, data []byte, onReceived func([]byte)) {
	copies := 1
	if n.rng.Float64() < n.loss {
		copies = 0
	} else if n.rng.Float64() < n.duplication {
		copies = 2
	}
	for range copies {
		delay := n.delay(from.name, to.name)
		if n.duplication > 0 {
			delay += units.Seconds(n.rng.Float64() * maxReorderDelay)
		}
		n.scheduler.after(delay, from.name+" tells "+to.name, func() {
			if !n.isPartitioned(from.name, to.name) && to.running {
				n.scheduler.trace(to.name+" hears", data)
				to.whileRunning(func() { onReceived(data) })()
			}
		})
	}
}
