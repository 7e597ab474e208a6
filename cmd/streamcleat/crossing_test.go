package main

import (
	"bufio"
	"bytes"
	"fmt"
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

// stallLoop holds the event loop until the function it returns is called: what comes meanwhile is found in one turn.
func (f *nodeFixture) stallLoop() (release func()) {
	f.t.Helper()
	stalled, released := make(chan struct{}), make(chan struct{})
	err := f.server.Post(func(*proxy.Proxy) {
		close(stalled)
		<-released
	})
	if err != nil {
		f.t.Fatal(err)
	}
	<-stalled
	release = sync.OnceFunc(func() { close(released) })
	f.t.Cleanup(release) // also after a test that failed
	return release
}

// resetConnection closes a connection with a reset.
func resetConnection(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	closeConnection(t, conn)
}

func closeConnection(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// A client that left must find no attempt after that, though the worker's reply that asks for one is read first.
func TestNothingIsLaunchedForAClientThatLeft(t *testing.T) {
	t.Parallel()
	leaves := map[string]func(t *testing.T, client *nodeClient){
		"cancel": func(_ *testing.T, client *nodeClient) { client.sendBytes(client.cancellation()) },
		"close":  func(t *testing.T, client *nodeClient) { closeConnection(t, client.conn) },
		"reset":  func(t *testing.T, client *nodeClient) { resetConnection(t, client.conn) },
		"cancel behind much else": func(_ *testing.T, client *nodeClient) {
			cancellation := client.cancellation()
			var much []byte
			for len(much) < 100_000 {
				much = append(much, client.request("no function", strings.Repeat("x", 10_000))...)
			}
			client.sendBytes(append(much, cancellation...))
		},
	}
	for name, leave := range leaves {
		for waits, command := range map[string]byte{"between launches": commandAttempt, "for a load": commandLoad} {
			t.Run(name+" "+waits, func(t *testing.T) {
				t.Parallel()
				testClientThatLeaves(t, command, leave)
			})
		}
	}
}

// testClientThatLeaves has a client leave while the reply to a command, after which an attempt would follow, lies unread.
func testClientThatLeaves(t *testing.T, command byte, leave func(t *testing.T, client *nodeClient)) {
	f := newNodeFixture(t, 256)
	client := f.dialWarm()
	got, proceed := make(chan struct{}, 1), make(chan struct{})
	replyCode := func(c byte) byte {
		if c != command {
			return replySucceeded
		}
		got <- struct{}{}
		<-proceed
		if c == commandAttempt {
			return replyFailed // after which it is tried again
		}
		return replySucceeded // a replica that is loaded
	}
	f.replyCode.Store(&replyCode)
	before := f.attempts.Load()
	if command == commandAttempt {
		client.send("again")
		before++
	} else {
		client.sendBytes(client.request("00000000000000f2", "cold"))
	}
	<-got
	release := f.stallLoop()
	close(proceed)
	if c := <-f.replied; c != command {
		t.Fatal("replied to", c)
	}
	leave(t, client)
	release()
	time.Sleep(100 * time.Millisecond)
	if n := f.attempts.Load() - before; n != 0 {
		t.Errorf("%d attempts for a client that left", n)
	}
}

// readSome reads what a connection has, or its end.
func readSome(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 64<<10)) // what was read does not matter
}

// A worker's connection that ends under an attempt, at whatever point: what may run again is retried and succeeds, what
// must not is sent once.
func TestWorkerConnectionsThatEndUnderALaunch(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(t *testing.T, conn net.Conn){
		"reset behind the accept":  resetConnection,
		"closed behind the accept": closeConnection,
		"reset over the launch": func(t *testing.T, conn net.Conn) { // it lies there unread
			time.Sleep(20 * time.Millisecond)
			resetConnection(t, conn)
		},
		"reset after reading it": func(t *testing.T, conn net.Conn) {
			readSome(conn)
			resetConnection(t, conn)
		},
		"closed in mid-answer": func(t *testing.T, conn net.Conn) {
			readSome(conn)
			if _, err := conn.Write([]byte{workerReplyMark, replySucceeded, 0}); err != nil {
				t.Error(err)
			}
			closeConnection(t, conn)
		},
	} {
		for class, tries := range map[string]int32{"call": 2, "once": 1} {
			t.Run(name+" "+class, func(t *testing.T) {
				t.Parallel()
				neverSent := strings.HasSuffix(name, "the accept") // possibly: it may end before the loop has it
				testConnectionThatEnds(t, class, tries, neverSent, end)
			})
		}
	}
}

// testConnectionThatEnds ends the connection of an attempt of a class that may be tried so often.
func testConnectionThatEnds(t *testing.T, class string, tries int32, neverSent bool, end func(t *testing.T, conn net.Conn)) {
	f := newNodeFixture(t, 256)
	client := f.dialWarm()
	var connections atomic.Int32
	take := func(conn net.Conn) bool {
		if connections.Add(1) > 1 {
			return false
		}
		end(t, conn)
		return true
	}
	f.takeConnection.Store(&take)
	f.silent.Store(true) // the connection that stands is kept busy, so that the next attempt takes a new one
	client.send("holds the first connection")
	for f.attempts.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.silent.Store(false)
	client.sendBytes(bytes.Replace(client.request(warmFunction, "again"), []byte("\x00\x04call"), []byte("\x00\x04"+class), 1))
	got := client.receive()
	if neverSent && strings.HasPrefix(got, `2/3 "\b`) && f.attempts.Load() == 2 {
		return // it ended before the loop had it: never sent, and refused as that
	}
	if succeeded := strings.Contains(got, "again"); succeeded != (tries == 2) || f.attempts.Load() > 1+tries {
		t.Errorf("%s; %d attempts came whole, %d connections", got, f.attempts.Load()-2, connections.Load())
	}
	if class == "once" && !strings.HasPrefix(got, `2/3 "\r`) {
		t.Error("not failed:", got)
	}
}

// The mark by which workers know a keyed request's repeat reaches them unchanged; where there is none, none is made up.
func TestKeyReachesTheWorker(t *testing.T) {
	t.Parallel()
	for key, want := range map[string]string{"k-81f3:7": ",uniq=k-81f3:7", "": ""} {
		f := newNodeFixture(t, 256)
		attemptFields := make(chan string, 1)
		f.handleWorkerConnections(func(conn net.Conn) {
			for {
				frame, err := readWorkerFrame(conn)
				if err != nil {
					return
				}
				if frame.command() == commandAttempt {
					attemptFields <- string(frame.fields)
					return
				}
				_, _ = conn.Write(frame.reply(replySucceeded, replyOneReplica, nil, 0)) // the front end may have left
			}
		})
		client := f.dial()
		frame := client.request(warmFunction, "")
		if key != "" {
			field := append(append([]byte{5}, "opkey"...), 0, byte(len(key)))
			frame = append(frame, append(field, key...)...)
			frame[3], frame[9] = byte(len(frame)-4), frame[9]+1
		}
		client.sendBytes(frame)
		if fields := <-attemptFields; !strings.HasSuffix(fields, want) || strings.Contains(fields, "uniq") != (want != "") {
			t.Errorf("%q, want %q at the end", fields, want)
		}
	}
}

// A second reply some milliseconds after the first belongs to nobody.
func TestSecondAnswerBelongsToNobody(t *testing.T) {
	t.Parallel()
	f := newNodeFixture(t, 256)
	f.handleWorkerConnections(func(conn net.Conn) {
		var last []byte
		for {
			frame, err := readWorkerFrame(conn)
			if err != nil {
				return
			}
			reply := frame.reply(replySucceeded, replyOneReplica, frame.body, 0)
			_, _ = conn.Write(last) // again, while the next attempt is out; the front end may have left
			time.Sleep(2 * time.Millisecond)
			_, _ = conn.Write(reply)
			last = reply
		}
	})
	client := f.dial()
	for n := range 20 {
		body := fmt.Sprint("number ", n)
		client.send(body)
		if got := client.receive(); !strings.HasSuffix(got, body+`"`) {
			t.Fatal(n, got)
		}
	}
}

// A request that lies unread when room is made for another connection is served; a truly idle connection goes.
func TestEvictionReadsWhatLiesUnread(t *testing.T) {
	t.Parallel()
	f := newNodeFixture(t, 64)
	client := f.dialWarm()
	var others []*nodeClient
	for range 23 { // 24 are held: 64 less 28 kept back, less a third of the rest for workers
		others = append(others, f.dial())
	}
	for clients := 0; clients < 24; {
		var err error
		if _, clients, _, err = f.server.Counts(); err != nil {
			t.Fatal(err)
		}
	}
	release := f.stallLoop()
	newcomer := f.dial()
	client.send("crossing the eviction")
	release()
	if got := client.receive(); !strings.Contains(got, "crossing the eviction") {
		t.Error(got)
	}
	newcomer.send("for which room was made")
	if got := newcomer.receive(); !strings.Contains(got, "for which room was made") {
		t.Error(got)
	}
	if got := others[0].receive(); got != "EOF" {
		t.Error("the longest idle ended by", got)
	}
}

// freeAddresses are loopback addresses that nobody uses at the moment.
func freeAddresses(t *testing.T, n int) (addrs []string) {
	t.Helper()
	var listeners []net.Listener
	for range n {
		listener := listenOnLoopback(t)
		listeners = append(listeners, listener)
		addrs = append(addrs, listener.Addr().String())
	}
	for _, listener := range listeners {
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return addrs
}

// nodeProcess is a front end as a process of its own.
type nodeProcess struct {
	process *os.Process
	stderr  bytes.Buffer // to be read once it has ended
	done    chan error
}

// startNodeProcess runs a front end under a limit of descriptors and waits until it listens.
func startNodeProcess(t *testing.T, document, addr string, descriptors int) *nodeProcess {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec streamcleat node", descriptors))
	cmd.Env = append(os.Environ(), documentVariable+"="+path)
	node := &nodeProcess{done: make(chan error, 1)}
	cmd.Stderr = &node.stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	node.process = cmd.Process
	go func() { node.done <- cmd.Wait() }()
	t.Cleanup(func() { _ = node.process.Kill() }) // it has usually ended
	for range 200 {
		if conn, err := net.Dial("tcp", addr); err == nil {
			closeConnection(t, conn)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return node
}

// dialSilently opens connections on which nothing is sent, as many as come up.
func dialSilently(t *testing.T, addr string, n int) {
	t.Helper()
	for range n {
		if conn, err := net.Dial("tcp", addr); err == nil {
			closeAtEnd(t, conn)
		}
	}
}

// As a process under its limit of descriptors, with the journal service down from the start: hundreds of silent clients
// keep neither usual ones nor the watch out, nor does it end of them. Told to stop it ends in order.
func TestProcessUnderItsDescriptorLimit(t *testing.T) {
	t.Parallel()
	const descriptors = 96
	f := newWorkerFixture(t)
	addrs := freeAddresses(t, 2)
	journalAddr, nodeAddr := addrs[0], addrs[1]
	node := startNodeProcess(t, documentText(nodeAddr, journalAddr, f.worker.Addr().String(), descriptors), nodeAddr, descriptors)
	dialSilently(t, nodeAddr, 200)
	client := dialNode(t, nodeAddr)
	client.send("among silent ones")
	if got := client.receive(); !strings.Contains(got, "among silent ones") {
		t.Error(got)
	}
	journal, err := net.Listen("tcp", journalAddr)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, journal)
	dialSilently(t, nodeAddr, 100)
	asked := make(chan string, 1)
	go func() {
		if conn, err := journal.Accept(); err == nil {
			line, _ := bufio.NewReader(conn).ReadString('\n') // one that breaks off is compared as far as it came
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
	if err := node.process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	waitForExit(t, node.done)
	if said := node.stderr.String(); strings.Contains(said, "too many open files") {
		t.Error(said)
	}
}

// serveStopped runs a front end that is told to stop at once.
func (f *nodeFixture) serveStopped(reload chan os.Signal, read func() (*platform.Document, error)) (done chan error) {
	stop := make(chan struct{})
	done = make(chan error, 1)
	close(stop)
	go func() { done <- f.node.serve(stop, reload, read) }()
	return done
}

// waitForExit waits until a front end that was told to stop has ended.
func waitForExit(t *testing.T, done chan error) {
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
	f := newNodeFixture(t, 256)
	client := f.dialWarm()
	ready := func() string {
		client.sendBytes(readinessQuery())
		return client.receive()
	}
	if got := ready(); got != `5/0 "\x00\x00"` {
		t.Error("before the stop:", got)
	}
	half := f.dial()
	frame := half.request(warmFunction, "in two parts")
	half.sendBytes(frame[:20])
	done := f.serveStopped(nil, nil)
	time.Sleep(100 * time.Millisecond)
	if got := ready(); got != `5/0 "\b\x00"` {
		t.Error("after it:", got)
	}
	time.Sleep(1000 * time.Millisecond) // past the window in which whole requests may come
	half.sendBytes(frame[20:])
	if got := half.receive(); got != `6/0 ""` {
		t.Error(got)
	}
	if got := half.receive(); !strings.Contains(got, "in two parts") {
		t.Error("a request half sent at the signal:", got)
	}
	waitForExit(t, done)
	if got := half.receive(); got != "EOF" {
		t.Error("closed by", got)
	}
}

// An attempt that is out at the signal and fails is retried, and its response leaves.
func TestStopWithARetryToCome(t *testing.T) {
	t.Parallel()
	f := newNodeFixture(t, 256)
	client := f.dialWarm()
	got, proceed := make(chan struct{}, 4), make(chan struct{}, 1)
	tries := 0
	replyCode := func(byte) byte {
		got <- struct{}{}
		<-proceed
		if tries++; tries == 1 {
			return replyFailed
		}
		return replySucceeded
	}
	f.replyCode.Store(&replyCode)
	client.send("twice")
	<-got
	done := f.serveStopped(nil, nil)
	time.Sleep(1100 * time.Millisecond)
	proceed <- struct{}{}
	<-got
	proceed <- struct{}{}
	if got := client.receive(); got != `6/0 ""` {
		t.Error(got)
	}
	if got := client.receive(); !strings.Contains(got, "twice") {
		t.Error(got)
	}
	waitForExit(t, done)
}

// A reload counts while the front end drains; a document of another front end, or one that is faulty, changes nothing.
func TestReloadWhileDraining(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(*platform.Document)
		err    error
		moves  bool
	}{
		"another journal":         {func(*platform.Document) {}, nil, true},
		"of another front end":    {func(document *platform.Document) { document.Name = "n1" }, nil, false},
		"for another address":     {func(document *platform.Document) { document.Listen = "127.0.0.1:1" }, nil, false},
		"a document with a fault": {func(*platform.Document) {}, os.ErrInvalid, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newNodeFixture(t, 256)
			journal := listenOnLoopback(t)
			asked := make(chan struct{}, 1)
			go func() {
				conn, err := journal.Accept()
				if err != nil {
					return
				}
				asked <- struct{}{}
				_, _ = fmt.Fprintln(conn, drainingWorkerLine(f.worker.Addr().String())) // the test sees whether it acts
			}()
			reload := make(chan os.Signal, 1)
			done := f.serveStopped(reload, func() (*platform.Document, error) {
				document := *f.document
				document.DiscoveryAddress = journal.Addr().String()
				c.change(&document)
				return &document, c.err
			})
			client := f.dialWarm()
			reload <- os.Interrupt
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
			before := f.attempts.Load()
			client.send("after the move")
			if got := client.receive(); strings.HasPrefix(got, `2/2 "\x00`) == c.moves || (f.attempts.Load() > before) == c.moves {
				t.Error("drain told to a draining front end:", got, f.attempts.Load()-before)
			}
			waitForExit(t, done)
		})
	}
}

// Much that a worker replies and a client reads late has left before the end, and the end is no reset.
func TestStopFlushesToASlowReader(t *testing.T) {
	t.Parallel()
	f := newNodeFixture(t, 256)
	client := f.dial()
	body := bytes.Repeat([]byte("0123456789abcdef"), 1000)
	for range 8 {
		client.send(string(body))
	}
	for f.attempts.Load() < 8 {
		time.Sleep(5 * time.Millisecond)
	}
	done := f.serveStopped(nil, nil)
	time.Sleep(1200 * time.Millisecond)
	client.sendBytes(readinessQuery()) // lies unread at the front end or is dropped: no response must be lost by it
	time.Sleep(100 * time.Millisecond)
	whole := 0
	for {
		got := client.receive()
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
		t.Errorf("%d of 8 responses came whole", whole)
	}
	waitForExit(t, done)
}
