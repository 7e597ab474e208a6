package node

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"streamcleat/internal/platform"
	"streamcleat/internal/verification/nodetest"
	"streamcleat/internal/verification/workerframes"
)

// Requests that are open at the stop signal or arrive after it receive responses before Serve returns.
func TestShutdown_RespondsToLateAndOpenRequests(t *testing.T) {
	f := newFixture(t, 256)
	client := f.dial()
	client.Send("")
	client.Receive()
	stop, done := make(chan struct{}), make(chan error)
	go func() { done <- f.node.Serve(stop, nil, nil) }()
	close(stop)
	time.Sleep(200 * time.Millisecond)
	late := f.dial()
	late.Send("late")
	if got := late.Receive(); !strings.Contains(got, "late") {
		t.Error(got)
	}
	for _, c := range []*nodetest.Client{client, late} {
		if got := c.Receive(); got != `6/0 ""` {
			t.Error(got)
		}
	}
	client.Send("after going away")
	if got := client.Receive(); !strings.Contains(got, "after going away") {
		t.Error(got)
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3 * time.Second):
		t.Error("front end did not exit within 3 s")
	}
}

func TestShutdown_NotifiesEvenWithPartialFrame(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 256)
	client := f.dialWarm()
	readiness := func() string {
		client.SendBytes(nodetest.ReadinessQuery())
		return client.Receive()
	}
	if got := readiness(); got != `5/0 "\x00\x00"` {
		t.Error("readiness before the stop:", got)
	}
	partial := f.dial()
	frame := partial.Request(nodetest.WarmFunction, "in two parts")
	partial.SendBytes(frame[:20])
	done := f.serveStopped(nil, nil)
	time.Sleep(100 * time.Millisecond)
	if got := readiness(); got != `5/0 "\b\x00"` {
		t.Error("readiness after the stop:", got)
	}
	time.Sleep(1000 * time.Millisecond) // past the window in which new requests may arrive
	partial.SendBytes(frame[20:])
	if got := partial.Receive(); got != `6/0 ""` {
		t.Error(got)
	}
	if got := partial.Receive(); !strings.Contains(got, "in two parts") {
		t.Error("request partially sent at the stop:", got)
	}
	nodetest.WaitForExit(t, done)
	if got := partial.Receive(); got != "EOF" {
		t.Error("connection was not closed orderly, received", got)
	}
}

// If an attempt that is in flight at the stop fails, the request is retried and its response sent.
func TestShutdown_CompletesPendingRetry(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 256)
	client := f.dialWarm()
	received, proceed := make(chan struct{}, 4), make(chan struct{}, 1)
	attempts := 0
	f.worker.SetReplyCode(func(byte) byte {
		received <- struct{}{}
		<-proceed
		if attempts++; attempts == 1 {
			return workerframes.ReplyFailed
		}
		return workerframes.ReplySucceeded
	})
	client.Send("twice")
	<-received
	done := f.serveStopped(nil, nil)
	time.Sleep(1100 * time.Millisecond)
	proceed <- struct{}{}
	<-received
	proceed <- struct{}{}
	if got := client.Receive(); got != `6/0 ""` {
		t.Error(got)
	}
	if got := client.Receive(); !strings.Contains(got, "twice") {
		t.Error(got)
	}
	nodetest.WaitForExit(t, done)
}

// A reload is performed during the shutdown. A document that is invalid or belongs to another front end changes nothing.
func TestReload_DuringShutdown(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change   func(*platform.Document)
		err      error
		switches bool
	}{
		"other discovery service":        {func(*platform.Document) {}, nil, true},
		"document of another front end":  {func(document *platform.Document) { document.Name = "n1" }, nil, false},
		"document for another address":   {func(document *platform.Document) { document.Listen = "127.0.0.1:1" }, nil, false},
		"document that can't be decoded": {func(*platform.Document) {}, os.ErrInvalid, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 256)
			next := nodetest.Listen(t)
			watched := make(chan struct{}, 1)
			go func() {
				conn, err := next.Accept()
				if err != nil {
					return
				}
				watched <- struct{}{}
				_, _ = fmt.Fprintln(conn, nodetest.DrainLine(f.worker.Addr())) // its effect is visible in the next request
			}()
			reload := make(chan os.Signal, 1)
			done := f.serveStopped(reload, func() (*platform.Document, error) {
				document := *f.document
				document.DiscoveryAddress = next.Addr().String()
				c.change(&document)
				return &document, c.err
			})
			client := f.dialWarm()
			reload <- os.Interrupt
			select {
			case <-watched:
				if !c.switches {
					t.Error("discovery service of a rejected document was watched")
				}
			case <-time.After(300 * time.Millisecond):
				if c.switches {
					t.Error("new discovery service was not watched")
				}
			}
			time.Sleep(50 * time.Millisecond)
			before := f.worker.Attempts.Load()
			client.Send("after the move")
			got := client.Receive()
			if strings.HasPrefix(got, `2/2 "\x00`) == c.switches || (f.worker.Attempts.Load() > before) == c.switches {
				t.Errorf("switches %v: received %s after %d attempts", c.switches, got, f.worker.Attempts.Load()-before)
			}
			nodetest.WaitForExit(t, done)
		})
	}
}

// Responses that a client is slow to read are sent before the shutdown ends, and the connection is not reset.
func TestShutdown_FlushesToSlowReader(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 256)
	client := f.dial()
	body := bytes.Repeat([]byte("0123456789abcdef"), 1000)
	for range 8 {
		client.Send(string(body))
	}
	for f.worker.Attempts.Load() < 8 {
		time.Sleep(5 * time.Millisecond)
	}
	done := f.serveStopped(nil, nil)
	time.Sleep(1200 * time.Millisecond)
	client.SendBytes(nodetest.ReadinessQuery()) // must not cause the loss of a response, even if it is not read
	time.Sleep(100 * time.Millisecond)
	complete := 0
	for {
		got := client.Receive()
		if strings.HasPrefix(got, "2/") && len(got) > len(body) {
			complete++
		} else if !strings.HasPrefix(got, "6/") {
			if got != "EOF" {
				t.Error("connection was not closed orderly, received", got)
			}
			break
		}
	}
	if complete != 8 {
		t.Errorf("%d of 8 responses received completely", complete)
	}
	nodetest.WaitForExit(t, done)
}
