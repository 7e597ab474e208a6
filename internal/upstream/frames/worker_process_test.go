package frames

import (
	"slices"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/upstream"
)

// The end of a worker's last connection is reported, unless the worker is draining.
func TestOnClosed_ReportsLastConnection(t *testing.T) {
	fixture := newPoolFixture(t, 2, 1)
	fixture.sendAttempt(1, "a")
	fixture.sendAttempt(2, "a")
	fixture.pool.OnDialed(0, 1, nil)
	fixture.pool.OnDialed(0, 2, nil)
	fixture.pool.OnData(0, 1, encodeReply(replyRejected, 1, "", "")) // shows that both connections reach the same process
	fixture.pool.OnClosed(0, 1)
	if len(fixture.disconnected) > 0 {
		t.Error("disconnection reported while another connection to the process is established")
	}
	fixture.pool.OnClosed(0, 2)
	if !slices.Equal(fixture.disconnected, []control.WorkerID{"a"}) {
		t.Errorf("disconnections reported: %v, want one of worker a", fixture.disconnected)
	}
	fixture.expectReports("1:5/0", "2:3/0")
	fixture.sendAttempt(3, "a")
	fixture.pool.OnDialed(0, 3, nil)
	fixture.pool.SetEndpoints(endpointList(map[string]string{"a": "x:1"}, control.Draining, 0))
	fixture.pool.OnClosed(0, 3)
	if len(fixture.disconnected) > 1 {
		t.Error("disconnection reported for a draining worker")
	}
}

// Guards against a successor that is taken for the process it followed: a machine that vanishes leaves its connections open and
// silent, and one that is established meanwhile reaches the machine that has taken the address. Only a message on an earlier
// connection shows that the process is the same.
func TestOnDialed_ProcessBehindLaterConnection(t *testing.T) {
	reply := func(connection upstream.ConnID, id uint64) func(*Pool) {
		return func(p *Pool) { p.OnData(0, connection, encodeReply(replySucceeded, id, "detail=hit", "")) }
	}
	closed := func(connection upstream.ConnID) func(*Pool) { return func(p *Pool) { p.OnClosed(0, connection) } }
	for name, c := range map[string]struct {
		then []func(*Pool) // after connection 2 was established beside connection 1
		want []string
	}{
		"earlier connection silent":        {[]func(*Pool){reply(2, 2)}, []string{"uncertain"}},
		"message on earlier connection":    {[]func(*Pool){reply(1, 1), closed(1)}, []string{"uncertain", "confirmed"}},
		"earlier connection ends silent":   {[]func(*Pool){reply(2, 2), closed(1)}, []string{"uncertain", "disconnected"}},
		"later connection ends":            {[]func(*Pool){closed(2), reply(1, 1)}, []string{"uncertain", "confirmed"}},
		"both end":                         {[]func(*Pool){closed(1), closed(2)}, []string{"uncertain", "disconnected", "disconnected"}},
		"message after the end is no sign": {[]func(*Pool){closed(1), reply(2, 2)}, []string{"uncertain", "disconnected"}},
	} {
		fixture := newPoolFixture(t, 2, 1)
		fixture.sendAttempt(1, "a")
		fixture.pool.OnDialed(0, 1, nil)
		fixture.sendAttempt(2, "a")
		fixture.pool.OnDialed(0, 2, nil)
		for _, step := range c.then {
			step(fixture.pool)
		}
		if !slices.Equal(fixture.processes, c.want) {
			t.Errorf("%s: reported %v, want %v", name, fixture.processes, c.want)
		}
	}
}

// Guards against a cold successor that is taken for the warm process that it followed for as long as the connections to that are
// silent: they are pinged where the handler wants it. The reply belongs to no exchange.
func TestOnDialed_PingsEarlierConnection(t *testing.T) {
	const replyPong replyCode = 70
	for _, verifies := range []bool{false, true} {
		fixture := newPoolFixture(t, 2, 1)
		fixture.verifies = verifies
		fixture.sendAttempt(1, "a")
		fixture.pool.OnDialed(0, 1, nil)
		fixture.sendAttempt(2, "a")
		fixture.pool.OnDialed(0, 2, nil)
		if pinged := slices.Contains(fixture.commands(1), commandPing); pinged != verifies || slices.Contains(fixture.commands(2), commandPing) {
			t.Errorf("verifies %v: sent %v and, on the later connection, %v", verifies, fixture.commands(1), fixture.commands(2))
		}
		fixture.pool.OnData(0, 1, encodeReply(replyPong, fixture.pool.lastLoadWireID|loadWireIDBit, "", ""))
		if want := []string{"uncertain", "confirmed"}; !slices.Equal(fixture.processes, want) {
			t.Errorf("verifies %v: reported %v, want %v", verifies, fixture.processes, want)
		}
		fixture.expectReports()
	}
}

// Whichever side closes a worker's last connection, its end is reported: another process may have the worker's address when
// the next connection is dialed.
func TestDisconnection_ReportedIfClosedByPool(t *testing.T) {
	for name, end := range map[string]func(*poolFixture){
		"idle": func(fixture *poolFixture) {
			fixture.pool.OnData(0, 1, encodeReply(replySucceeded, 1, "detail=hit", ""))
			fixture.pool.Tick(11)
		},
		"malformed reply": func(fixture *poolFixture) { fixture.pool.OnData(0, 1, []byte("no frame of the protocol")) },
	} {
		fixture := newPoolFixture(t, 2, 1)
		fixture.sendAttempt(1, "a")
		fixture.pool.OnDialed(0, 1, nil)
		end(fixture)
		if !slices.Equal(fixture.disconnected, []control.WorkerID{"a"}) || fixture.pool.Len() > 0 {
			t.Errorf("%s: disconnections reported: %v; %d connections left", name, fixture.disconnected, fixture.pool.Len())
		}
	}
}
