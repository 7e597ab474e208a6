package downstream

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"streamcleat/internal/dispatch"
)

// desk notes what a session takes and answers nothing by itself.
type desk struct {
	asks map[uint64]dispatch.Request
	left []uint64
}

func (d *desk) Submit(slot uint64, ask dispatch.Request) { d.asks[slot] = ask }
func (d *desk) Cancel(slot uint64)                       { d.left = append(d.left, slot) }

func open() (*Session, *desk) {
	d := &desk{asks: map[uint64]dispatch.Request{}}
	return NewSession(&Limits{Open: 3, First: 2, Arrival: 1, Idle: 5, MaxAge: func(t string) float64 {
		return map[string]float64{"call": 4}[t]
	}, Tenant: func(n string) bool { return n == "acme" }, Ready: func() bool { return len(d.asks) == 0 },
		MemoryMB: 1 << 16, Lanes: 64, Load: 60, Work: 60}, d, 0), d
}

const good = "kind=call req=9b1f03aa5c7e2d41 timeout=1500 owner=acme subject=7f3a9c21e0b4d655 ms=8.2 more=memory_mb:512;lanes:2;load_ms:640"

// ask is a request frame; changes replace or add fields by name, and one without a value removes it.
func ask(stream uint32, body string, changes ...string) []byte {
	var list []Field
	for _, pair := range append(strings.Fields(good), changes...) {
		name, value, has := strings.Cut(pair, "=")
		list = slices.DeleteFunc(list, func(f Field) bool { return f.Name == name })
		if has {
			list = append(list, Field{name, value})
		}
	}
	b, at := putFrame(nil, request, stream)
	return endFrame(append(putFields(b, list), body...), at)
}

func bare(kind byte, stream uint32, payload string) []byte {
	b, at := putFrame(nil, kind, stream)
	return endFrame(append(b, payload...), at)
}

// said is what a session answers: type/stream/code and its text.
func said(t *testing.T, s *Session) (list []string) {
	t.Helper()
	f := framer{buf: s.Output()}
	for {
		fr, ok, err := f.next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return list
		}
		if fr.kind == noMore {
			list = append(list, fmt.Sprintf("%d/%d", fr.kind, fr.stream))
			continue
		}
		fields, body, err := readFields(fr.payload[1:])
		if err != nil {
			t.Fatal(err)
		}
		text := string(body)
		for _, f := range fields {
			text = f.Name + "=" + f.Value + " " + text
		}
		list = append(list, fmt.Sprintf("%d/%d/%d %s", fr.kind, fr.stream, fr.payload[0], text))
	}
}

func TestRequestCutAtEveryByte(t *testing.T) {
	in := append(ask(1, "body\x00"), ask(2, "")...)
	for cut := range len(in) + 1 {
		s, d := open()
		s.Feed(0, time.Time{}, in[:cut])
		s.Feed(0, time.Time{}, in[cut:])
		a := d.asks[1]
		if len(d.asks) != 2 || a.ID != "9b1f03aa5c7e2d41" || a.Class != "call" || a.Tenant != "acme" || a.Function != "7f3a9c21e0b4d655" ||
			a.Timeout != 1.5 || a.StatedProfile != (dispatch.FunctionProfile{Concurrency: 2, MemoryMB: 512, LoadTime: 0.64}) || string(a.Body) != "body\x00" || !a.RejectDuplicates {
			t.Fatalf("cut at %d: %+v", cut, d.asks)
		}
	}
}

func TestBadRequestsNameTheFieldAndAreNotTaken(t *testing.T) {
	for change, want := range map[string]string{
		"req": "req:", "req=12": "req:", "req=9b1f03aa5c7e2d4g": "req:", "kind=other": "kind:", "owner=nobody": "owner:",
		"subject=x": "subject:", "timeout=0": "timeout:", "timeout=-4": "timeout:", "timeout=1e9": "timeout:", "timeout=soon": "timeout:",
		"timeout=NaN": "timeout:", "ms=-1": "ms:", "ms=Inf": "ms:", "more=lanes:0": "lanes", "more=lanes:1.5": "lanes",
		"opkey=a,b=c": "opkey:", "opkey=a b": "opkey:", "opkey=" + strings.Repeat("k", 300): "opkey:", "more=memory_mb:x": "memory_mb", "more=load_ms:-3": "load_ms", "more=memory_mb:1e300": "memory_mb",
	} {
		s, d := open()
		s.Feed(0, time.Time{}, ask(1, "", change))
		if got := said(t, s); len(d.asks) > 0 || len(got) != 1 || !strings.HasPrefix(got[0], "2/1/8 ") || !strings.Contains(got[0], want) {
			t.Errorf("%s: %q, taken %d", change, got, len(d.asks))
		}
	}
}

func TestFaultsEndTheConnection(t *testing.T) {
	for name, in := range map[string][]byte{
		"length 4": {0, 0, 0, 4, 1}, "length 60 MB": {3, 0x93, 0x87, 0, 1}, "negative length": {255, 255, 255, 255, 1},
		"type of ours": bare(answer, 1, ""), "no type": bare(0, 1, ""), "stream 0": ask(0, ""),
		"stream used twice": append(ask(5, ""), ask(5, "")...), "stream below": append(ask(5, ""), ask(4, "")...),
	} {
		s, d := open()
		s.Feed(0, time.Time{}, append(in, make([]byte, 60_000)...))
		s.Feed(0, time.Time{}, ask(9, "")) // nothing more is read
		got := said(t, s)
		if len(got) != 1 || !strings.HasPrefix(got[0], "2/0/13 ") || len(d.asks) > 1 {
			t.Errorf("%s: %q", name, got)
		}
		for slot := range d.asks { // what was open is answered before the end
			s.Respond(0, slot, dispatch.Response{Kind: dispatch.Succeeded, Body: []byte("x")})
		}
		if _, free := s.Idle(); !s.Done() || !free || len(s.in.buf) > 0 {
			t.Errorf("%s: done %v, free %v, %d bytes are kept", name, s.Done(), free, len(s.in.buf))
		}
	}
}

// A body over its bound is refused on its stream at the head, and skipped without being kept.
func TestLongBodyIsSkipped(t *testing.T) {
	s, d := open()
	in := append(ask(1, strings.Repeat("x", 200_000)), ask(2, "")...)
	for len(in) > 0 {
		n := min(len(in), 1000)
		s.Feed(0, time.Time{}, in[:n])
		in = in[n:]
		if len(s.in.buf) > 1000 {
			t.Fatalf("%d bytes are kept", len(s.in.buf))
		}
	}
	s.Feed(0, time.Time{}, ask(3, strings.Repeat("x", BodyMost+1)))
	got := said(t, s)
	if len(d.asks) != 1 || d.asks[2].ID == "" || len(got) != 2 || !strings.HasPrefix(got[0], "2/1/8 ") || !strings.HasPrefix(got[1], "2/3/8 body") {
		t.Errorf("%q, %v", got, d.asks)
	}
}

func TestAnswersTakeBacksAndReadiness(t *testing.T) {
	s, d := open()
	s.Feed(0, time.Time{}, bare(askReady, 7, "\x00"))
	for stream := uint32(1); stream <= 4; stream++ {
		s.Feed(0, time.Time{}, ask(stream, ""))
	}
	s.Feed(0, time.Time{}, slices.Concat(bare(takeBack, 2, ""), bare(takeBack, 99, ""), bare(askReady, 8, "\x00")))
	s.Respond(0, 3, dispatch.Response{Kind: dispatch.Rejected, RetryAfter: 0.25, Cause: dispatch.CauseNoCapacity})
	s.Respond(0, 2, dispatch.Response{Kind: dispatch.Succeeded}) // taken back: nobody is owed it
	s.Respond(0, 1, dispatch.Response{Kind: dispatch.Succeeded, Body: []byte("b")})
	s.Respond(0, 1, dispatch.Response{Kind: dispatch.Failed}) // one answer only
	s.Drain()
	s.Drain()
	want := []string{"5/7/0 ", "2/4/8 stream: 3 requests are open on this connection", "5/8/8 ", "2/3/8 holdoff=250 no-room", "2/1/0 b", "6/0"}
	if got := said(t, s); !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
	if !slices.Equal(d.left, []uint64{2}) {
		t.Errorf("left %v", d.left)
	}
	s.Feed(0, time.Time{}, slices.Concat(ask(5, ""), ask(6, ""))) // what crosses the telling is taken
	s.Disconnected()
	if !slices.Equal(d.left, []uint64{2, 5, 6}) {
		t.Errorf("left %v", d.left)
	}
}

func TestTimeOnAConnection(t *testing.T) {
	silent, _ := open()
	half, _ := open()
	half.Feed(0, time.Time{}, ask(1, "")[:20])
	busy, d := open()
	busy.Feed(0, time.Time{}, ask(1, ""))
	for _, c := range []struct {
		s    *Session
		at   float64
		done bool
	}{{silent, 1.9, false}, {silent, 2.1, true}, {half, 0.9, false}, {half, 1.1, true}, {busy, 100, false}} {
		if c.s.Tick(c.at); c.s.Done() != c.done {
			t.Errorf("at %g done: %v", c.at, !c.done)
		}
	}
	if _, free := busy.Idle(); free || len(d.asks) != 1 {
		t.Error("an open event makes a connection not free")
	}
	busy.Respond(100, 1, dispatch.Response{})
	if since, free := busy.Idle(); !free || since != 100 {
		t.Error("an answered connection is not free")
	}
	if busy.Tick(104); busy.Done() {
		t.Error("idle too soon")
	}
	if busy.Tick(106); !busy.Done() {
		t.Error("an idle connection is kept")
	}
}

func FuzzSession(f *testing.F) {
	f.Add(ask(1, "b"), uint8(3))
	f.Add([]byte{0, 0, 0, 5, 4, 0, 0, 0, 0}, uint8(1))
	f.Add(binary.BigEndian.AppendUint32(nil, 1<<31), uint8(9))
	f.Fuzz(func(t *testing.T, in []byte, cut uint8) {
		whole, one := open()
		whole.Feed(0, time.Time{}, in)
		parts, two := open()
		for rest := in; len(rest) > 0; {
			n := min(int(cut)+1, len(rest))
			parts.Feed(0, time.Time{}, rest[:n])
			rest = rest[n:]
		}
		if a, b := whole.Output(), parts.Output(); !bytes.Equal(a, b) || len(one.asks) != len(two.asks) {
			t.Errorf("in one %q, in parts %q", a, b)
		}
		if len(parts.in.buf) > headSize+fieldsMost+BodyMost {
			t.Errorf("%d bytes are kept", len(parts.in.buf))
		}
	})
}
