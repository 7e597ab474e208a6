package frames

import (
	"fmt"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// discard is a transport and handler that record nothing.
type discard struct{}

func (discard) Dial(upstream.ConnID, string)                {}
func (discard) Write(upstream.ConnID, []byte)               {}
func (discard) Close(upstream.ConnID)                       {}
func (discard) Unsent(upstream.ConnID) int                  { return 0 }
func (discard) OnAttemptReply(uint64, dispatch.WorkerReply) {}
func (discard) AuthorizeAttempt(uint64) dispatch.SendPermit {
	return dispatch.PermitSend(defaultTimeLeft)
}

func (discard) AuthorizeLoad(uint64) dispatch.SendPermit { return dispatch.PermitSend(defaultTimeLeft) }
func (discard) OnDisconnected(control.WorkerID)          {}
func (discard) OnProcessUncertain(control.WorkerID) bool { return false }
func (discard) OnProcessConfirmed(control.WorkerID)      {}

func (discard) OnLoadReply(uint64, control.Outcome, int) {}

// BenchmarkExchange measures one attempt and its reply on a reused connection.
func BenchmarkExchange(b *testing.B) {
	pool := NewPool(Limits{DialTimeout: 0.25, IdleTimeout: 10, MaxTotal: 8, MaxPerWorker: 1, MaxStreams: 4}, discard{}, discard{})
	pool.SetEndpoints(endpointList(map[string]string{"a": "x:1"}, control.Serving, 0))
	const ids = 64
	var names [ids]string
	var replies [ids][]byte
	for i := range names {
		names[i] = fmt.Sprintf("%016x", i)
		replies[i] = encodeReply(replySucceeded, uint64(i), "detail=hit", "out")
	}
	body := []byte("x")
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		now := units.Seconds(id/ids) * replyRetention // each ID is free again when it is used next
		pool.SendAttempt(now, dispatch.Attempt{
			ID: id, Worker: "a", Function: "7f3a9c21e0b4d655", Class: "call", Timeout: 2,
			Identity: dispatch.Identity{ID: names[id%ids]}, Body: body,
		})
		if id == 1 {
			pool.OnDialed(now, 1, nil)
		}
		pool.OnData(now, 1, replies[id%ids])
	}
}
