package node

import (
	"strings"
	"testing"
	"time"

	"streamcleat/internal/verification/nodetest"
	"streamcleat/internal/verification/workerframes"
)

// settleTime is the time within which an attempt for a client that canceled or disconnected would have been sent.
const settleTime = 200 * time.Millisecond

// No attempt starts for a client that canceled its request or disconnected, even if the event loop first reads the worker's
// reply after which an attempt is due.
func TestAttempt_NotStartedAfterCancelOrDisconnect(t *testing.T) {
	t.Parallel()
	endings := map[string]func(t *testing.T, client *nodetest.Client){
		"cancel": func(t *testing.T, client *nodetest.Client) {
			t.Helper()
			client.SendBytes(client.Cancellation())
		},
		"close": func(t *testing.T, client *nodetest.Client) {
			t.Helper()
			nodetest.Close(t, client.Conn)
		},
		"reset": func(t *testing.T, client *nodetest.Client) {
			t.Helper()
			nodetest.Reset(t, client.Conn)
		},
		"cancel after other requests": func(t *testing.T, client *nodetest.Client) {
			t.Helper()
			cancellation := client.Cancellation()
			var requests []byte
			for len(requests) < 100_000 {
				requests = append(requests, client.Request("no function", strings.Repeat("x", 10_000))...)
			}
			client.SendBytes(append(requests, cancellation...))
		},
	}
	for name, end := range endings {
		for state, command := range map[string]byte{
			"between attempts": workerframes.CommandAttempt,
			"during a load":    workerframes.CommandLoad,
		} {
			t.Run(name+" "+state, func(t *testing.T) {
				t.Parallel()
				testCancelOrDisconnect(t, command, end)
			})
		}
	}
}

// testCancelOrDisconnect has a client cancel or disconnect while the worker's reply to a command, after which an attempt would
// start, has not been read yet.
func testCancelOrDisconnect(t *testing.T, command byte, end func(t *testing.T, client *nodetest.Client)) {
	t.Helper()
	f := newFixture(t, 256)
	client := f.dialWarm()
	received, proceed := make(chan struct{}, 1), make(chan struct{})
	f.worker.SetReplyCode(func(c byte) byte {
		if c != command {
			return workerframes.ReplySucceeded
		}
		received <- struct{}{}
		<-proceed
		if c == workerframes.CommandAttempt {
			return workerframes.ReplyFailed // causes a retry
		}
		return workerframes.ReplySucceeded // the replica is loaded
	})
	before := f.worker.Attempts.Load()
	if command == workerframes.CommandAttempt {
		client.Send("again")
		before++
	} else {
		client.SendBytes(client.Request("00000000000000f2", "cold"))
	}
	<-received
	release := f.stallLoop()
	close(proceed)
	if c := <-f.worker.Replied; c != command {
		t.Fatal("worker replied to another command:", c)
	}
	end(t, client)
	release()
	time.Sleep(100 * time.Millisecond)
	if n := f.worker.Attempts.Load() - before; n != 0 {
		t.Errorf("%d attempts for a client that canceled or disconnected", n)
	}
}

// A client that sends a request and cancels it or disconnects while the event loop is stalled causes no attempt, even if
// the request and its cancellation are read together.
func TestAttempt_NotSentAfterCancelOrDisconnectDuringLoopStall(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(t *testing.T, client *nodetest.Client, request []byte){
		"cancel in the same write": func(t *testing.T, client *nodetest.Client, request []byte) {
			t.Helper()
			client.SendBytes(append(request, client.Cancellation()...))
		},
		"close": func(t *testing.T, client *nodetest.Client, request []byte) {
			t.Helper()
			client.SendBytes(request)
			nodetest.Close(t, client.Conn)
		},
		"reset": func(t *testing.T, client *nodetest.Client, request []byte) {
			t.Helper()
			client.SendBytes(request)
			time.Sleep(20 * time.Millisecond) // otherwise the reset may discard the request
			nodetest.Reset(t, client.Conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 256)
			client := f.dialWarm()
			before := f.worker.Attempts.Load()
			release := f.stallLoop()
			end(t, client, client.Request(nodetest.WarmFunction, "left"))
			time.Sleep(settleTime)
			release()
			time.Sleep(settleTime)
			if n := f.worker.Attempts.Load() - before; n != 0 {
				t.Errorf("%d attempts for a client that canceled or disconnected before its request was read", n)
			}
		})
	}
}
