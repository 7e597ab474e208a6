package node

import (
	"net"
	"strings"
	"testing"
	"time"

	"streamcleat/internal/verification/nodetest"
	"streamcleat/internal/verification/workerframes"
)

// Guards against a second attempt under an open request's ID: its hexadecimal digits in the other case were taken for another
// ID, while both attempts had the same 8 bytes on the way to the worker.
func TestOpenRequest_OtherSpellingOfItsIDIsRejected(t *testing.T) {
	t.Parallel()
	for name, ids := range map[string][2]string{
		"capitals after small letters": {"9b1f03aa5c7e2d41", "9B1F03AA5C7E2D41"},
		"small letters after capitals": {"9B1F03AA5C7E2D41", "9b1f03aa5c7e2d41"},
		"mixed after small letters":    {"9b1f03aa5c7e2d41", "9b1F03aa5c7e2D41"},
		"same":                         {"9b1f03aa5c7e2d41", "9b1f03aa5c7e2d41"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 256)
			usual, bad := f.dialWarm(), f.dial()
			attempts := f.worker.Attempts.Load() + 1
			f.worker.Silent.Store(true)
			usual.SendBytes(usual.RequestWithID(ids[0], nodetest.WarmFunction, "body"))
			for f.worker.Attempts.Load() < attempts {
				time.Sleep(time.Millisecond)
			}
			f.worker.Silent.Store(false)
			bad.SendBytes(bad.RequestWithID(ids[1], nodetest.WarmFunction, "other body"))
			if got := bad.Receive(); !strings.HasPrefix(got, `2/1 "\b`) {
				t.Errorf("response %s, want a rejection", got)
			}
			if got := f.worker.Attempts.Load(); got != attempts {
				t.Errorf("%d attempts beside the open one", got-attempts)
			}
		})
	}
}

// A client that writes its IDs in capitals is served like any other.
func TestRequest_IDInCapitalsIsServed(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 256)
	client := f.dialWarm()
	client.SendBytes(client.RequestWithID("9B1F03AA5C7E2D41", nodetest.WarmFunction, "body"))
	if got := client.Receive(); got != `2/2 "\x00\x00body"` {
		t.Errorf("response %s", got)
	}
}

// Guards against a function that counts as two: its hexadecimal digits in the other case were taken for another function, so a
// second replica was loaded beside the idle one.
func TestRequest_OtherSpellingOfAFunctionUsesItsReplica(t *testing.T) {
	t.Parallel()
	worker := nodetest.NewWorker(t)
	frames := make(chan workerframes.Frame, 64)
	worker.HandleConnections(func(conn net.Conn) {
		worker.ObserveFrames(conn, func(frame workerframes.Frame) { frames <- frame })
	})
	f := newFixtureWith(t, worker, 256, func(text string) string { return text })
	client := f.dialWarm()
	client.SendBytes(client.Request(strings.ToUpper(nodetest.WarmFunction), "body"))
	if got := client.Receive(); got != `2/2 "\x00\x00body"` {
		t.Errorf("response %s", got)
	}
	loads := 0
	for len(frames) > 0 {
		frame := <-frames
		if path := frame.Field("path"); path != "" && path != nodetest.WarmFunction {
			t.Errorf("command %d for function %s, want %s", frame.Command(), path, nodetest.WarmFunction)
		}
		if replicas := frame.Field("slots_up"); frame.Command() == workerframes.CommandLoad && replicas != "0" {
			loads++
		}
	}
	if loads != 1 {
		t.Errorf("%d load commands, want one for the first request", loads)
	}
}
