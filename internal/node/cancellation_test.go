package node

import (
	"strings"
	"testing"
	"time"

	"streamcleat/internal/verification/nodetest"
)

// settleTime is the time after which an attempt for a client that left would have been sent.
const settleTime = 200 * time.Millisecond

// No attempt starts for a client that left, even if the worker's reply that calls for one is read first.
func TestAttempt_NotStartedAfterClientLeaves(t *testing.T) {
	t.Parallel()
	leaves := map[string]func(t *testing.T, client *nodetest.Client){
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
		"cancel behind much else": func(t *testing.T, client *nodetest.Client) {
			t.Helper()
			cancellation := client.Cancellation()
			var requests []byte
			for len(requests) < 100_000 {
				requests = append(requests, client.Request("no function", strings.Repeat("x", 10_000))...)
			}
			client.SendBytes(append(requests, cancellation...))
		},
	}
	for name, leave := range leaves {
		for state, command := range map[string]byte{
			"between attempts": nodetest.CommandAttempt,
			"during a load":    nodetest.CommandLoad,
		} {
			t.Run(name+" "+state, func(t *testing.T) {
				t.Parallel()
				testClientLeaves(t, command, leave)
			})
		}
	}
}

// testClientLeaves has a client leave while the reply to a command, after which an attempt would start, lies unread.
func testClientLeaves(t *testing.T, command byte, leave func(t *testing.T, client *nodetest.Client)) {
	t.Helper()
	f := newFixture(t, 256)
	client := f.dialWarm()
	received, proceed := make(chan struct{}, 1), make(chan struct{})
	f.worker.SetReplyCode(func(c byte) byte {
		if c != command {
			return nodetest.ReplySucceeded
		}
		received <- struct{}{}
		<-proceed
		if c == nodetest.CommandAttempt {
			return nodetest.ReplyFailed // to be retried
		}
		return nodetest.ReplySucceeded // a loaded replica
	})
	before := f.worker.Attempts.Load()
	if command == nodetest.CommandAttempt {
		client.Send("again")
		before++
	} else {
		client.SendBytes(client.Request("00000000000000f2", "cold"))
	}
	<-received
	release := f.stallLoop()
	close(proceed)
	if c := <-f.worker.Replied; c != command {
		t.Fatal("replied to", c)
	}
	leave(t, client)
	release()
	time.Sleep(100 * time.Millisecond)
	if n := f.worker.Attempts.Load() - before; n != 0 {
		t.Errorf("%d attempts for a client that left", n)
	}
}

// A client that sends its request and leaves while the event loop is stalled causes no attempt, also where the request
// and its cancellation are read together.
func TestAttempt_NotSentIfClientLeftDuringLoopStall(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(t *testing.T, client *nodetest.Client, request []byte){
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
			time.Sleep(20 * time.Millisecond) // or the reset drops the request
			nodetest.Reset(t, client.Conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 256)
			client := f.dialWarm()
			before := f.worker.Attempts.Load()
			release := f.stallLoop()
			leave(t, client, client.Request(nodetest.WarmFunction, "left"))
			time.Sleep(settleTime)
			release()
			time.Sleep(settleTime)
			if n := f.worker.Attempts.Load() - before; n != 0 {
				t.Errorf("%d attempts for a client that had left", n)
			}
		})
	}
}
