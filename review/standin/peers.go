//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a worker.
type worker struct {
	w    *world
	host host
	addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	loaded   map[string]bool
	draining bool
	silent   bool
	runs     []*run

	work     time.Duration        // of one request
	load     time.Duration        // of one load
	delay    time.Duration        // of each answer, and of each order and request before it is handled
	cores    chan struct{}        // if set, requests run on so many cores
	slowed   func() time.Duration // if set, the work of one request
	onMiss   bool                 // loads what is missing while the request waits
	onAnswer func(r *run, c net.Conn) (handled bool)
	onFrame  func(f workerFrame, c net.Conn)
}

// run is a request that reached a worker whole.
type run struct {
	worker  string
	id      uint64
	fields  map[string]string
	body    string
	at      time.Time // when it arrived whole
	began   time.Time // of the frame's first byte
	ended   time.Time // when its answer was written or it was given up
	code    byte
	ran     bool
	load    bool // an order to load
	slots   string
	stopped chan struct{}
}

type workerFrame struct {
	code   byte
	id     uint64
	fields map[string]string
	body   []byte
	began  time.Time
}

func newWorker(w *world, h host) *worker {
	wk := &worker{w: w, host: h, conns: map[net.Conn]bool{}, loaded: map[string]bool{}, work: 20 * time.Millisecond, load: 300 * time.Millisecond}
	if h.Dial == "" {
		wk.host.Dial = freeAddress("tcp")
	}
	wk.addr = wk.host.Dial
	wk.start()
	return wk
}

func (wk *worker) start() {
	l, err := net.Listen("tcp", wk.addr)
	if err != nil {
		panic(err)
	}
	wk.mu.Lock()
	wk.listener = l
	wk.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wk.mu.Lock()
			wk.conns[c] = true
			wk.mu.Unlock()
			go wk.serve(c)
		}
	}()
}

// die ends the worker as a process that is killed: its connections are reset.
func (wk *worker) die() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	_ = wk.listener.Close()
	for c := range wk.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	wk.conns = map[net.Conn]bool{}
	wk.loaded = map[string]bool{}
	wk.w.logf("%s dies", wk.host.Host)
}

func (wk *worker) drain() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.draining = true
	wk.w.logf("%s begins to drain", wk.host.Host)
}

func readWorkerFrame(c net.Conn) (workerFrame, error) {
	var f workerFrame
	head := make([]byte, 16)
	if _, err := io.ReadFull(c, head[:1]); err != nil {
		return f, err
	}
	f.began = time.Now()
	if _, err := io.ReadFull(c, head[1:]); err != nil {
		return f, err
	}
	if head[0] != 192 {
		return f, fmt.Errorf("mark %d", head[0])
	}
	fields := int(binary.BigEndian.Uint16(head[2:]))
	body := int(binary.BigEndian.Uint32(head[4:]))
	rest := make([]byte, fields+body+4)
	if _, err := io.ReadFull(c, rest); err != nil {
		return f, err
	}
	if crc32.ChecksumIEEE(rest[:fields+body]) != binary.BigEndian.Uint32(rest[fields+body:]) {
		return f, fmt.Errorf("check")
	}
	f.code, f.id, f.body = head[1], binary.BigEndian.Uint64(head[8:]), rest[fields:fields+body]
	f.fields = map[string]string{}
	for _, pair := range strings.Split(string(rest[:fields]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		f.fields[name] = value
	}
	return f, nil
}

func encodeAnswer(code byte, id uint64, fields string, body []byte) []byte {
	b := binary.BigEndian.AppendUint16([]byte{193, code}, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[16:]))
}

func (wk *worker) serve(c net.Conn) {
	open := map[uint64]*run{} // of this connection
	var mu sync.Mutex
	defer func() {
		_ = c.Close()
		wk.mu.Lock()
		delete(wk.conns, c)
		mu.Lock()
		for _, r := range open {
			if r.ended.IsZero() {
				r.ended = time.Now()
				close(r.stopped)
			}
		}
		mu.Unlock()
		wk.mu.Unlock()
	}()
	for {
		f, err := readWorkerFrame(c)
		if err != nil {
			return
		}
		now := time.Now()
		if wk.onFrame != nil {
			wk.onFrame(f, c)
		}
		switch f.code {
		case 48, 52:
			r := &run{worker: wk.host.Host, id: f.id, fields: f.fields, body: string(f.body), at: now, began: f.began, load: f.code == 52, slots: f.fields["slots_up"], stopped: make(chan struct{})}
			wk.mu.Lock()
			wk.runs = append(wk.runs, r)
			mu.Lock()
			open[f.id] = r
			mu.Unlock()
			wk.mu.Unlock()
			if r.load {
				wk.w.logf("%s gets order %s slots_up=%s", r.worker, f.fields["path"], r.slots)
			} else {
				wk.w.logf("%s gets request %016x path=%s budget=%s", r.worker, f.id, f.fields["path"], f.fields["budget"])
			}
			go func() {
				wk.handle(c, r)
				wk.mu.Lock()
				mu.Lock()
				if open[f.id] == r && !r.ended.IsZero() {
					delete(open, f.id)
				}
				mu.Unlock()
				wk.mu.Unlock()
			}()
		case 49:
			wk.mu.Lock()
			mu.Lock()
			if r := open[f.id]; r != nil && r.ended.IsZero() {
				r.ended = now
				close(r.stopped)
			}
			mu.Unlock()
			wk.mu.Unlock()
			wk.w.logf("%s: %016x is given up", wk.host.Host, f.id)
		case 50:
			_, _ = c.Write(encodeAnswer(70, f.id, "", nil))
		case 54:
		}
	}
}

// handle carries out a request or an order and writes its answer.
func (wk *worker) handle(c net.Conn, r *run) {
	path := r.fields["path"]
	time.Sleep(wk.delay)
	wk.mu.Lock()
	draining, silent, loaded := wk.draining, wk.silent, wk.loaded[path]
	wk.mu.Unlock()
	answer := func(code byte, fields string, body []byte) {
		wk.mu.Lock()
		over := !r.ended.IsZero()
		if !over {
			r.code = code
			r.ended = time.Now()
		}
		wk.mu.Unlock()
		if !over && !silent {
			time.Sleep(wk.delay)
			_, _ = c.Write(encodeAnswer(code, r.id, fields, body))
			wk.w.logf("%s answers %016x with %d", r.worker, r.id, code)
		}
	}
	sleep := func(d time.Duration) (stopped bool) {
		select {
		case <-time.After(d):
			return false
		case <-r.stopped:
			return true
		}
	}
	copies := map[bool]string{true: "slots_up=1", false: "slots_up=0"}
	switch {
	case r.load && r.slots == "0":
		if draining {
			answer(67, copies[loaded], nil)
		} else {
			answer(64, copies[loaded], nil)
		}
	case draining:
		answer(67, "", nil)
	case r.load:
		if !loaded {
			time.Sleep(wk.load) // an order stands even if its connection ends
			wk.mu.Lock()
			wk.loaded[path] = true
			wk.mu.Unlock()
		}
		answer(64, "slots_up=1", nil)
	default:
		note := "detail=hit"
		if !loaded {
			if !wk.onMiss {
				answer(66, "", nil)
				return
			}
			note = "detail=spawn"
			if sleep(wk.load) {
				return
			}
			wk.mu.Lock()
			wk.loaded[path] = true
			wk.mu.Unlock()
		}
		wk.mu.Lock()
		r.ran = true
		wk.mu.Unlock()
		wk.w.logf("%s runs %016x key=%s", r.worker, r.id, r.fields["uniq"])
		work := wk.work
		if wk.slowed != nil {
			work = wk.slowed()
		}
		if wk.cores != nil {
			select {
			case wk.cores <- struct{}{}:
			case <-r.stopped:
				return
			}
		}
		stopped := sleep(work)
		if wk.cores != nil {
			<-wk.cores
		}
		if stopped {
			return
		}
		if wk.onAnswer != nil && wk.onAnswer(r, c) {
			return
		}
		answer(64, note, []byte("done "+r.body))
	}
}

func (wk *worker) allRuns() []run {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	var list []run
	for _, r := range wk.runs {
		list = append(list, *r)
	}
	return list
}

// requestIDs makes the ids of requests unique.
var requestIDs atomic.Uint64

// request is one request of a client and what became of it.
type request struct {
	id       string
	class    string
	function string
	timeout  time.Duration
	body     string
	key      string
	sent     time.Time
	done     chan struct{}
	code     int // -1: none, -2: the connection ended
	answer   string
	answered time.Time
	second   bool
	gaveUp   time.Time
	again    bool   // sent a second time
	early    bool   // the client takes it back before its time is up
	to       string // the front end
}

func (r *request) key0() string { return r.to }

// client is a connection of a client to a front end.
type client struct {
	w      *world
	to     string
	c      net.Conn
	mu     sync.Mutex
	stream uint32
	open   map[uint32]*request
	over   map[uint32]*request
	goAway bool
	ended  bool
}

func dial(w *world, to, addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{w: w, to: to, c: c, open: map[uint32]*request{}, over: map[uint32]*request{}}
	go cl.read()
	return cl, nil
}

func newRequest(class, function string, timeout time.Duration) *request {
	n := requestIDs.Add(1)
	return &request{
		id: fmt.Sprintf("%016x", n*0x9e3779b97f4a7c15>>1), class: class, function: function, timeout: timeout, body: fmt.Sprintf("body %d", n),
		done: make(chan struct{}), code: -1,
	}
}

// send sends a request.
func (cl *client) send(r *request) error {
	fields := []string{"kind", r.class, "req", r.id, "timeout", fmt.Sprint(r.timeout.Milliseconds()), "owner", "acme", "subject", r.function, "ms", "20",
		"more", "memory_mb:256;lanes:8;load_ms:300"}
	if r.key != "" {
		fields = append(fields, "opkey", r.key)
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.ended || cl.goAway {
		return net.ErrClosed
	}
	cl.stream++
	payload := binary.BigEndian.AppendUint32([]byte{1}, cl.stream)
	payload = append(payload, byte(len(fields)/2))
	for i := 0; i < len(fields); i += 2 {
		payload = append(append(payload, byte(len(fields[i]))), fields[i]...)
		payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(fields[i+1]))), fields[i+1]...)
	}
	payload = append(payload, r.body...)
	cl.open[cl.stream] = r
	r.sent = time.Now()
	_, err := cl.c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...))
	r.sent = time.Now()
	if err != nil {
		delete(cl.open, cl.stream)
		return net.ErrClosed
	}
	cl.w.logf("client sends %s %s path=%s to %s", r.class, r.id, r.function, cl.to)
	return err
}

// cancel takes a request back.
func (cl *client) cancel(r *request) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for s, other := range cl.open {
		if other == r {
			delete(cl.open, s)
			cl.over[s] = r
			r.gaveUp = time.Now()
			_, _ = cl.c.Write(binary.BigEndian.AppendUint32([]byte{0, 0, 0, 5, 3}, s))
			cl.w.logf("client takes %s back", r.id)
		}
	}
}

// hangUp closes the connection.
func (cl *client) hangUp() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, r := range cl.open {
		r.gaveUp, r.early = time.Now(), true
	}
	cl.w.logf("client hangs up")
	_ = cl.c.Close()
}

func (cl *client) read() {
	head := make([]byte, 9)
	for {
		if _, err := io.ReadFull(cl.c, head); err != nil {
			break
		}
		rest := make([]byte, binary.BigEndian.Uint32(head)-5)
		if _, err := io.ReadFull(cl.c, rest); err != nil {
			break
		}
		stream := binary.BigEndian.Uint32(head[5:])
		cl.mu.Lock()
		switch {
		case head[4] == 6:
			cl.goAway = true
		case head[4] == 2 && stream == 0:
			cl.w.logf("client gets an error on stream 0: %q", rest)
		case head[4] == 2 && cl.open[stream] != nil:
			r := cl.open[stream]
			delete(cl.open, stream)
			cl.over[stream] = r
			r.code, r.answered, r.answer = int(rest[0]), time.Now(), string(skipFields(rest[1:]))
			cl.w.logf("client gets %d for %s after %.3f s: %.60q", r.code, r.id, r.answered.Sub(r.sent).Seconds(), r.answer)
			close(r.done)
		case head[4] == 2 && cl.over[stream] != nil:
			cl.over[stream].second = cl.over[stream].code >= 0
			cl.w.logf("client gets a second answer %d for %s", rest[0], cl.over[stream].id)
		}
		cl.mu.Unlock()
	}
	_ = cl.c.Close()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.ended = true
	for _, r := range cl.open {
		r.code, r.answered = -2, time.Now()
		cl.w.logf("client: the connection ended without an answer for %s", r.id)
		close(r.done)
	}
	cl.open = map[uint32]*request{}
}

func skipFields(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	n, b := int(b[0]), b[1:]
	for range n {
		b = b[1+int(b[0]):]
		b = b[2+int(binary.BigEndian.Uint16(b)):]
	}
	return b
}
