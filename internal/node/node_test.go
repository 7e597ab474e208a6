package node

import (
	"net"
	"strings"
	"testing"
	"time"

	"streamcleat/internal/verification/nodetest"
)

func TestNode_RejectsCorruptAndMissingReplies(t *testing.T) {
	f := newFixture(t, 256)
	client := f.dial()
	client.Send("hello")
	if got := client.Receive(); got != `2/1 "\x00\x00hello"` {
		t.Fatal(got)
	}
	f.worker.Corrupt.Store(true)
	client.Send("corrupt")
	if got := client.Receive(); !strings.HasPrefix(got, `2/2 "\b`) { // the request is idempotent: rejected once its attempts are used up
		t.Error(got)
	}
	f.worker.Corrupt.Store(false)
	f.worker.Silent.Store(true)
	sentAt := time.Now()
	client.Send("no reply")
	if got := client.Receive(); !strings.HasPrefix(got, `2/3 "\b`) || time.Since(sentAt) > 1500*time.Millisecond {
		t.Error(got, time.Since(sentAt))
	}
}

func TestNode_StopsSendingToDrainingWorker(t *testing.T) {
	f := newFixture(t, 256)
	client := f.dial()
	client.Send("")
	client.Receive()
	f.discovery.Send(nodetest.DrainLine(f.worker.Addr()))
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		before := f.worker.Attempts.Load()
		client.Send("x")
		if got := client.Receive(); !strings.Contains(got, `"\x00`) {
			if f.worker.Attempts.Load() != before {
				t.Error("request was rejected, but an attempt was sent to the draining worker")
			}
			return
		}
	}
	t.Error("requests are still sent to a draining worker")
}

// Connections without requests, up to the descriptor limit, must neither keep active clients from connecting nor cause a
// connection with an open request to be closed.
func TestNode_ServesActiveClientsBesideSilentConnections(t *testing.T) {
	f := newFixture(t, 64)
	client := f.dial()
	client.Send("first")
	if got := client.Receive(); !strings.Contains(got, "first") {
		t.Fatal(got)
	}
	f.worker.Silent.Store(true)
	client.Send("open")
	time.Sleep(50 * time.Millisecond)
	for range 80 {
		conn, err := net.Dial("tcp", f.node.server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		nodetest.CloseAtEnd(t, conn)
	}
	f.worker.Silent.Store(false)
	active := f.dial()
	active.Send("active")
	if got := active.Receive(); !strings.Contains(got, "active") {
		t.Error(got)
	}
	if got := client.Receive(); !strings.HasPrefix(got, `2/2 `) {
		t.Error("connection with an open request was closed:", got)
	}
	_, clients, _, err := f.node.server.Counts()
	if err != nil {
		t.Error(err)
	}
	if clients > 24 { // 64 minus 28 reserved, minus a third of the rest for workers
		t.Errorf("%d client connections, want at most 24", clients)
	}
}

// A connection with a request that has not been read yet is not evicted; a connection that is idle is.
func TestEviction_SparesConnectionWithUnreadRequest(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 64)
	client := f.dialWarm()
	var others []*nodetest.Client
	for range 23 { // 24 with client: 64 minus 28 reserved, minus a third of the rest for workers
		others = append(others, f.dial())
	}
	for clients := 0; clients < 24; {
		var err error
		if _, clients, _, err = f.node.server.Counts(); err != nil {
			t.Fatal(err)
		}
	}
	release := f.stallLoop()
	newcomer := f.dial()
	client.Send("unread during eviction")
	release()
	if got := client.Receive(); !strings.Contains(got, "unread during eviction") {
		t.Error(got)
	}
	newcomer.Send("after eviction")
	if got := newcomer.Receive(); !strings.Contains(got, "after eviction") {
		t.Error(got)
	}
	if got := others[0].Receive(); got != "EOF" {
		t.Error("longest idle connection was not evicted, received", got)
	}
}
