package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"streamcleat/internal/eventloop"
	"streamcleat/internal/platform"
)

// hall is a front end of the platform with a stand-in worker and a stand-in journal service, each on loopback.
type hall struct {
	t       *testing.T
	node    *running
	front   *eventloop.Server
	machine *platform.Document
	worker  net.Listener
	spoil   atomic.Bool // the worker's answers carry a wrong check
	silent  atomic.Bool // it answers nothing
	ran     atomic.Int32
	lines   chan string                                    // of the journal service
	reply   atomic.Pointer[func(command byte) (code byte)] // called before an answer leaves; nil: 64
	meet    atomic.Pointer[func(c net.Conn) bool]          // called with each connection to the worker; true: it dealt with it
	wrote   chan byte                                      // commands whose answers have left, with a reply
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// document is one front end's, with one worker.
func document(listen, journal, worker string, sockets int) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":%d},"journal":%q,
		"known":{"pos":1,"entries":[{"pos":1,"hosts":{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"z","class":"k",
		"health":"active","share":1,"born_ms":0}]}}]},
		"settings":{"Balancers":1,"RoundMs":4,"Caps":{"RetryAfter":true,"MaxRetryAfterMs":500,"MostTries":4,"MaxStreams":32,"MaxOpen":2000,
		"DialTimeoutMs":250,"IdleCloseMs":30000},"Classes":[{"Name":"call","AimMs":500,"GiveUpMs":1500,"Idempotency":"free"},
		{"Name":"once","AimMs":500,"GiveUpMs":1500,"Idempotency":"single_shot"}],
		"Accounts":[{"Name":"acme","QuotaPerS":1000}],"Discovery":"automatic","Domain":{"MayOrder":true,"OrderTimeoutMs":1000,
		"StaysLoadedMs":8000,"WhenAbsent":"miss"},"Rules":{"ColdFrom":0.3,"FallMs":1500,"FallMultiple":2.5,"WarmWithinMs":16000}}}`,
		listen, sockets, journal, worker)
}

func newHall(t *testing.T, sockets int) *hall {
	h := &hall{t: t, worker: listen(t), lines: make(chan string, 10), wrote: make(chan byte, 64)}
	go h.work()
	feed := listen(t)
	go func() {
		for {
			c, err := feed.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				bufio.NewReader(c).ReadString('\n')
				for {
					select {
					case line := <-h.lines:
						fmt.Fprintln(c, line)
					case <-time.After(300 * time.Millisecond):
						if _, err := fmt.Fprintln(c, "1"); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	doc := document("127.0.0.1:0", feed.Addr().String(), h.worker.Addr().String(), sockets)
	var err error
	if h.machine, err = platform.ReadDocument([]byte(doc)); err != nil {
		t.Fatal(err)
	}
	if h.node, err = startNode(h.machine, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	h.front = h.node.server
	t.Cleanup(func() { h.node.watch.Close(); h.front.Stop(0) })
	return h
}

// work answers launches with their own body and orders with one copy.
func (h *hall) work() {
	for {
		c, err := h.worker.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if meet := h.meet.Load(); meet != nil && (*meet)(c) {
				return
			}
			for {
				head := make([]byte, 16)
				if _, err := io.ReadFull(c, head); err != nil {
					return
				}
				nf, nb := binary.BigEndian.Uint16(head[2:]), binary.BigEndian.Uint32(head[4:])
				rest := make([]byte, int(nf)+int(nb)+4)
				if _, err := io.ReadFull(c, rest); err != nil {
					return
				}
				fields, body := "slots_up=1", []byte(nil)
				switch head[1] {
				case 48:
					h.ran.Add(1)
					if fields, body = "detail=hit", rest[nf:len(rest)-4]; h.silent.Load() {
						continue
					}
				case 52:
				default:
					continue
				}
				code := byte(64)
				reply := h.reply.Load()
				if reply != nil {
					code = (*reply)(head[1])
				}
				out := append([]byte{193, code}, binary.BigEndian.AppendUint16(nil, uint16(len(fields)))...)
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(body))), head[8:]...)
				out = append(append(out, fields...), body...)
				sum := crc32.ChecksumIEEE(out[16:])
				if head[1] == 48 && h.spoil.Load() {
					sum++
				}
				c.Write(binary.BigEndian.AppendUint32(out, sum))
				if reply != nil {
					h.wrote <- head[1]
				}
			}
		}()
	}
}

type caller struct {
	c net.Conn
	n uint32
}

var calls atomic.Uint64

func (h *hall) dial() *caller { return call(h.t, h.front.Addr()) }

func call(t *testing.T, addr string) *caller {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &caller{c: c}
}

// ask sends one request.
func (k *caller) ask(body string) { k.c.Write(k.request("00000000000000f1", body)) }

// request is the next request's frame.
func (k *caller) request(function, body string) []byte {
	k.n++
	fields := []string{"kind", "call", "req", fmt.Sprintf("%016x", calls.Add(1)), "timeout", "1500", "owner", "acme", "subject",
		function, "more", "lanes:8;load_ms:50"}
	p := []byte{1, 0, 0, 0, byte(k.n), byte(len(fields) / 2)}
	for i := 0; i < len(fields); i += 2 {
		p = append(append(p, byte(len(fields[i]))), fields[i]...)
		p = append(binary.BigEndian.AppendUint16(p, uint16(len(fields[i+1]))), fields[i+1]...)
	}
	p = append(p, body...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(p))), p...)
}

// hear is the next frame: its type, its stream and what follows; an error text where the connection ends.
func (k *caller) hear() string {
	head := make([]byte, 4)
	if _, err := io.ReadFull(k.c, head); err != nil {
		return err.Error()
	}
	p := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(k.c, p); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d/%d %q", p[0], p[4], p[5:])
}

func TestNodeServesAndPassesNothingSpoiltOn(t *testing.T) {
	h := newHall(t, 256)
	k := h.dial()
	k.ask("hello")
	if got := k.hear(); got != `2/1 "\x00\x00hello"` {
		t.Fatal(got)
	}
	h.spoil.Store(true)
	k.ask("spoilt")
	if got := k.hear(); !strings.HasPrefix(got, `2/2 "\b`) { // may run again: deferred once its launches are used up
		t.Error(got)
	}
	h.spoil.Store(false)
	h.silent.Store(true)
	began := time.Now()
	k.ask("never answered")
	if got := k.hear(); !strings.HasPrefix(got, `2/3 "\b`) || time.Since(began) > 1500*time.Millisecond {
		t.Error(got, time.Since(began))
	}
}

func TestNodeFollowsTheJournal(t *testing.T) {
	h := newHall(t, 256)
	k := h.dial()
	k.ask("")
	k.hear()
	h.lines <- `{"pos":2,"hosts":{"seq":2,"whole":false,"hosts":[{"host":"a","dial":"` + h.worker.Addr().String() + `","health":"leaving"}]}}`
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		before := h.ran.Load()
		k.ask("x")
		if got := k.hear(); !strings.Contains(got, `"\x00`) {
			if h.ran.Load() != before {
				t.Error("refused, and sent to a draining worker")
			}
			return
		}
	}
	t.Error("events still go to a worker that drains")
}

// Silent connections up to the descriptor limit must not keep usual clients out, nor may those be closed under a request.
func TestNodeUnderSilentConnections(t *testing.T) {
	h := newHall(t, 64)
	k := h.dial()
	k.ask("first")
	if got := k.hear(); !strings.Contains(got, "first") {
		t.Fatal(got)
	}
	h.silent.Store(true)
	k.ask("open")
	time.Sleep(50 * time.Millisecond)
	for range 80 {
		c, err := net.Dial("tcp", h.front.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	h.silent.Store(false)
	again := h.dial()
	again.ask("usual")
	if got := again.hear(); !strings.Contains(got, "usual") {
		t.Error(got)
	}
	if got := k.hear(); !strings.HasPrefix(got, `2/2 `) {
		t.Error("a connection with an open event was closed:", got)
	}
	if _, clients, _, _ := h.front.Counts(); clients > 24 { // 64 less 28 kept back, less a third of the rest for workers
		t.Errorf("%d connections are held", clients)
	}
}

// What still comes after the signal, and what is open, is answered before the process ends.
func TestNodeLeavesInOrder(t *testing.T) {
	h := newHall(t, 256)
	k := h.dial()
	k.ask("")
	k.hear()
	stop, done := make(chan struct{}), make(chan error)
	go func() { done <- h.node.run(stop, nil, nil) }()
	close(stop)
	time.Sleep(200 * time.Millisecond)
	late := h.dial()
	late.ask("late")
	if got := late.hear(); !strings.Contains(got, "late") {
		t.Error(got)
	}
	for _, c := range []*caller{k, late} {
		if got := c.hear(); got != `6/0 ""` {
			t.Error(got)
		}
	}
	k.ask("crossing")
	if got := k.hear(); !strings.Contains(got, "crossing") {
		t.Error(got)
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3 * time.Second):
		t.Error("the process does not end")
	}
}
