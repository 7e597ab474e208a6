package main

import (
	"net"
	"strings"
	"testing"
	"time"
)

func TestNodeServesAndPassesNothingSpoiltOn(t *testing.T) {
	f := newNodeFixture(t, 256)
	client := f.dial()
	client.send("hello")
	if got := client.receive(); got != `2/1 "\x00\x00hello"` {
		t.Fatal(got)
	}
	f.corrupt.Store(true)
	client.send("spoilt")
	if got := client.receive(); !strings.HasPrefix(got, `2/2 "\b`) { // may run again: rejected once its attempts are used up
		t.Error(got)
	}
	f.corrupt.Store(false)
	f.silent.Store(true)
	began := time.Now()
	client.send("never answered")
	if got := client.receive(); !strings.HasPrefix(got, `2/3 "\b`) || time.Since(began) > 1500*time.Millisecond {
		t.Error(got, time.Since(began))
	}
}

func TestNodeFollowsTheJournal(t *testing.T) {
	f := newNodeFixture(t, 256)
	client := f.dial()
	client.send("")
	client.receive()
	f.journalLines <- drainingWorkerLine(f.worker.Addr().String())
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		before := f.attempts.Load()
		client.send("x")
		if got := client.receive(); !strings.Contains(got, `"\x00`) {
			if f.attempts.Load() != before {
				t.Error("refused, and sent to a draining worker")
			}
			return
		}
	}
	t.Error("requests still go to a worker that drains")
}

// Silent connections up to the descriptor limit must not keep usual clients out, nor may those be closed under a request.
func TestNodeUnderSilentConnections(t *testing.T) {
	f := newNodeFixture(t, 64)
	client := f.dial()
	client.send("first")
	if got := client.receive(); !strings.Contains(got, "first") {
		t.Fatal(got)
	}
	f.silent.Store(true)
	client.send("open")
	time.Sleep(50 * time.Millisecond)
	for range 80 {
		conn, err := net.Dial("tcp", f.server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, conn)
	}
	f.silent.Store(false)
	usual := f.dial()
	usual.send("usual")
	if got := usual.receive(); !strings.Contains(got, "usual") {
		t.Error(got)
	}
	if got := client.receive(); !strings.HasPrefix(got, `2/2 `) {
		t.Error("a connection with an open request was closed:", got)
	}
	_, clients, _, err := f.server.Counts()
	if err != nil {
		t.Error(err)
	}
	if clients > 24 { // 64 less 28 kept back, less a third of the rest for workers
		t.Errorf("%d connections are held", clients)
	}
}

// What still comes after the signal, and what is open, is answered before the process ends.
func TestNodeLeavesInOrder(t *testing.T) {
	f := newNodeFixture(t, 256)
	client := f.dial()
	client.send("")
	client.receive()
	stop, done := make(chan struct{}), make(chan error)
	go func() { done <- f.node.Serve(stop, nil, nil) }()
	close(stop)
	time.Sleep(200 * time.Millisecond)
	late := f.dial()
	late.send("late")
	if got := late.receive(); !strings.Contains(got, "late") {
		t.Error(got)
	}
	for _, c := range []*nodeClient{client, late} {
		if got := c.receive(); got != `6/0 ""` {
			t.Error(got)
		}
	}
	client.send("crossing")
	if got := client.receive(); !strings.Contains(got, "crossing") {
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
