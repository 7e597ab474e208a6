package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// network carries bytes between processes. A connection keeps the order of its bytes; datagrams may be lost, doubled
// and overtake each other. What is cut off is kept and sent again until the cut heals or the connection is given up.
type network struct {
	w       *world
	rng     *rand.Rand
	lag     map[[2]string]float64 // seconds more, one way, by from and to
	cuts    map[[2]string]int     // one way; several faults may cut the same
	loss    float64               // of datagrams
	doubled float64
	buffer  int // bytes that a kernel takes off a sender that its peer has not read
	doors   map[string]*door
	conns   []*conn // open ones, in the order they were made
	no      int
}

const (
	lagLeast = 0.0002
	lagMost  = 0.004
	again    = 0.1  // pause between attempts to get through a cut
	giveUp   = 12.0 // after which a kernel breaks the connection
	segment  = 1448 // bytes that travel together at most
)

// door is an address that is listened on.
type door struct {
	p      *proc
	accept func(*end) bool // sets what the end does; false: closed at once
}

// conn is one connection.
type conn struct {
	n      *network
	name   string
	ends   [2]*end
	dead   bool // nothing of it travels any more, and nobody is told: its packets are lost for good
	harmed bool // a fault strikes it
}

// end is one side of a connection. Its process is told through data and closed.
type end struct {
	c       *conn
	side    int
	p       *proc
	life    int
	data    func([]byte)
	closed  func() // the other side closed or broke it
	ended   func() // this side is over, whoever closed it
	tap     func([]byte)
	queue   [][]byte // towards the other side; nil closes
	due     []float64
	waiting int // bytes in the queue
	open    bool
	pump    *step
	first   float64 // when it was first tried to get the head through a cut; 0: not yet
	slow    float64 // bytes a second that this side reads; 0: all
	breakAt int     // bytes that this side may still get before the connection breaks; below 0: any number
	over    bool    // told that it is closed, or closed itself
}

func newNetwork(w *world, rng *rand.Rand) *network {
	return &network{w: w, rng: rng, lag: map[[2]string]float64{}, cuts: map[[2]string]int{}, doors: map[string]*door{}, buffer: 64 << 10}
}

func (n *network) delay(from, to string) float64 {
	return lagLeast + (lagMost-lagLeast)*n.rng.Float64()*n.rng.Float64() + n.lag[[2]string{from, to}]
}

func (n *network) cut(from, to string) bool { return n.cuts[[2]string{from, to}] > 0 }

var (
	errRefused = errors.New("connection refused")
	errNoRoute = errors.New("no answer")
)

// dial connects a process to an address: told is called with this side's end or an error, in the process.
func (n *network) dial(p *proc, addr string, limit float64, told func(*end, error)) {
	d := n.doors[addr]
	life := p.life
	tell := func(after float64, e *end, err error) {
		p.in(after, "dialed "+addr, func() { told(e, err) })
	}
	if d == nil {
		tell(n.delay(p.name, addr), nil, errRefused)
		return
	}
	began := n.w.now
	var knock func()
	knock = func() {
		switch {
		case p.life != life:
			return
		case n.cut(p.name, d.p.name) || n.cut(d.p.name, p.name) || !d.p.power:
			if n.w.now-began+again > limit {
				tell(0, nil, errNoRoute)
				return
			}
			n.w.in(again, p.name+" dials again", knock)
			return
		case !d.p.up || n.doors[addr] != d:
			tell(n.delay(d.p.name, p.name), nil, errRefused)
			return
		}
		n.no++
		c := &conn{n: n, name: fmt.Sprintf("%s>%s#%d", p.name, addr, n.no)}
		for i, at := range []*proc{p, d.p} {
			c.ends[i] = &end{c: c, side: i, p: at, life: at.life, open: true, breakAt: -1}
		}
		n.conns = append(n.conns, c)
		// The kernel takes the connection for a process that stands still.
		n.w.in(0, c.name+" accepted", d.p.do(func() {
			if !d.accept(c.ends[1]) {
				c.ends[1].close()
			}
		}))
		n.w.in(n.delay(d.p.name, p.name), c.name+" up", func() {
			if p.life != life || !p.up {
				c.ends[0].vanish()
				return
			}
			p.do(func() { told(c.ends[0], nil) })()
		})
	}
	n.w.in(n.delay(p.name, d.p.name), p.name+" dials "+addr, knock)
}

func (e *end) other() *end { return e.c.ends[1-e.side] }

// write sends bytes.
func (e *end) write(data []byte) {
	if !e.open || e.over || len(data) == 0 {
		return
	}
	if e.tap != nil {
		e.tap(data)
	}
	for len(data) > 0 {
		n := min(len(data), segment)
		if e.c.n.rng.IntN(8) == 0 { // now and then a packet is cut short
			n = 1 + e.c.n.rng.IntN(n)
		}
		e.send(append([]byte(nil), data[:n]...))
		data = data[n:]
	}
}

func (e *end) send(part []byte) {
	n := e.c.n
	at := n.w.now + n.delay(e.p.name, e.other().p.name)
	if len(e.due) > 0 {
		at = max(at, e.due[len(e.due)-1])
	}
	e.queue, e.due = append(e.queue, part), append(e.due, at)
	e.waiting += len(part)
	e.plan()
}

func (e *end) plan() {
	if e.pump == nil && len(e.queue) > 0 {
		e.pump = e.c.n.w.in(e.due[0]-e.c.n.w.now, e.c.name, e.deliver)
	}
}

// deliver brings the head of the queue to the other side.
func (e *end) deliver() {
	e.pump = nil
	o, n := e.other(), e.c.n
	switch {
	case e.c.dead || len(e.queue) == 0:
		e.queue, e.due, e.waiting = nil, nil, 0
		return
	case n.cut(e.p.name, o.p.name) || !o.p.power:
		if e.first == 0 {
			e.first = n.w.now
		}
		if n.w.now-e.first > giveUp {
			e.c.reset()
			return
		}
		e.due[0] = n.w.now + again
		e.plan()
		return
	case o.p.life != o.life: // nobody there knows the connection any more
		e.reset()
		return
	case o.p.still: // the kernel keeps it
		e.due[0] = n.w.now + 0.005
		e.plan()
		return
	}
	e.first = 0
	part := e.queue[0]
	e.queue, e.due = e.queue[1:], e.due[1:]
	if len(e.queue) == 0 {
		e.queue, e.due = nil, nil
	}
	if o.slow > 0 && len(part) > 0 && len(e.due) > 0 {
		e.due[0] = max(e.due[0], n.w.now+float64(len(part))/o.slow)
	}
	e.waiting -= len(part)
	n.w.mark(e.c.name, part)
	switch {
	case part == nil: // whoever is told so closes too
		if o.open {
			o.send(nil)
			o.open = false
		}
		o.gone()
	case o.breakAt >= 0 && len(part) >= o.breakAt:
		part = part[:o.breakAt]
		o.breakAt = -1
		if len(part) > 0 && o.data != nil && !o.over {
			o.data(part)
		}
		e.c.reset()
		return
	default:
		if o.breakAt >= 0 {
			o.breakAt -= len(part)
		}
		if o.data != nil && !o.over {
			o.data(part)
		}
	}
	e.plan()
}

// gone tells this side that the other closed.
func (e *end) gone() {
	if e.over {
		return
	}
	e.finish()
	if e.closed != nil && e.p.life == e.life {
		e.p.do(e.closed)()
	}
}

// reset breaks the connection: this side is told now, the other when the news reaches it.
func (e *end) reset() {
	e.queue, e.due, e.waiting = nil, nil, 0
	e.gone()
}

func (c *conn) reset() {
	c.dead = true // what is written from now on goes nowhere
	for _, e := range c.ends {
		e.queue, e.due, e.waiting = nil, nil, 0
	}
	for _, e := range c.ends {
		c.n.w.in(c.n.delay(e.other().p.name, e.p.name), c.name+" breaks", e.gone)
	}
}

// close ends this side; what was written still goes out before the other side learns of it.
func (e *end) close() {
	if e.over && !e.open {
		return
	}
	if e.open {
		e.send(nil)
	}
	e.finish()
}

// finish is the end of this side's use of the connection.
func (e *end) finish() {
	e.open, e.over = false, true
	if e.ended != nil {
		e.ended()
		e.ended = nil
	}
	e.c.tidy()
}

// shut closes this side's sending; it still reads.
func (e *end) shut() {
	if e.open {
		e.send(nil)
		e.open = false
	}
}

// vanish is what a kernel does for a process that ended: the other side's packets are answered by a reset.
func (e *end) vanish() {
	if e.over {
		return
	}
	e.queue, e.due, e.waiting = nil, nil, 0
	o := e.other()
	if !e.c.dead && !o.over {
		n := e.c.n
		var news func()
		news = func() {
			if n.cut(e.p.name, o.p.name) {
				n.w.in(again, e.c.name+" breaks", news)
				return
			}
			o.gone()
		}
		n.w.in(n.delay(e.p.name, o.p.name), e.c.name+" breaks", news)
	}
	e.finish()
}

// harm breaks the connection once this side has got so many more bytes.
func (e *end) harm(bytes int) {
	e.c.harmed = true
	e.breakAt = bytes
}

// silence loses all further packets of a connection; nobody is told.
func (c *conn) silence() { c.dead = true }

func (c *conn) tidy() {
	if c.ends[0].over && c.ends[1].over {
		for i, x := range c.n.conns {
			if x == c {
				c.n.conns = append(c.n.conns[:i], c.n.conns[i+1:]...)
				return
			}
		}
	}
}

// unsent is what the sender's kernel has not taken.
func (e *end) unsent() int { return max(e.waiting-e.c.n.buffer, 0) }

// of are the open connections that touch a process.
func (n *network) of(name string) (list []*end) {
	for _, c := range n.conns {
		for _, e := range c.ends {
			if e.p.name == name && e.life == e.p.life {
				list = append(list, e)
			}
		}
	}
	return list
}

// names are the open connections of a process, for a report.
func (n *network) names(name string) (list []string) {
	for _, e := range n.of(name) {
		list = append(list, fmt.Sprintf("%s (over %v and %v, %d bytes wait, dead %v)", e.c.name, e.over, e.other().over, e.waiting, e.c.dead))
	}
	return
}

// between are the open connections of two processes, as their ends at the first.
func (n *network) between(a, b string) (list []*end) {
	for _, e := range n.of(a) {
		if e.other().p.name == b && !e.over {
			list = append(list, e)
		}
	}
	return list
}

// datagram sends one; it may be lost, doubled or late.
func (n *network) datagram(from *proc, to *proc, data []byte, heard func([]byte)) {
	copies := 1
	if n.rng.Float64() < n.loss {
		copies = 0
	} else if n.rng.Float64() < n.doubled {
		copies = 2
	}
	for range copies {
		after := n.delay(from.name, to.name)
		if n.doubled > 0 {
			after += n.rng.Float64() * 0.1 // overtaken by later ones
		}
		n.w.in(after, from.name+" tells "+to.name, func() {
			if !n.cut(from.name, to.name) && to.up {
				n.w.mark(to.name+" hears", data)
				to.do(func() { heard(data) })()
			}
		})
	}
}
