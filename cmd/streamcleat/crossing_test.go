package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"streamcleat/internal/platform"
	"streamcleat/internal/proxy"
)

// stall holds the event loop until the function it returns is called: what comes meanwhile is found in one turn.
func (h *hall) stall() (release func()) {
	in, out := make(chan struct{}), make(chan struct{})
	h.front.Post(func(*proxy.Proxy) { close(in); <-out })
	<-in
	release = sync.OnceFunc(func() { close(out) })
	h.t.Cleanup(release) // also after a test that failed
	return release
}

// warm is a client that has been served, so that a copy stands.
func (h *hall) warm() *caller {
	k := h.dial()
	k.ask("warm")
	k.hear()
	return k
}

// A client that left must find no launch after that, though the worker's answer that asks for one is read first.
func TestNothingIsLaunchedForAClientThatLeft(t *testing.T) {
	t.Parallel()
	cancel := func(k *caller) []byte {
		return append([]byte{0, 0, 0, 5, 3}, binary.BigEndian.AppendUint32(nil, k.n)...)
	}
	leaves := map[string]func(k *caller){
		"cancel": func(k *caller) { k.c.Write(cancel(k)) },
		"close":  func(k *caller) { k.c.Close() },
		"reset":  func(k *caller) { k.c.(*net.TCPConn).SetLinger(0); k.c.Close() },
		"cancel behind much else": func(k *caller) {
			c := cancel(k)
			var much []byte
			for len(much) < 100_000 {
				much = append(much, k.request("no function", strings.Repeat("x", 10_000))...)
			}
			k.c.Write(append(much, c...))
		},
	}
	for name, leave := range leaves {
		for waits, command := range map[string]byte{"between launches": 48, "for a load": 52} {
			t.Run(name+" "+waits, func(t *testing.T) {
				t.Parallel()
				h := newHall(t, 256)
				k := h.warm()
				got, answer := make(chan struct{}, 1), make(chan struct{})
				reply := func(c byte) byte {
					if c != command {
						return 64
					}
					got <- struct{}{}
					<-answer
					return map[byte]byte{48: 68, 52: 64}[c] // an error, after which it is tried again; a copy that stands
				}
				h.reply.Store(&reply)
				before := h.ran.Load()
				if command == 48 {
					k.ask("again")
					before++
				} else {
					k.c.Write(k.request("00000000000000f2", "cold"))
				}
				<-got
				release := h.stall()
				close(answer)
				if c := <-h.wrote; c != command {
					t.Fatal("answered", c)
				}
				leave(k)
				release()
				time.Sleep(100 * time.Millisecond)
				if n := h.ran.Load() - before; n != 0 {
					t.Errorf("%d launches for a client that left", n)
				}
			})
		}
	}
}

// A worker's connection that ends under a launch, at whatever point: what may run again is launched anew and handled, what
// must not is launched once. A second answer some milliseconds after the first belongs to nobody.
func TestWorkerConnectionsThatEndUnderALaunch(t *testing.T) {
	t.Parallel()
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	read := func(c net.Conn) []byte {
		b := make([]byte, 64<<10)
		n, _ := c.Read(b)
		return b[:n]
	}
	for name, end := range map[string]func(c net.Conn){
		"reset behind the accept":  reset,
		"closed behind the accept": func(c net.Conn) { c.Close() },
		"reset over the launch":    func(c net.Conn) { time.Sleep(20 * time.Millisecond); reset(c) }, // it lies there unread
		"reset after reading it":   func(c net.Conn) { read(c); reset(c) },
		"closed in mid-answer":     func(c net.Conn) { read(c); c.Write([]byte{193, 64, 0}); c.Close() },
	} {
		for kind, tries := range map[string]int32{"call": 2, "once": 1} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				h := newHall(t, 256)
				k := h.warm()
				var met atomic.Int32
				meet := func(c net.Conn) bool {
					if met.Add(1) == 1 {
						end(c)
						return true
					}
					return false
				}
				h.meet.Store(&meet)
				h.silent.Store(true) // the connection that stands is kept busy, so that the next launch takes a new one
				k.ask("holds the first connection")
				for h.ran.Load() < 2 {
					time.Sleep(time.Millisecond)
				}
				h.silent.Store(false)
				k.c.Write(bytes.Replace(k.request("00000000000000f1", "again"), []byte("\x00\x04call"), []byte("\x00\x04"+kind), 1))
				got := k.hear()
				if strings.HasSuffix(name, "the accept") && strings.HasPrefix(got, `2/3 "\b`) && h.ran.Load() == 2 {
					return // it ended before the loop had it: never sent, and refused as that
				}
				if handled := strings.Contains(got, "again"); handled != (tries == 2) || h.ran.Load() > 1+tries {
					t.Errorf("%s; %d launches came whole, %d connections", got, h.ran.Load()-2, met.Load())
				}
				if kind == "once" && !strings.HasPrefix(got, `2/3 "\r`) {
					t.Error("not dead-lettered:", got)
				}
			})
		}
	}
}

// The mark by which workers know a keyed event's repeat reaches them unchanged; where there is none, none is made up.
func TestKeyReachesTheWorker(t *testing.T) {
	t.Parallel()
	for key, want := range map[string]string{"k-81f3:7": ",uniq=k-81f3:7", "": ""} {
		h := newHall(t, 256)
		got := make(chan string, 1)
		meet := func(c net.Conn) bool {
			for {
				head := make([]byte, 16)
				if _, err := io.ReadFull(c, head); err != nil {
					return true
				}
				rest := make([]byte, int(binary.BigEndian.Uint16(head[2:]))+int(binary.BigEndian.Uint32(head[4:]))+4)
				io.ReadFull(c, rest)
				if head[1] == 48 {
					got <- string(rest[:binary.BigEndian.Uint16(head[2:])])
					return true
				}
				out := append([]byte{193, 64, 0, 10, 0, 0, 0, 0}, head[8:]...)
				out = append(out, "slots_up=1"...)
				c.Write(binary.BigEndian.AppendUint32(out, crc32.ChecksumIEEE(out[16:])))
			}
		}
		h.meet.Store(&meet)
		k := h.dial()
		frame := k.request("00000000000000f1", "")
		if key != "" {
			field := append(append([]byte{5}, "opkey"...), 0, byte(len(key)))
			frame = append(frame, append(field, key...)...)
			frame[3], frame[9] = byte(len(frame)-4), frame[9]+1
		}
		k.c.Write(frame)
		if fields := <-got; !strings.HasSuffix(fields, want) || strings.Contains(fields, "uniq") != (want != "") {
			t.Errorf("%q, want %q at the end", fields, want)
		}
	}
}

func TestSecondAnswerBelongsToNobody(t *testing.T) {
	t.Parallel()
	h := newHall(t, 256)
	meet := func(c net.Conn) bool {
		var last []byte
		for {
			head := make([]byte, 16)
			if _, err := io.ReadFull(c, head); err != nil {
				return true
			}
			rest := make([]byte, int(binary.BigEndian.Uint16(head[2:]))+int(binary.BigEndian.Uint32(head[4:]))+4)
			io.ReadFull(c, rest)
			body := rest[binary.BigEndian.Uint16(head[2:]) : len(rest)-4]
			out := append([]byte{193, 64, 0, 10}, binary.BigEndian.AppendUint32(nil, uint32(len(body)))...)
			out = append(append(append(out, head[8:]...), "slots_up=1"...), body...)
			out = binary.BigEndian.AppendUint32(out, crc32.ChecksumIEEE(out[16:]))
			c.Write(last) // again, while the next launch is out
			time.Sleep(2 * time.Millisecond)
			c.Write(out)
			last = out
		}
	}
	h.meet.Store(&meet)
	k := h.dial()
	for n := range 20 {
		body := fmt.Sprint("number ", n)
		k.ask(body)
		if got := k.hear(); !strings.HasSuffix(got, body+`"`) {
			t.Fatal(n, got)
		}
	}
}

// A request that lies unread when room is made for another connection is served; a truly idle connection goes.
func TestEvictionReadsWhatLiesUnread(t *testing.T) {
	t.Parallel()
	h := newHall(t, 64)
	k := h.warm()
	var others []*caller
	for range 23 { // 24 are held: 64 less 28 kept back, less a third of the rest for workers
		others = append(others, h.dial())
	}
	for n := 0; n < 24; {
		_, n, _, _ = h.front.Counts()
	}
	release := h.stall()
	one := h.dial()
	k.ask("crossing the eviction")
	release()
	if got := k.hear(); !strings.Contains(got, "crossing the eviction") {
		t.Error(got)
	}
	one.ask("for which room was made")
	if got := one.hear(); !strings.Contains(got, "for which room was made") {
		t.Error(got)
	}
	if got := others[0].hear(); got != "EOF" {
		t.Error("the longest idle ended by", got)
	}
}

// As a process under its limit of descriptors, with the journal service down from the start: hundreds of silent clients
// keep neither usual ones nor the watch out, nor does it end of them. Told to stop it ends in order.
func TestProcessUnderItsDescriptorLimit(t *testing.T) {
	t.Parallel()
	journal, front := listen(t), listen(t)
	h := &hall{t: t, worker: listen(t), wrote: make(chan byte, 64)}
	go h.work()
	journal.Close()
	front.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(document(front.Addr().String(), journal.Addr().String(), h.worker.Addr().String(), 96)), 0o600); err != nil {
		t.Fatal(err)
	}
	node := exec.Command("sh", "-c", "ulimit -n 96; exec streamcleat node")
	node.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	var said bytes.Buffer
	node.Stderr = &said
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- node.Wait() }()
	t.Cleanup(func() { node.Process.Kill() })
	for range 200 {
		if c, err := net.Dial("tcp", front.Addr().String()); err == nil {
			c.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	silent := func(n int) {
		for range n {
			if c, err := net.Dial("tcp", front.Addr().String()); err == nil {
				t.Cleanup(func() { c.Close() })
			}
		}
	}
	silent(200)
	k := call(t, front.Addr().String())
	k.ask("among silent ones")
	if got := k.hear(); !strings.Contains(got, "among silent ones") {
		t.Error(got)
	}
	again, err := net.Listen("tcp", journal.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	silent(100)
	asked := make(chan string, 1)
	go func() {
		if c, err := again.Accept(); err == nil {
			line, _ := bufio.NewReader(c).ReadString('\n')
			asked <- line
		}
	}()
	select {
	case line := <-asked:
		if line != "tail 1\n" {
			t.Errorf("%q", line)
		}
	case <-time.After(3 * time.Second):
		t.Error("the journal service is back and is not asked")
	}
	node.Process.Signal(syscall.SIGTERM)
	ends(t, done)
	if strings.Contains(said.String(), "too many open files") {
		t.Error(said.String())
	}
}

// stopping is a node that is told to stop.
func (h *hall) stopping(hup chan os.Signal, read func() (*platform.Document, error)) (done chan error) {
	stop := make(chan struct{})
	done = make(chan error, 1)
	close(stop)
	go func() { done <- h.node.run(stop, hup, read) }()
	return done
}

func ends(t *testing.T, done chan error) {
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
	h := newHall(t, 256)
	k := h.warm()
	ready := func() string {
		k.c.Write([]byte{0, 0, 0, 6, 4, 0, 0, 0, 0, 0})
		return k.hear()
	}
	if got := ready(); got != `5/0 "\x00\x00"` {
		t.Error("before the stop:", got)
	}
	half := h.dial()
	frame := half.request("00000000000000f1", "in two parts")
	half.c.Write(frame[:20])
	done := h.stopping(nil, nil)
	time.Sleep(100 * time.Millisecond)
	if got := ready(); got != `5/0 "\b\x00"` {
		t.Error("after it:", got)
	}
	time.Sleep(1000 * time.Millisecond) // past the window in which whole requests may come
	half.c.Write(frame[20:])
	if got := half.hear(); got != `6/0 ""` {
		t.Error(got)
	}
	if got := half.hear(); !strings.Contains(got, "in two parts") {
		t.Error("a request half sent at the signal:", got)
	}
	ends(t, done)
	if got := half.hear(); got != "EOF" {
		t.Error("closed by", got)
	}
}

// A launch that is out at the signal and fails is launched anew, and its answer leaves.
func TestStopWithARetryToCome(t *testing.T) {
	t.Parallel()
	h := newHall(t, 256)
	k := h.warm()
	got, answer := make(chan struct{}, 4), make(chan struct{}, 1)
	tries := 0
	reply := func(byte) byte {
		got <- struct{}{}
		<-answer
		if tries++; tries == 1 {
			return 68
		}
		return 64
	}
	h.reply.Store(&reply)
	k.ask("twice")
	<-got
	done := h.stopping(nil, nil)
	time.Sleep(1100 * time.Millisecond)
	answer <- struct{}{}
	<-got
	answer <- struct{}{}
	if got := k.hear(); got != `6/0 ""` {
		t.Error(got)
	}
	if got := k.hear(); !strings.Contains(got, "twice") {
		t.Error(got)
	}
	ends(t, done)
}

// A reload counts while the front end drains; a document of another front end, or one that is faulty, changes nothing.
func TestReloadWhileDraining(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(*platform.Document)
		err    error
		moves  bool
	}{
		"another journal":         {func(m *platform.Document) {}, nil, true},
		"of another front end":    {func(m *platform.Document) { m.Name = "n1" }, nil, false},
		"for another address":     {func(m *platform.Document) { m.Listen = "127.0.0.1:1" }, nil, false},
		"a document with a fault": {func(m *platform.Document) {}, os.ErrInvalid, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHall(t, 256)
			next := listen(t)
			asked := make(chan struct{}, 1)
			go func() {
				conn, err := next.Accept()
				if err != nil {
					return
				}
				asked <- struct{}{}
				conn.Write([]byte(`{"pos":2,"hosts":{"seq":2,"whole":false,"hosts":[{"host":"a","dial":"` + h.worker.Addr().String() +
					`","health":"leaving"}]}}` + "\n"))
			}()
			hup := make(chan os.Signal, 1)
			done := h.stopping(hup, func() (*platform.Document, error) {
				m := *h.machine
				m.DiscoveryAddress = next.Addr().String()
				c.change(&m)
				return &m, c.err
			})
			k := h.warm()
			hup <- os.Interrupt
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
			before := h.ran.Load()
			k.ask("after the move")
			if got := k.hear(); strings.HasPrefix(got, `2/2 "\x00`) == c.moves || (h.ran.Load() > before) == c.moves {
				t.Error("drain told to a draining front end:", got, h.ran.Load()-before)
			}
			ends(t, done)
		})
	}
}

// Much that a worker answers and a client reads late has left before the end, and the end is no reset.
func TestStopFlushesToASlowReader(t *testing.T) {
	t.Parallel()
	h := newHall(t, 256)
	k := h.dial()
	body := bytes.Repeat([]byte("0123456789abcdef"), 1000)
	for range 8 {
		k.ask(string(body))
	}
	for h.ran.Load() < 8 {
		time.Sleep(5 * time.Millisecond)
	}
	done := h.stopping(nil, nil)
	time.Sleep(1200 * time.Millisecond)
	k.c.Write([]byte{0, 0, 0, 6, 4, 0, 0, 0, 0, 0}) // lies unread at the front end or is dropped: no answer must be lost by it
	time.Sleep(100 * time.Millisecond)
	whole := 0
	for {
		got := k.hear()
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
		t.Errorf("%d of 8 answers came whole", whole)
	}
	ends(t, done)
}
