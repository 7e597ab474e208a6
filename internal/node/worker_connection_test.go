package node

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"streamcleat/internal/verification/nodetest"
	"streamcleat/internal/verification/workerframes"
)

// readSome waits for data on a connection or its end, and discards the data.
func readSome(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 64<<10)) // the content and errors are irrelevant
}

// If a worker's connection ends during an attempt, an idempotent request is retried and succeeds; any other request is sent
// at most once.
func TestAttempt_WorkerConnectionEnds(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(t *testing.T, conn net.Conn){
		"reset after accept": nodetest.Reset,
		"close after accept": nodetest.Close,
		"reset with unread attempt": func(t *testing.T, conn net.Conn) {
			t.Helper()
			time.Sleep(20 * time.Millisecond)
			nodetest.Reset(t, conn)
		},
		"reset after reading attempt": func(t *testing.T, conn net.Conn) {
			t.Helper()
			readSome(conn)
			nodetest.Reset(t, conn)
		},
		"close during reply": func(t *testing.T, conn net.Conn) {
			t.Helper()
			readSome(conn)
			if _, err := conn.Write([]byte{workerframes.WorkerMagic, workerframes.ReplySucceeded, 0}); err != nil {
				t.Error(err)
			}
			nodetest.Close(t, conn)
		},
	} {
		for class, maxAttempts := range map[string]int32{"call": 2, "once": 1} {
			t.Run(name+" "+class, func(t *testing.T) {
				t.Parallel()
				mayBeUnsent := strings.HasSuffix(name, "after accept") // the connection may end before the event loop registers it
				testConnectionEnds(t, class, maxAttempts, mayBeUnsent, end)
			})
		}
	}
}

// testConnectionEnds ends the worker's connection during an attempt of a class with the given maximum number of attempts.
func testConnectionEnds(t *testing.T, class string, maxAttempts int32, mayBeUnsent bool, end func(t *testing.T, conn net.Conn)) {
	t.Helper()
	f := newFixture(t, 256)
	client := f.dialWarm()
	var connections atomic.Int32
	f.worker.InterceptConnections(func(conn net.Conn) bool {
		if connections.Add(1) > 1 {
			return false
		}
		end(t, conn)
		return true
	})
	f.worker.Silent.Store(true) // keeps the established connection busy, so that the next attempt dials
	client.Send("holds the first connection")
	for f.worker.Attempts.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.worker.Silent.Store(false)
	request := client.Request(nodetest.WarmFunction, "again")
	client.SendBytes(bytes.Replace(request, []byte("\x00\x04call"), []byte("\x00\x04"+class), 1))
	got := client.Receive()
	if mayBeUnsent && strings.HasPrefix(got, `2/3 "\b`) && f.worker.Attempts.Load() == 2 {
		return // the connection ended before the event loop registered it: the attempt was not sent, and the request rejected
	}
	succeeded := strings.Contains(got, "again")
	if succeeded != (maxAttempts == 2) || f.worker.Attempts.Load() > 1+maxAttempts {
		t.Errorf("received %s after %d complete attempts on %d connections", got, f.worker.Attempts.Load()-2, connections.Load())
	}
	if class == "once" && !strings.HasPrefix(got, `2/3 "\r`) {
		t.Error("request that is sent at most once did not fail:", got)
	}
}

// A request's idempotency key is forwarded to the worker unchanged. For a request without a key, none is sent.
func TestAttempt_ForwardsIdempotencyKey(t *testing.T) {
	t.Parallel()
	for key, want := range map[string]string{"k-81f3:7": ",uniq=k-81f3:7", "": ""} {
		f := newFixture(t, 256)
		attemptFields := make(chan string, 1)
		f.worker.HandleConnections(func(conn net.Conn) {
			for {
				frame, err := workerframes.Read(conn)
				if err != nil {
					return
				}
				if frame.Command() == workerframes.CommandAttempt {
					attemptFields <- string(frame.Fields)
					return
				}
				// The front end may have closed the connection.
				_, _ = conn.Write(frame.Reply(workerframes.ReplySucceeded, nodetest.OneReplica, nil))
			}
		})
		client := f.dial()
		frame := client.Request(nodetest.WarmFunction, "")
		if key != "" {
			field := append(append([]byte{5}, "opkey"...), 0, byte(len(key)))
			frame = append(frame, append(field, key...)...)
			frame[3], frame[9] = byte(len(frame)-4), frame[9]+1
		}
		client.SendBytes(frame)
		if fields := <-attemptFields; !strings.HasSuffix(fields, want) || strings.Contains(fields, "uniq") != (want != "") {
			t.Errorf("attempt fields %q, want suffix %q", fields, want)
		}
	}
}

// A duplicate of a reply that arrives during the next attempt is not taken for the reply to that attempt.
func TestAttempt_IgnoresDuplicateReply(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 256)
	f.worker.HandleConnections(func(conn net.Conn) {
		var previous []byte
		for {
			frame, err := workerframes.Read(conn)
			if err != nil {
				return
			}
			reply := frame.Reply(workerframes.ReplySucceeded, nodetest.OneReplica, frame.Body)
			_, _ = conn.Write(previous) // the front end may have closed the connection
			time.Sleep(2 * time.Millisecond)
			_, _ = conn.Write(reply)
			previous = reply
		}
	})
	client := f.dial()
	for n := range 20 {
		body := fmt.Sprint("number ", n)
		client.Send(body)
		if got := client.Receive(); !strings.HasSuffix(got, body+`"`) {
			t.Fatal(n, got)
		}
	}
}
