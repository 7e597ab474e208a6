package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/upstream"
)

// net notes what a pool does on its connections, and what it tells.
type net struct {
	t      *testing.T
	p      *Pool
	dialed []string
	sent   map[upstream.ConnID][]byte
	closed []upstream.ConnID
	unsent map[upstream.ConnID]int
	told   []string
	bodies []string
}

func (n *net) Dial(c upstream.ConnID, addr string)  { n.dialed = append(n.dialed, addr) }
func (n *net) Write(c upstream.ConnID, data []byte) { n.sent[c] = append(n.sent[c], data...) }
func (n *net) Close(c upstream.ConnID)              { n.closed = append(n.closed, c) }
func (n *net) Unsent(c upstream.ConnID) int         { return n.unsent[c] }
func (n *net) OnAttemptReply(job uint64, r dispatch.WorkerReply) {
	n.told = append(n.told, fmt.Sprintf("%d:%d/%d", job, r.Outcome, r.Start))
	n.bodies = append(n.bodies, string(r.Body))
}
func (n *net) OnLoadReply(job uint64, res control.Outcome, copies int) {
	n.told = append(n.told, fmt.Sprintf("load %d:%d %d", job, res, copies))
}

// codes are the commands written to a connection.
func (n *net) codes(c upstream.ConnID) (list []byte) {
	for b := n.sent[c]; len(b) > 0; {
		size := headSize + int(b[2])<<8 + int(b[3]) + int(b[6])<<8 + int(b[7]) + checkSize
		list, b = append(list, b[1]), b[size:]
	}
	return list
}

func (n *net) expect(told ...string) {
	n.t.Helper()
	n.p.Flush()
	if !slices.Equal(n.told, told) {
		n.t.Errorf("told %q, want %q", n.told, told)
	}
	if err := n.p.Check(); err != nil {
		n.t.Error(err)
	}
	n.told = nil
}

func list(workersOf map[string]string, phase control.EndpointState, born float64) *upstream.EndpointList {
	l := &upstream.EndpointList{Addresses: map[control.WorkerID]string{}}
	for id, addr := range workersOf {
		l.Workers = append(l.Workers, control.Worker{ID: control.WorkerID(id), State: phase, StartedAt: born})
		l.Addresses[control.WorkerID(id)] = addr
	}
	return l
}

func newNet(t *testing.T, each, streams int) *net {
	n := &net{t: t, sent: map[upstream.ConnID][]byte{}, unsent: map[upstream.ConnID]int{}}
	n.p = NewPool(Limits{DialTimeout: 0.25, IdleTimeout: 10, MaxTotal: 8, MaxPerWorker: each, MaxStreams: streams}, n, n)
	n.p.SetEndpoints(list(map[string]string{"a": "x:1"}, control.Serving, 0))
	return n
}

func (n *net) launch(job uint64, wk string) {
	n.p.SendAttempt(0, dispatch.Attempt{ID: job, Worker: control.WorkerID(wk), Function: "7f3a9c21e0b4d655", Class: "call", Timeout: 1.5,
		Identity: dispatch.Identity{ID: fmt.Sprintf("%016x", job)}, Body: []byte("in")})
}

// back is an answer as a worker sends it.
func back(code byte, id uint64, fields, body string) []byte {
	b := putFrame(nil, code, id, fields, []byte(body))
	b[0] = markTheirs
	return b
}

func TestLaunchAndAnswers(t *testing.T) {
	for _, c := range []struct {
		code   byte
		fields string
		want   string
	}{{ansOK, "detail=hit,company=3", "1:0/1"}, {ansOK, "detail=spawn", "1:0/2"}, {ansOK, "detail=pending", "1:0/3"}, {ansOK, "", "1:0/0"},
		{ansMiss, "", "1:8/0"}, {ansMiss, "detail=spawn_failed", "1:8/4"}, {ansFull, "", "1:5/0"}, {ansError, "", "1:1/0"}, {ansOver, "", "1:7/0"}} {
		in := back(c.code, 1, c.fields, "out\x00")
		for cut := range len(in) {
			n := newNet(t, 1, 32)
			n.launch(1, "a")
			n.p.OnDialed(0, 1, nil)
			if want := putFrame(nil, cmdLaunch, 1, "queue=call,path=7f3a9c21e0b4d655,budget=1500", []byte("in")); !bytes.Equal(n.sent[1], want) {
				t.Fatalf("sent %q, want %q", n.sent[1], want)
			}
			n.p.OnData(0, 1, in[:cut])
			n.p.OnData(0, 1, in[cut:])
			n.expect(c.want)
			if c.code == ansOK && n.bodies[0] != "out\x00" {
				t.Errorf("body %q", n.bodies[0])
			}
		}
	}
}

// A reset, or anything that can't be read, takes all that is open on the connection: it may have run. What had not
// left, and what is on other connections, is another matter.
func TestSpoiltAnswersEndTheConnection(t *testing.T) {
	wrongCheck := back(ansOK, 1, "", "x")
	wrongCheck[len(wrongCheck)-1]++
	huge := back(ansOK, 1, "", "")[:headSize]
	huge[4] = 192
	for name, in := range map[string][]byte{"check": wrongCheck, "mark": {0, 64}, "3 GB": huge, "reset": nil} {
		n := newNet(t, 1, 40)
		var want []string
		for job := uint64(1); job <= 30; job++ {
			n.launch(job, "a")
			want = append(want, fmt.Sprintf("%d:3/0", job))
		}
		n.p.OnDialed(0, 1, nil)
		if in == nil {
			n.p.OnData(0, 1, back(ansOK, 7, "", "half")[:20])
			n.p.OnClosed(0, 1)
		} else {
			n.p.OnData(0, 1, append(in, back(ansOK, 2, "", "not to be trusted")...))
			if !slices.Equal(n.closed, []upstream.ConnID{1}) {
				t.Errorf("%s: closed %v", name, n.closed)
			}
		}
		n.expect(want...)
	}
}

func TestAnswersTwiceAheadAndLate(t *testing.T) {
	n := newNet(t, 1, 32)
	n.launch(1, "a")
	n.p.OnDialed(0, 1, nil)
	n.p.OnData(0, 1, slices.Concat(back(ansOK, 77, "", "ahead"), back(ansMiss, 1, "", ""), back(ansMiss, 1, "", ""), back(99, 1, "", "")))
	n.expect("1:8/0")
	// The same event once more: a second answer of the first launch must not pass for its own.
	n.launch(1, "a")
	if len(n.dialed) != 2 {
		t.Fatalf("dialed %v: the id was in use on the first connection", n.dialed)
	}
	n.p.OnData(0, 1, back(ansOK, 1, "", "late"))
	n.p.OnDialed(0, 2, nil)
	n.expect()
	n.p.Abandon(1, 1)
	if got := n.codes(2); !slices.Equal(got, []byte{cmdLaunch, cmdGiveUp}) {
		t.Errorf("commands %v", got)
	}
	n.p.OnData(0, 2, back(ansOK, 1, "", "after the give-up"))
	n.expect()
}

func TestConnectionsAreSharedOnlyAtTheBound(t *testing.T) {
	n := newNet(t, 2, 2)
	for job := uint64(1); job <= 5; job++ {
		n.launch(job, "a")
	}
	n.p.OnDialed(0, 1, nil)
	n.p.OnDialed(0, 2, nil)
	// Four fit on two connections of two; the fifth has a third dialed, within the bound for all.
	if len(n.dialed) != 3 || len(n.codes(1)) != 2 || len(n.codes(2)) != 2 {
		t.Errorf("dialed %v, sent %v and %v", n.dialed, n.codes(1), n.codes(2))
	}
	n.p.OnDialed(0, 3, errors.New("refused"))
	n.expect("5:6/0")
}

func TestWhatWaitsMustNotLeaveLater(t *testing.T) {
	drain := list(map[string]string{"a": "x:1"}, control.Draining, 0)
	n := newNet(t, 1, 32)
	n.launch(1, "a")
	n.p.SetEndpoints(drain) // told while the launch waits for its connection
	n.p.OnDialed(0, 1, nil)
	n.launch(2, "a")
	n.p.SendLoad(0, dispatch.LoadCommand{ID: 3, Worker: "a", Function: "7f3a9c21e0b4d655", Replicas: 1})
	n.expect("1:6/0", "2:6/0", "load 3:6 0")
	if len(n.sent[1]) > 0 {
		t.Errorf("sent %v to a draining worker", n.codes(1))
	}

	n = newNet(t, 1, 32) // a launch that is out runs on while its worker drains
	n.launch(1, "a")
	n.p.OnDialed(0, 1, nil)
	n.p.SetEndpoints(drain)
	n.p.OnData(0, 1, back(ansOK, 1, "detail=hit", ""))
	n.expect("1:0/1")
	if !slices.Equal(n.closed, []upstream.ConnID{1}) {
		t.Error("a connection to a draining worker is kept")
	}

	n = newNet(t, 1, 32) // its time runs out before it is up, or before it has left
	n.launch(1, "a")
	if !n.p.CancelUnsent(1) {
		t.Error("nothing of it has left")
	}
	n.launch(2, "a")
	n.p.OnDialed(0, 1, nil)
	n.launch(3, "a")
	n.unsent[1] = 5
	if n.p.CancelUnsent(2) {
		t.Error("it may have left")
	}
	n.p.Abandon(0, 2)
	n.expect("3:3/0")
	if !slices.Equal(n.closed, []upstream.ConnID{1}) || slices.Contains(n.codes(1), cmdGiveUp) {
		t.Error("the rest of it may still leave")
	}
}

// A new worker may take the address of one that is gone, and one may begin anew under its own name.
func TestConnectionsBelongToAWorker(t *testing.T) {
	for name, next := range map[string]*upstream.EndpointList{"address": list(map[string]string{"b": "x:1"}, control.Serving, 0),
		"began anew": list(map[string]string{"a": "x:1"}, control.Serving, 9)} {
		n := newNet(t, 1, 32)
		n.launch(1, "a")
		n.p.OnDialed(0, 1, nil)
		n.p.SetEndpoints(next)
		n.launch(2, string(next.Workers[0].ID))
		n.p.OnDialed(0, 2, nil)
		if len(n.codes(1)) != 1 || len(n.codes(2)) != 1 {
			t.Errorf("%s: sent %v on the former's connection", name, n.codes(1))
		}
		n.p.OnData(0, 1, back(ansOK, 1, "", ""))
		n.expect("1:0/0")
	}
}

func TestOrdersAndTime(t *testing.T) {
	n := newNet(t, 1, 32)
	n.p.SendLoad(0, dispatch.LoadCommand{ID: 1, Worker: "a", Function: "7f3a9c21e0b4d655", Replicas: 2})
	n.p.OnDialed(0, 1, nil)
	n.p.OnData(0, 1, back(ansFull, n.p.orders|1<<63, "slots_up=1", ""))
	n.p.SendLoad(0, dispatch.LoadCommand{Worker: "a", Function: "7f3a9c21e0b4d655"})
	if got := n.codes(1); !slices.Equal(got, []byte{cmdHold, cmdUnload}) {
		t.Errorf("commands %v", got)
	}
	n.expect("load 1:5 1")
	n.p.Tick(9.9)
	if n.p.Len() != 1 {
		t.Error("closed too soon")
	}
	n.p.Tick(10)
	n.launch(2, "a")
	n.p.Tick(10.3) // its dial began at 0 of this test's clock
	n.expect("2:6/0")
	if n.p.Len() != 0 || len(n.p.of)+len(n.p.jobs) > 0 {
		t.Error("something is left over")
	}
}

// Over many replaced workers nothing grows.
func TestManyReplacements(t *testing.T) {
	n := newNet(t, 2, 4)
	for i := range uint64(500) {
		id := fmt.Sprint("w", i)
		n.p.SetEndpoints(list(map[string]string{id: "x:1"}, control.Serving, 0))
		n.launch(i, id)
		n.p.OnDialed(0, n.p.next, nil)
		switch i % 4 {
		case 0:
			n.p.OnData(0, n.p.next, back(ansOK, i, "", ""))
		case 1:
			n.p.OnClosed(0, n.p.next)
		case 2:
			n.p.SetEndpoints(list(nil, 0, 0)) // gone with the launch out, which runs into its time
			n.p.Abandon(0, i)
		default:
			n.p.SetEndpoints(list(nil, 0, 0))
			n.p.OnData(0, n.p.next, back(ansOK, i, "", ""))
		}
		n.p.Flush()
	}
	n.p.SetEndpoints(list(nil, 0, 0))
	if x := len(n.p.conns) + len(n.p.of) + len(n.p.jobs) + len(n.p.open) + len(n.p.born); x > 0 {
		t.Errorf("%d entries are left over", x)
	}
}

func FuzzFramer(f *testing.F) {
	f.Add(back(ansOK, 7, "detail=hit", "body"), uint8(3))
	f.Add([]byte{markTheirs, 64, 255, 255, 255, 255, 255, 255}, uint8(1))
	f.Fuzz(func(t *testing.T, in []byte, cut uint8) {
		read := func(step int) (got string) {
			var fr framer
			for rest := in; len(rest) > 0; {
				n := min(step, len(rest))
				fr.feed(rest[:n])
				rest = rest[n:]
				for {
					a, ok, err := fr.next()
					if err != nil {
						return got + "!"
					}
					if !ok {
						break
					}
					if string(a.body) != "" || a.fields != "" {
						got += fmt.Sprintf("%d %d %q %q;", a.code, a.id, a.fields, a.body)
					}
				}
				fr.settle()
			}
			return got
		}
		if a, b := read(len(in)+1), read(int(cut)+1); a != b {
			t.Errorf("in one %q, in parts %q", a, b)
		}
	})
}
