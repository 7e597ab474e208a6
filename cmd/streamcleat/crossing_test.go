package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
