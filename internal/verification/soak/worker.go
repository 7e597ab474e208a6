package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	workerLanes  = 4 // requests that a worker runs at a time
	meanWork     = 20 * time.Millisecond
	loadTime     = 60 * time.Millisecond
	maxQueued    = 40 // requests that wait at a worker; more are rejected
	secondReply  = 4 * time.Millisecond
	silentWorker = 50 * time.Millisecond // interval at which a worker that hangs looks whether it still does
)

// workerFault is a way in which a worker misbehaves.
type workerFault int32

// The faults.
const (
	healthy workerFault = iota
	hangs               // it reads and does not reply
	resets              // it resets connections at a request, before or after it ran
	spoils              // its replies can't be read
	repeats             // each reply comes twice, some milliseconds apart
	rejects             // it is full
	faultCount
)

// worker is a fake worker process. Each front end reaches it at an address of its own, so that it knows who sends.
type worker struct {
	site      *site
	name      string
	addresses []string // by front end
	startedAt time.Time
	fault     atomic.Int32
	lanes     chan struct{}
	waiting   atomic.Int32

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
	loaded    map[string]bool
	closed    bool
}

// startWorker starts a process; addresses are those of a process that is gone, or nil for new ones.
func (s *site) startWorker(name string, addresses []string) (*worker, error) {
	w := &worker{
		site: s, name: name, startedAt: time.Now(), lanes: make(chan struct{}, workerLanes), conns: map[net.Conn]bool{},
		loaded: map[string]bool{},
	}
	for number := range s.settings.FrontEnds {
		var address string
		if addresses != nil {
			address = addresses[number]
		}
		listener, err := listen(address)
		if err != nil {
			w.crash()
			return nil, fmt.Errorf("worker %s: %w", name, err)
		}
		w.listeners = append(w.listeners, listener)
		w.addresses = append(w.addresses, listener.Addr().String())
		go w.accept(listener, frontEndName(number))
	}
	return w, nil
}

// crash ends the process: its connections are reset and its addresses refuse further ones.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, listener := range w.listeners {
		_ = listener.Close() // it is not used again
	}
	for conn := range w.conns {
		reset(conn)
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it may be closed already
	}
	_ = conn.Close()
}

func (w *worker) accept(listener net.Listener, frontEnd string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.conns[conn] = !w.closed; w.closed {
			reset(conn)
		}
		w.mu.Unlock()
		go w.serve(conn, frontEnd)
	}
}

// workerConn is one connection of a front end to a worker.
type workerConn struct {
	worker   *worker
	conn     net.Conn
	frontEnd string

	mu   sync.Mutex
	open map[uint64]uint64 // calls of the recorder by request
}

func (w *worker) serve(conn net.Conn, frontEnd string) {
	c := &workerConn{worker: w, conn: conn, frontEnd: frontEnd, open: map[uint64]uint64{}}
	in := bufio.NewReader(conn)
	for {
		frame, err := readWorkerFrame(in)
		if err != nil {
			break
		}
		c.onFrame(frame)
	}
	_ = conn.Close() // the other side has left
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
	c.endAll()
}

// endAll records the end of what was open on a connection that is gone.
func (c *workerConn) endAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, call := range c.open {
		c.worker.site.recorder.Add(invariants.Record{Kind: invariants.AttemptEnded, CallID: call, RequestID: requestName(id)})
	}
	clear(c.open)
}

// end records the end of an attempt, once, and tells whether it was open.
func (c *workerConn) end(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	call, open := c.open[id]
	if open {
		delete(c.open, id)
		c.worker.site.recorder.Add(invariants.Record{Kind: invariants.AttemptEnded, CallID: call, RequestID: requestName(id)})
	}
	return open
}

func (c *workerConn) onFrame(frame workerFrame) {
	switch frame.command {
	case commandAttempt:
		c.onAttempt(frame)
	case commandCancel:
		c.end(frame.id)
	case commandLoad:
		go c.load(frame)
	case commandUnload:
		c.worker.mu.Lock()
		delete(c.worker.loaded, requestName(frame.id))
		c.worker.mu.Unlock()
	default:
		c.worker.site.violate("frame", "%s sent command %d to %s", c.frontEnd, frame.command, c.worker.name)
	}
}

func (c *workerConn) onAttempt(frame workerFrame) {
	w := c.worker
	budget, err := strconv.ParseFloat(frame.fields["budget"], 64)
	if err != nil {
		w.site.violate("frame", "budget %q: %v", frame.fields["budget"], err)
	}
	call := w.site.recorder.NextCallID()
	c.mu.Lock()
	c.open[frame.id] = call
	c.mu.Unlock()
	w.site.recorder.Add(invariants.Record{
		Kind: invariants.AttemptStarted, CallID: call, RequestID: requestName(frame.id), Worker: w.name,
		FrontEnd: w.site.processName(c.frontEnd), Class: frame.fields["queue"], Function: frame.fields["path"], Timeout: budget / 1000,
	})
	go c.run(frame, workerFault(w.fault.Load()))
}

// run executes a request, as the worker's fault lets it.
func (c *workerConn) run(frame workerFrame, fault workerFault) {
	w := c.worker
	if fault == hangs {
		for w.fault.Load() == int32(hangs) {
			time.Sleep(silentWorker)
		}
		c.end(frame.id) // it replies to nothing that came meanwhile
		return
	}
	if fault == resets && rand.IntN(2) == 0 {
		reset(c.conn)
		return
	}
	w.mu.Lock()
	loaded := w.loaded[frame.fields["path"]]
	w.mu.Unlock()
	switch {
	case !loaded:
		c.reply(replyMissing, frame, nil, fault)
		return
	case fault == rejects || w.waiting.Add(1) > maxQueued:
		c.reply(replyRejected, frame, nil, fault)
		return
	}
	w.lanes <- struct{}{}
	w.waiting.Add(-1)
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanWork)))
	<-w.lanes
	if !w.site.execute(frame, w.name) {
		c.reply(replySucceeded, frame, responseBody(frame.id), fault) // a repeat that the workers know
		return
	}
	if fault == resets {
		reset(c.conn)
		return
	}
	c.reply(replySucceeded, frame, responseBody(frame.id), fault)
}

// reply ends an attempt and sends a reply.
func (c *workerConn) reply(code byte, frame workerFrame, body []byte, fault workerFault) {
	if !c.end(frame.id) {
		return // nobody waits
	}
	detail := "detail=hit"
	if code == replyMissing {
		detail = ""
	}
	data := encodeReply(code, frame.id, detail, body)
	if fault == spoils {
		data[len(data)-1]++
	}
	_, _ = c.conn.Write(data) // the front end may have left
	if fault == repeats {
		time.Sleep(secondReply)
		_, _ = c.conn.Write(data)
	}
}

// load loads a replica and reports it.
func (c *workerConn) load(frame workerFrame) {
	w := c.worker
	function := frame.fields["path"]
	replicas, _ := strconv.Atoi(frame.fields["slots_up"]) // 0 only asks
	w.site.recorder.Add(invariants.Record{
		Kind: invariants.LoadCommanded, FrontEnd: w.site.processName(c.frontEnd), Worker: w.name,
		Function: function, Replicas: replicas,
	})
	for w.fault.Load() == int32(hangs) {
		time.Sleep(silentWorker)
	}
	w.mu.Lock()
	loaded := w.loaded[function]
	w.mu.Unlock()
	if !loaded {
		time.Sleep(loadTime)
		w.mu.Lock()
		w.loaded[function] = true
		w.mu.Unlock()
	}
	_, _ = c.conn.Write(encodeReply(replySucceeded, frame.id, "slots_up=1", nil)) // the front end may have left
}

// execute records that a request ran, and tells whether it did: a keyed one that the workers remember does not.
func (s *site) execute(frame workerFrame, worker string) bool {
	name := requestName(frame.id)
	if key := frame.fields["uniq"]; key != "" {
		s.mu.Lock()
		known := s.keys[key]
		s.keys[key] = true
		s.mu.Unlock()
		if known {
			return false
		}
	}
	s.recorder.Add(invariants.Record{
		Kind: invariants.Executed, RequestID: name, Class: frame.fields["queue"], Worker: worker,
		Function: frame.fields["path"],
	})
	return true
}

// requestName is a request's id as it stands in records.
func requestName(id uint64) string { return fmt.Sprintf("%016x", id) }

// responseBody is what a worker makes of a request.
func responseBody(id uint64) []byte { return []byte("done " + requestName(id)) }
