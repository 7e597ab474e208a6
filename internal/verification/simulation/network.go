package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

const (
	minLatency    = 0.0002   // seconds, one way
	maxLatency    = 0.004    // seconds, one way
	redialDelay   = 0.1      // seconds between attempts to get through a partition
	giveUpAfter   = 12.0     // seconds after which a kernel breaks a connection that does not get through
	pausedRetry   = 0.005    // seconds between looks whether a paused process reads again
	segmentBytes  = 1448     // that travel together at most
	defaultBuffer = 64 << 10 // bytes that a kernel takes off a sender
	overtakeDelay = 0.1      // seconds by which a datagram may be overtaken
)

var (
	errRefused = errors.New("connection refused")
	errNoRoute = errors.New("no answer")
)

// link is one direction between two processes.
type link struct{ from, to string }

// network carries bytes between processes. A connection keeps the order of its bytes; datagrams may be lost, duplicated
// and reordered. What a partition holds back is sent again until the partition heals or the connection is given up.
type network struct {
	scheduler   *scheduler
	rng         *rand.Rand
	extraDelay  map[link]float64 // seconds
	partitions  map[link]int     // several faults may cut the same link
	loss        float64          // share of datagrams
	duplication float64          // share of datagrams
	buffer      int              // bytes that a kernel takes off a sender that its peer has not read
	listeners   map[string]*listener
	conns       []*connection // open ones, in the order they were made
	dialed      int
}

// listener is an address that a process listens on.
type listener struct {
	process *process
	accept  func(*endpoint) bool // sets the endpoint's callbacks; false: closed at once
}

func newNetwork(scheduler *scheduler, rng *rand.Rand) *network {
	return &network{
		scheduler: scheduler, rng: rng, extraDelay: map[link]float64{}, partitions: map[link]int{},
		listeners: map[string]*listener{}, buffer: defaultBuffer,
	}
}

// heal ends all faults of the network.
func (n *network) heal() {
	clear(n.partitions)
	clear(n.extraDelay)
	n.loss, n.duplication, n.buffer = 0, 0, defaultBuffer
}

func (n *network) delay(from, to string) float64 {
	return minLatency + (maxLatency-minLatency)*n.rng.Float64()*n.rng.Float64() + n.extraDelay[link{from, to}]
}

func (n *network) isCut(from, to string) bool { return n.partitions[link{from, to}] > 0 }

// dial is one attempt of a process to connect to an address.
type dial struct {
	network     *network
	process     *process
	incarnation int
	addr        string
	listener    *listener
	began       float64
	timeout     float64
	done        func(*endpoint, error) // called in the process
}

// dial connects a process to an address.
func (n *network) dial(p *process, addr string, timeout float64, done func(*endpoint, error)) {
	d := &dial{
		network: n, process: p, incarnation: p.incarnation, addr: addr, listener: n.listeners[addr], began: n.scheduler.now,
		timeout: timeout, done: done,
	}
	if d.listener == nil {
		d.fail(n.delay(p.name, addr), errRefused)
		return
	}
	n.scheduler.after(n.delay(p.name, d.listener.process.name), p.name+" dials "+addr, d.try)
}

func (d *dial) fail(delay float64, err error) {
	d.process.after(delay, "dialed "+d.addr, func() { d.done(nil, err) })
}

// try connects, or tries again later where nothing gets through.
func (d *dial) try() {
	n, from, to := d.network, d.process, d.listener.process
	switch {
	case from.incarnation != d.incarnation:
	case n.isCut(from.name, to.name) || n.isCut(to.name, from.name) || !to.powered:
		if n.scheduler.now-d.began+redialDelay > d.timeout {
			d.fail(0, errNoRoute)
			return
		}
		n.scheduler.after(redialDelay, from.name+" dials again", d.try)
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
		c.ends[i] = &endpoint{conn: c, side: i, process: p, incarnation: p.incarnation, canSend: true, breakAfter: unlimited}
	}
	n.conns = append(n.conns, c)
	// The kernel takes the connection for a process that is paused.
	n.scheduler.after(0, c.name+" accepted", to.guard(func() {
		if !d.listener.accept(c.ends[1]) {
			c.ends[1].close()
		}
	}))
	n.scheduler.after(n.delay(to.name, from.name), c.name+" up", func() {
		if from.incarnation != d.incarnation || !from.running {
			c.ends[0].vanish()
			return
		}
		from.guard(func() { d.done(c.ends[0], nil) })()
	})
}

// endpointsOf returns the endpoints of a process, of its open connections.
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

// between returns the open connections of two processes, as their endpoints at the first.
func (n *network) between(a, b string) (list []*endpoint) {
	for _, e := range n.endpointsOf(a) {
		if e.peer().process.name == b && !e.finished {
			list = append(list, e)
		}
	}
	return list
}

// describe lists the open connections of a process for a report.
func (n *network) describe(name string) (list []string) {
	for _, e := range n.endpointsOf(name) {
		list = append(list, fmt.Sprintf("%s (over %v and %v, %d bytes wait, dead %v)", e.conn.name, e.finished, e.peer().finished,
			e.queuedBytes, e.conn.blackholed))
	}
	return list
}

// sendDatagram sends one datagram; it may be lost, duplicated or late.
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
			delay += n.rng.Float64() * overtakeDelay
		}
		n.scheduler.after(delay, from.name+" tells "+to.name, func() {
			if !n.isCut(from.name, to.name) && to.running {
				n.scheduler.trace(to.name+" hears", data)
				to.guard(func() { onReceived(data) })()
			}
		})
	}
}
