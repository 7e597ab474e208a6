package frames

import (
	"fmt"
	"slices"
	"testing"

	"streamcleat/internal/units"
)

// Guards against a client that repeats an ID, each time after the response: each attempt took another connection, until there
// were none left for any worker and a healthy one was reported as unreachable.
func TestSendAttempt_RepeatedIDTakesNoFurtherConnections(t *testing.T) {
	fixture := newPoolFixture(t, 2, 32)
	for id := uint64(101); id <= 120; id++ {
		fixture.sendAttemptUnder(0, id, 5, "a")
		fixture.pool.OnDialed(0, fixture.lastDialed(), nil)
		fixture.pool.OnData(0, fixture.lastDialed(), encodeReply(replySucceeded, 5, "detail=hit", ""))
		fixture.expectReports(fmt.Sprintf("%d:0/1", id))
		if n := fixture.pool.Len(); n > 2 {
			t.Fatalf("%d connections after attempt %d, want 2 at most", n, id)
		}
	}
	if len(fixture.disconnected) > 0 {
		t.Error("disconnections reported:", fixture.disconnected)
	}
}

// Guards against a response with the body of another request: a connection forgot the ID of an ended attempt after 32 others, so
// that its late or second reply was taken for the reply to a new attempt under the same ID.
func TestOnData_LateReplyIsNotThatOfALaterAttempt(t *testing.T) {
	for name, end := range map[string]func(*poolFixture){
		"second reply":            func(f *poolFixture) { f.pool.OnData(0, 1, encodeReply(replySucceeded, 5, "", "first")) },
		"reply to a canceled one": func(f *poolFixture) { f.pool.Abandon(0, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newPoolFixture(t, 1, 32)
			fixture.sendAttemptUnder(0, 1, 5, "a")
			fixture.pool.OnDialed(0, 1, nil)
			fixture.sendAttemptUnder(0, 2, 6, "a") // keeps the connection busy
			end(fixture)
			for id := uint64(100); id < 1100; id++ {
				fixture.sendAttempt(id, "a")
				fixture.pool.OnData(0, 1, encodeReply(replyRejected, id, "", ""))
			}
			fixture.pool.Flush()
			fixture.reported, fixture.bodies = nil, nil
			fixture.sendAttemptUnder(2, 3, 5, "a")
			fixture.pool.OnData(2, 1, encodeReply(replySucceeded, 5, "", "first"))
			fixture.expectReports()
			fixture.pool.OnDialed(2, 2, nil)
			fixture.pool.OnData(2, 2, encodeReply(replySucceeded, 5, "", "second"))
			fixture.expectReports("3:0/0")
			if !slices.Equal(fixture.bodies, []string{"second"}) {
				t.Errorf("bodies %q", fixture.bodies)
			}
		})
	}
}

// A connection carries an ID again once no reply to its earlier exchange is expected, and then holds nothing of it.
func TestEndedIDs_Retention(t *testing.T) {
	var ended endedIDs
	ended.add(0, 7)
	ended.add(1, 8)
	ended.add(2, 7)
	for _, c := range []struct {
		now  units.Seconds
		id   uint64
		want bool
	}{{2, 9, false}, {replyRetention, 7, true}, {replyRetention, 8, true}, {replyRetention + 1, 8, false}, {replyRetention + 1.9, 7, true}, {replyRetention + 2, 7, false}} {
		if ended.contains(c.now, c.id) != c.want {
			t.Errorf("ID %d at %v: want %v", c.id, c.now, c.want)
		}
	}
	ended.add(2*replyRetention+2, 9)
	if len(ended.byAge) != 1 || len(ended.endedAt) != 1 {
		t.Errorf("%d IDs by age and %d by ID are held, want 1", len(ended.byAge), len(ended.endedAt))
	}
}
