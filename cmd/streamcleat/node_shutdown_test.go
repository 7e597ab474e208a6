package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"streamcleat/internal/platform"
)

// serveStopped runs a front end that is told to stop at once.
func (f *nodeFixture) serveStopped(reload chan os.Signal, read func() (*platform.Document, error)) (done chan error) {
	stop := make(chan struct{})
	done = make(chan error, 1)
	close(stop)
	go func() { done <- f.node.Serve(stop, reload, read) }()
	return done
}

// waitForExit waits until a front end that was told to stop has ended.
func waitForExit(t *testing.T, done chan error) {
	t.Helper()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(4 * time.Second):
		t.Error("the process does not end")
	}
}

func TestStopIsToldAtOnceAndTakesWhatIsHalfSent(t *testing.T) {
	t.Parallel()
	f := newNodeFixture(t, 256)
	client := f.dialWarm()
	ready := func() string {
		client.sendBytes(readinessQuery())
		return client.receive()
	}
	if got := ready(); got != `5/0 "\x00\x00"` {
		t.Error("before the stop:", got)
	}
	half := f.dial()
	frame := half.request(warmFunction, "in two parts")
	half.sendBytes(frame[:20])
	done := f.serveStopped(nil, nil)
	time.Sleep(100 * time.Millisecond)
	if got := ready(); got != `5/0 "\b\x00"` {
		t.Error("after it:", got)
	}
	time.Sleep(1000 * time.Millisecond) // past the window in which whole requests may come
	half.sendBytes(frame[20:])
	if got := half.receive(); got != `6/0 ""` {
		t.Error(got)
	}
	if got := half.receive(); !strings.Contains(got, "in two parts") {
		t.Error("a request half sent at the signal:", got)
	}
	waitForExit(t, done)
	if got := half.receive(); got != "EOF" {
		t.Error("closed by", got)
	}
}

// An attempt that is out at the signal and fails is retried, and its response leaves.
func TestStopWithARetryToCome(t *testing.T) {
	t.Parallel()
	f := newNodeFixture(t, 256)
	client := f.dialWarm()
	got, proceed := make(chan struct{}, 4), make(chan struct{}, 1)
	tries := 0
	replyCode := func(byte) byte {
		got <- struct{}{}
		<-proceed
		if tries++; tries == 1 {
			return replyFailed
		}
		return replySucceeded
	}
	f.replyCode.Store(&replyCode)
	client.send("twice")
	<-got
	done := f.serveStopped(nil, nil)
	time.Sleep(1100 * time.Millisecond)
	proceed <- struct{}{}
	<-got
	proceed <- struct{}{}
	if got := client.receive(); got != `6/0 ""` {
		t.Error(got)
	}
	if got := client.receive(); !strings.Contains(got, "twice") {
		t.Error(got)
	}
	waitForExit(t, done)
}

// A reload counts while the front end drains; a document of another front end, or one that is faulty, changes nothing.
func TestReloadWhileDraining(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(*platform.Document)
		err    error
		moves  bool
	}{
		"another journal":         {func(*platform.Document) {}, nil, true},
		"of another front end":    {func(document *platform.Document) { document.Name = "n1" }, nil, false},
		"for another address":     {func(document *platform.Document) { document.Listen = "127.0.0.1:1" }, nil, false},
		"a document with a fault": {func(*platform.Document) {}, os.ErrInvalid, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newNodeFixture(t, 256)
			journal := listenOnLoopback(t)
			asked := make(chan struct{}, 1)
			go func() {
				conn, err := journal.Accept()
				if err != nil {
					return
				}
				asked <- struct{}{}
				_, _ = fmt.Fprintln(conn, drainingWorkerLine(f.worker.Addr().String())) // the test sees whether it acts
			}()
			reload := make(chan os.Signal, 1)
			done := f.serveStopped(reload, func() (*platform.Document, error) {
				document := *f.document
				document.DiscoveryAddress = journal.Addr().String()
				c.change(&document)
				return &document, c.err
			})
			client := f.dialWarm()
			reload <- os.Interrupt
			select {
			case <-asked:
				if !c.moves {
					t.Error("the journal service of a refused document was asked")
				}
			case <-time.After(300 * time.Millisecond):
				if c.moves {
					t.Error("the new journal service was not asked")
				}
			}
			time.Sleep(50 * time.Millisecond)
			before := f.attempts.Load()
			client.send("after the move")
			if got := client.receive(); strings.HasPrefix(got, `2/2 "\x00`) == c.moves || (f.attempts.Load() > before) == c.moves {
				t.Error("drain told to a draining front end:", got, f.attempts.Load()-before)
			}
			waitForExit(t, done)
		})
	}
}

// Much that a worker replies and a client reads late has left before the end, and the end is no reset.
func TestStopFlushesToASlowReader(t *testing.T) {
	t.Parallel()
	f := newNodeFixture(t, 256)
	client := f.dial()
	body := bytes.Repeat([]byte("0123456789abcdef"), 1000)
	for range 8 {
		client.send(string(body))
	}
	for f.attempts.Load() < 8 {
		time.Sleep(5 * time.Millisecond)
	}
	done := f.serveStopped(nil, nil)
	time.Sleep(1200 * time.Millisecond)
	client.sendBytes(readinessQuery()) // lies unread at the front end or is dropped: no response must be lost by it
	time.Sleep(100 * time.Millisecond)
	whole := 0
	for {
		got := client.receive()
		if strings.HasPrefix(got, "2/") && len(got) > len(body) {
			whole++
		} else if !strings.HasPrefix(got, "6/") {
			if got != "EOF" {
				t.Error("closed by", got)
			}
			break
		}
	}
	if whole != 8 {
		t.Errorf("%d of 8 responses came whole", whole)
	}
	waitForExit(t, done)
}
