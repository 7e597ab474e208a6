//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"streamcleat/internal/verification/ports"
)

// machine says what workers can do.
type machine struct {
	kind       string
	cores      int
	work       time.Duration // of a request on a warm core
	load       time.Duration // of a copy
	coldFrom   float64
	warmWithin time.Duration
	loadOnMiss bool // else a request without a copy is answered with "miss"
}

// capacity returns the requests a second of a warm worker.
func (m machine) capacity() float64 { return float64(m.cores) / m.work.Seconds() }

// worker is an entry of the list. Its process may be replaced.
type worker struct {
	rig     *rig
	name    string
	machine machine

	mu        sync.Mutex
	addresses []string // by front end
	process   *workerProcess
	drainAt   time.Duration // since the start of the case; 0: it does not drain
	requests  []received    // of all processes
	orders    []received    // to load at least one copy
}

// received is a request or an order that reached a worker whole.
type received struct {
	at       time.Duration
	frontEnd int
	id       uint64
	function string
	body     string
	process  *workerProcess
}

// workerProcess is one life of a worker.
type workerProcess struct {
	worker    *worker
	startedAt time.Time
	cold      bool
	listeners []net.Listener
	lanes     chan struct{}
	end       context.CancelFunc
	ctx       context.Context

	mu     sync.Mutex
	conns  map[net.Conn]bool
	copies map[string]chan struct{} // closed once the copy is loaded
}

// listen listens on an address, or on a free one if it is empty.
func listen(address string) (net.Listener, error) {
	for try := 0; ; try++ {
		listener, err := ports.Listen(address)
		if err == nil || address == "" || try > 50 {
			return listener, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *rig) newWorker(name string, m machine, frontEnds int) (*worker, error) {
	w := &worker{rig: r, name: name, machine: m, addresses: make([]string, frontEnds)}
	return w, w.boot(false)
}

// startWorkers starts a number of workers and lists them in the first event of the journal.
func (r *rig) startWorkers(j *journal, count int, kind func(n int) machine) ([]*worker, error) {
	var all []*worker
	var list []host
	for n := range count {
		w, err := r.newWorker(fmt.Sprintf("s-%08x", 0x00c41f7a+n*0x11a3b5c7), kind(n), len(r.frontEnd))
		if err != nil {
			return nil, err
		}
		all, list = append(all, w), append(list, host{w, "active", 0})
	}
	j.add(true, list...)
	return all, nil
}

// leave ends a worker that drained.
func (w *worker) leave(j *journal) {
	j.add(false, host{w, "left", 0})
	w.die()
}

func (w *worker) address(frontEnd int) string { return w.addresses[frontEnd] }

// boot starts a process of the worker at its addresses.
func (w *worker) boot(cold bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	p := &workerProcess{
		worker: w, startedAt: time.Now(), cold: cold, lanes: make(chan struct{}, w.machine.cores), ctx: ctx, end: cancel,
		conns: map[net.Conn]bool{}, copies: map[string]chan struct{}{},
	}
	for number := range w.addresses {
		listener, err := listen(w.addresses[number])
		if err != nil {
			return err
		}
		w.addresses[number] = listener.Addr().String()
		p.listeners = append(p.listeners, listener)
		go p.accept(listener, number)
	}
	w.mu.Lock()
	w.process = p
	w.mu.Unlock()
	w.rig.log(w.name, "process starts, cold=%v", cold)
	return nil
}

// die ends the process: its connections are reset and new ones refused.
func (w *worker) die() {
	p := w.current()
	w.rig.log(w.name, "process dies")
	p.end()
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (w *worker) current() *workerProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.process
}

// drain makes the worker answer all that is new with "full".
func (w *worker) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drainAt = w.rig.now()
	w.rig.log(w.name, "begins to drain")
}

func (w *worker) draining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drainAt > 0
}

// fraction returns the part of its capacity that the process has at a time.
func (p *workerProcess) fraction(at time.Time) float64 {
	m := p.worker.machine
	age := at.Sub(p.startedAt)
	if !p.cold || age >= m.warmWithin {
		return 1
	}
	return m.coldFrom + (1-m.coldFrom)*age.Seconds()/m.warmWithin.Seconds()
}

func (p *workerProcess) accept(listener net.Listener, frontEnd int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[conn] = true
		p.mu.Unlock()
		go p.serve(conn, frontEnd)
	}
}

// connection is one connection of a front end.
type connection struct {
	process  *workerProcess
	conn     net.Conn
	frontEnd int

	mu   sync.Mutex
	open map[uint64]context.CancelFunc
}

func (p *workerProcess) serve(conn net.Conn, frontEnd int) {
	c := &connection{process: p, conn: conn, frontEnd: frontEnd, open: map[uint64]context.CancelFunc{}}
	in := bufio.NewReader(conn)
	for {
		code, id, fields, body, err := readWorkerFrame(in)
		if err != nil {
			break
		}
		c.onFrame(code, id, fields, body)
	}
	_ = conn.Close()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.open {
		cancel()
	}
}

func (c *connection) onFrame(code byte, id uint64, fields map[string]string, body string) {
	w := c.process.worker
	got := received{at: w.rig.now(), frontEnd: c.frontEnd, id: id, function: fields["path"], body: body, process: c.process}
	switch code {
	case 48:
		w.rig.log(w.name, "request %016x of n%d for %s budget=%s", id, c.frontEnd, got.function, fields["budget"])
		w.mu.Lock()
		w.requests = append(w.requests, got)
		w.mu.Unlock()
		ctx, cancel := context.WithCancel(c.process.ctx)
		c.mu.Lock()
		c.open[id] = cancel
		c.mu.Unlock()
		go c.execute(ctx, id, got.function, body)
	case 49:
		w.rig.log(w.name, "give-up %016x of n%d", id, c.frontEnd)
		c.mu.Lock()
		if cancel := c.open[id]; cancel != nil {
			cancel()
			delete(c.open, id)
		}
		c.mu.Unlock()
	case 50:
		c.write(70, id, "", "")
	case 52:
		copies, _ := strconv.Atoi(fields["slots_up"])
		w.rig.log(w.name, "order of n%d for %s copies=%d", c.frontEnd, got.function, copies)
		if copies > 0 {
			w.mu.Lock()
			w.orders = append(w.orders, got)
			w.mu.Unlock()
		}
		go c.order(id, got.function, copies)
	}
}

// copyOf returns the channel that is closed once a copy of the function is loaded, and whether this call began the load; nil
// if there is none and load is false.
func (p *workerProcess) copyOf(function string, load bool) (loaded chan struct{}, began bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	loaded = p.copies[function]
	if loaded == nil && load {
		loaded, began = make(chan struct{}), true
		p.copies[function] = loaded
		go func() {
			time.Sleep(p.worker.machine.load)
			close(loaded)
		}()
	}
	return loaded, began
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (c *connection) order(id uint64, function string, copies int) {
	p := c.process
	if p.worker.draining() && (copies > 0 || os.Getenv("ANSWERS") == "") { // ANSWERS=1: an order that only asks is answered
		c.write(67, id, "slots_up=0", "")
		return
	}
	loaded, _ := p.copyOf(function, copies > 0)
	if copies > 0 {
		<-loaded
	}
	count := 0
	if loaded != nil && isClosed(loaded) {
		count = 1
	}
	c.write(64, id, fmt.Sprintf("slots_up=%d", count), "")
}

func (c *connection) execute(ctx context.Context, id uint64, function, body string) {
	p := c.process
	if p.worker.draining() {
		c.end(id, 67, "", "")
		return
	}
	loaded, began := p.copyOf(function, p.worker.machine.loadOnMiss)
	detail := "detail=pending"
	switch {
	case loaded == nil:
		c.end(id, 66, "", "")
		return
	case began:
		detail = "detail=spawn"
	case isClosed(loaded):
		detail = "detail=hit"
	}
	select {
	case <-loaded:
	case <-ctx.Done():
		return
	}
	select {
	case p.lanes <- struct{}{}:
	case <-ctx.Done():
		return
	}
	time.Sleep(time.Duration(float64(p.worker.machine.work) / p.fraction(time.Now())))
	<-p.lanes
	c.end(id, 64, detail, "ran:"+body)
}

// end answers a request unless it was given up.
func (c *connection) end(id uint64, code byte, fields, body string) {
	c.mu.Lock()
	_, open := c.open[id]
	delete(c.open, id)
	c.mu.Unlock()
	if open {
		c.process.worker.rig.log(c.process.worker.name, "answer %016x to n%d code=%d %s", id, c.frontEnd, code, fields)
		c.write(code, id, fields, body)
	}
}

func (c *connection) write(code byte, id uint64, fields, body string) {
	b := binary.BigEndian.AppendUint16([]byte{193, code}, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(append(b, fields...), body...)
	b = binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[16:]))
	_, _ = c.conn.Write(b)
}

func readWorkerFrame(in io.Reader) (code byte, id uint64, fields map[string]string, body string, err error) {
	header := make([]byte, 16)
	if _, err = io.ReadFull(in, header); err != nil {
		return
	}
	size := int(binary.BigEndian.Uint16(header[2:]))
	rest := make([]byte, size+int(binary.BigEndian.Uint32(header[4:]))+4)
	if _, err = io.ReadFull(in, rest); err != nil {
		return
	}
	if header[0] != 192 || crc32.ChecksumIEEE(rest[:len(rest)-4]) != binary.BigEndian.Uint32(rest[len(rest)-4:]) {
		return 0, 0, nil, "", fmt.Errorf("not a frame of a front end")
	}
	fields = map[string]string{}
	for pair := range strings.SplitSeq(string(rest[:size]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		fields[name] = value
	}
	return header[1], binary.BigEndian.Uint64(header[8:]), fields, string(rest[size : len(rest)-4]), nil
}
