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
	"streamcleat/internal/verification/ports"
	"streamcleat/internal/verification/workerframes"
)

const (
	workerLanes         = 4 // requests that a worker executes concurrently
	defaultMeanWork     = 20 * time.Millisecond
	loadTime            = 60 * time.Millisecond
	maxQueued           = 40 // requests that may wait at a worker; it rejects further ones
	duplicateReplyDelay = 4 * time.Millisecond
	hangPollInterval    = 50 * time.Millisecond
)

// workerFault is an injected fault of a worker.
type workerFault int32

const (
	workerHealthy    workerFault = iota
	hang                         // reads frames and sends no replies
	resetConnections             // resets connections, before or after executing a request
	corruptReplies               // sends replies with a wrong checksum
	duplicateReplies             // sends each reply twice, duplicateReplyDelay apart
	rejectRequests               // rejects every request as if its queue were full
	workerFaultCount
)

// worker is a fake worker. It listens at a separate address for each front end, which identifies the sender of a frame.
type worker struct {
	harness   *harness
	name      string
	addresses []string // by number of the front end
	startedAt time.Time
	fault     atomic.Int32
	draining  atomic.Bool   // rejects attempts, load commands and queries
	attempts  atomic.Int32  // number of attempts received so far
	lanes     chan struct{} // semaphore of workerLanes
	queued    atomic.Int32

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
	loaded    map[string]bool
	closed    bool
}

// startWorker starts a worker at the given addresses of a worker that has ended, or at free ones if addresses is nil.
func (h *harness) startWorker(name string, addresses []string) (*worker, error) {
	w := &worker{
		harness: h, name: name, startedAt: time.Now(), lanes: make(chan struct{}, workerLanes), conns: map[net.Conn]bool{},
		loaded: map[string]bool{},
	}
	for number := range h.settings.FrontEnds {
		var address string
		if addresses != nil {
			address = addresses[number]
		}
		listener, err := ports.Listen(address)
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

// crash ends the worker abruptly: it resets its connections and refuses further ones.
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

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may be closed already
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

// workerConn is a connection of a front end to a worker.
type workerConn struct {
	worker   *worker
	conn     net.Conn
	frontEnd string

	mu   sync.Mutex
	open map[uint64]uint64 // call ID in the records, by request ID
}

func (w *worker) serve(conn net.Conn, frontEnd string) {
	c := &workerConn{worker: w, conn: conn, frontEnd: frontEnd, open: map[uint64]uint64{}}
	in := bufio.NewReader(conn)
	for {
		frame, err := workerframes.Read(in)
		if err != nil {
			break
		}
		c.onFrame(frame)
	}
	_ = conn.Close() // the front end closed the connection, or sent a malformed frame
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
	c.endAll()
}

// endAll records the end of all attempts that are still open when the connection has ended.
func (c *workerConn) endAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, callID := range c.open {
		c.worker.harness.recorder.Add(invariants.Record{Kind: invariants.AttemptEnded, CallID: callID, RequestID: requestName(id)})
	}
	clear(c.open)
}

// end records the end of an attempt if it is open, and reports whether it was.
func (c *workerConn) end(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	callID, open := c.open[id]
	if open {
		delete(c.open, id)
		c.worker.harness.recorder.Add(invariants.Record{Kind: invariants.AttemptEnded, CallID: callID, RequestID: requestName(id)})
	}
	return open
}

func (c *workerConn) onFrame(frame workerframes.Frame) {
	switch frame.Command() {
	case workerframes.CommandAttempt:
		c.onAttempt(frame)
	case workerframes.CommandCancel:
		c.end(frame.ID())
	case workerframes.CommandPing:
		_, _ = c.conn.Write(frame.Reply(workerframes.ReplyPong, "", nil)) // the front end may have closed the connection
	case workerframes.CommandLoad:
		go c.load(frame)
	case workerframes.CommandUnload:
		c.worker.mu.Lock()
		delete(c.worker.loaded, requestName(frame.ID()))
		c.worker.mu.Unlock()
	default:
		c.worker.harness.violate("frame", "%s sent unknown command %d to %s", c.frontEnd, frame.Command(), c.worker.name)
	}
}

func (c *workerConn) onAttempt(frame workerframes.Frame) {
	w := c.worker
	budget, err := strconv.ParseFloat(frame.Field("budget"), 64)
	if err != nil {
		w.harness.violate("frame", "malformed budget %q: %v", frame.Field("budget"), err)
	}
	w.attempts.Add(1)
	callID := w.harness.recorder.NextCallID()
	c.mu.Lock()
	c.open[frame.ID()] = callID
	c.mu.Unlock()
	w.harness.recorder.Add(invariants.Record{
		Kind: invariants.AttemptStarted, CallID: callID, RequestID: requestName(frame.ID()), Worker: w.name,
		FrontEnd: w.harness.processName(c.frontEnd), Class: frame.Field("queue"), Function: frame.Field("path"), Timeout: budget / 1000,
	})
	go c.execute(frame, workerFault(w.fault.Load()))
}

// execute executes a request and sends its reply, as far as the worker's fault permits.
func (c *workerConn) execute(frame workerframes.Frame, fault workerFault) {
	w := c.worker
	if fault == hang {
		for w.fault.Load() == int32(hang) {
			time.Sleep(hangPollInterval)
		}
		c.end(frame.ID()) // requests that arrived during a hang never get a reply
		return
	}
	if fault == resetConnections && rand.IntN(2) == 0 {
		reset(c.conn)
		return
	}
	loaded := w.isLoaded(frame.Field("path"))
	switch {
	case w.draining.Load():
		c.reply(workerframes.ReplyRejected, frame, nil, fault)
		return
	case !loaded:
		c.reply(workerframes.ReplyReplicaMissing, frame, nil, fault)
		return
	case fault == rejectRequests || w.queued.Add(1) > maxQueued:
		c.reply(workerframes.ReplyRejected, frame, nil, fault)
		return
	}
	w.lanes <- struct{}{}
	w.queued.Add(-1)
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(w.harness.settings.meanWork())))
	<-w.lanes
	if !w.harness.recordExecution(frame, w.name) {
		c.reply(workerframes.ReplySucceeded, frame, responseBody(frame.ID(), frame.Body), fault) // the worker has executed the request before
		return
	}
	if fault == resetConnections {
		reset(c.conn)
		return
	}
	c.reply(workerframes.ReplySucceeded, frame, responseBody(frame.ID(), frame.Body), fault)
}

// reply ends an attempt and sends its reply, corrupted or duplicated if that is the worker's fault.
func (c *workerConn) reply(code byte, frame workerframes.Frame, body []byte, fault workerFault) {
	if !c.end(frame.ID()) {
		return // the attempt was cancelled
	}
	detail := "detail=hit"
	if code == workerframes.ReplyReplicaMissing {
		detail = ""
	}
	data := frame.Reply(code, detail, body)
	if fault == corruptReplies {
		data[len(data)-1]++
	}
	_, _ = c.conn.Write(data) // the front end may have closed the connection
	if fault == duplicateReplies {
		time.Sleep(duplicateReplyDelay)
		_, _ = c.conn.Write(data)
	}
}

// load handles a load command or a query: it loads a replica if required, and reports whether one is loaded.
func (c *workerConn) load(frame workerframes.Frame) {
	w := c.worker
	function := frame.Field("path")
	replicas, _ := strconv.Atoi(frame.Field("slots_up")) // 0 makes the command a query
	w.harness.recorder.Add(invariants.Record{
		Kind: invariants.LoadCommanded, FrontEnd: w.harness.processName(c.frontEnd), Worker: w.name,
		Function: function, Replicas: replicas,
	})
	for w.fault.Load() == int32(hang) {
		time.Sleep(hangPollInterval)
	}
	loaded := w.isLoaded(function)
	if !loaded && replicas > 0 && !w.draining.Load() {
		time.Sleep(loadTime)
		w.mu.Lock()
		w.loaded[function] = true
		w.mu.Unlock()
		loaded = true
	}
	code, fields := byte(workerframes.ReplySucceeded), "slots_up=0"
	if loaded {
		fields = "slots_up=1"
	}
	answersQuery := replicas == 0 && w.harness.settings.DrainingAnswersQueries
	if w.draining.Load() && !answersQuery {
		code = workerframes.ReplyRejected
	}
	_, _ = c.conn.Write(frame.Reply(code, fields, nil)) // the front end may have closed the connection
}

func (w *worker) isLoaded(function string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded[function]
}

// recordExecution records the execution of a request, and reports whether the request is executed. Workers do not execute a
// request again whose idempotency key any of them has executed.
func (h *harness) recordExecution(frame workerframes.Frame, worker string) bool {
	name := requestName(frame.ID())
	if key := frame.Field("uniq"); key != "" {
		h.mu.Lock()
		duplicate := h.executedKeys[key]
		h.executedKeys[key] = true
		h.mu.Unlock()
		if duplicate {
			return false
		}
	}
	h.recorder.Add(invariants.Record{
		Kind: invariants.Executed, RequestID: name, Class: frame.Field("queue"), Worker: worker,
		Function: frame.Field("path"),
	})
	return true
}

// requestName formats a request ID as the records contain it.
func requestName(id uint64) string { return fmt.Sprintf("%016x", id) }

// responseBody returns the response body that a worker sends for a successful request with a body.
func responseBody(id uint64, body []byte) []byte {
	return append([]byte("done "+requestName(id)+" "), body...)
}
