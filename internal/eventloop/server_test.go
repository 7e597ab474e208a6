package eventloop_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"streamcleat/internal/eventloop"
	"streamcleat/internal/schedule"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

// Duplicates of a request get the response of its only attempt, both while the request is open and after it has ended.
func TestServer_DuplicateRequestsGetOneResponse(t *testing.T) {
	for _, class := range []string{"idempotent", "keyed", "at-most-once"} {
		t.Run(class, func(t *testing.T) {
			f := newFixture(t, 3, "")
			var clients sync.WaitGroup
			results := make([]schedule.Result, 3)
			for i, delay := range []time.Duration{0, 0, 700 * time.Millisecond} {
				clients.Go(func() {
					time.Sleep(delay)
					results[i] = f.request(class, "duplicate")
				})
			}
			clients.Wait()
			replays := 0
			for _, result := range results {
				if result.Status != 200 {
					t.Errorf("%+v", result)
				}
				if result.Replayed {
					replays++
				}
			}
			if n := f.count(invariants.AttemptStarted, "duplicate"); n != 1 || replays != 2 {
				t.Errorf("%d attempts, %d replays, want 1 and 2", n, replays)
			}
		})
	}
}

func TestServer_RespondsByDeadlineIfWorkersHang(t *testing.T) {
	f := newFixture(t, 2, `"answer_margin_s":0.1`)
	f.warmUp()
	f.inject(fakes.Fault{Kind: "hang"})
	for class, want := range map[string]int{"idempotent": 503, "keyed": 503, "at-most-once": 504} {
		result := f.request(class, class)
		if result.Status != want || result.Latency < 900*time.Millisecond || result.Latency > 1190*time.Millisecond {
			t.Errorf("%s: status %d after %v", class, result.Status, result.Latency)
		}
		if n := f.count(invariants.AttemptStarted, class); n != 1 {
			t.Errorf("%s: %d attempts", class, n)
		}
	}
	f.waitIdle()
}

func TestServer_RetriesLostConnectionsByIdempotency(t *testing.T) {
	for _, c := range []struct {
		fault      fakes.Fault
		class      string
		status     int
		executions int
	}{
		{fakes.Fault{Kind: "cut", Bytes: 40}, "idempotent", 200, 2}, // possibly executed; retried, since it is idempotent
		{fakes.Fault{Kind: "cut", Bytes: 40}, "keyed", 200, 1},      // the workers deduplicate the retry
		{fakes.Fault{Kind: "cut", Bytes: 40}, "at-most-once", 502, 1},
		{fakes.Fault{Kind: "reset"}, "idempotent", 200, 1},
		{fakes.Fault{Kind: "reset"}, "at-most-once", 502, 0}, // not executed, but the front end cannot know that
	} {
		t.Run(string(c.fault.Kind)+" "+c.class, func(t *testing.T) {
			f := newFixture(t, 2, "")
			f.warmUp()
			f.inject(c.fault) // lasts until it is replaced below
			done := make(chan schedule.Result)
			go func() { done <- f.request(c.class, "e") }()
			for f.count(invariants.AttemptEnded, "e") == 0 {
				time.Sleep(time.Millisecond)
			}
			expired := c.fault
			expired.Duration = 1e-9
			f.inject(expired)
			result := <-done
			rejected := c.status == 200 && result.Status == 503
			if result.Status != c.status && !rejected {
				t.Errorf("status %d, want %d", result.Status, c.status)
			}
			if n := f.count(invariants.Executed, "e"); c.class != "idempotent" && n > c.executions {
				t.Errorf("executed %d times, want at most %d", n, c.executions)
			}
		})
	}
}

// If the connection is refused, the request was not executed, so requests of every event type are retried on another worker.
func TestServer_RetriesAfterRefusedConnection(t *testing.T) {
	f := newFixture(t, 2, "")
	if result := f.request("at-most-once", "warm"); result.Status != 200 {
		t.Fatal(result)
	}
	var warm string
	for _, record := range f.recorder.Records() {
		if record.Kind == invariants.AttemptStarted {
			warm = record.Worker
		}
	}
	for _, worker := range f.workers {
		if worker.Name() == warm {
			worker.Crash()
		}
	}
	for _, class := range []string{"idempotent", "keyed", "at-most-once"} {
		// Gives the front end time to detect that its connection to the worker was closed.
		time.Sleep(20 * time.Millisecond)
		if result := f.request(class, class); result.Status != 200 || f.count(invariants.Executed, class) != 1 {
			t.Errorf("%s: status %d, executed %d times", class, result.Status, f.count(invariants.Executed, class))
		}
	}
}

func TestServer_DeduplicatesAfterClientDisconnect(t *testing.T) {
	f := newFixture(t, 2, "")
	f.request("idempotent", "warm")
	conn, _ := f.dial()
	f.send(conn, requestText("at-most-once", "e"))
	for f.count(invariants.Executed, "e") == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	if result := f.request("at-most-once", "e"); result.Status != 200 || f.count(invariants.Executed, "e") != 1 {
		t.Errorf("status %d, executed %d times", result.Status, f.count(invariants.Executed, "e"))
	}
}

// requestUntil starts clients that send requests of all event types until ctx ends. wait waits for them and returns the
// number of responses that were neither success nor rejection.
func (f *fixture) requestUntil(ctx context.Context, clients int) (wait func() (failed int64)) {
	var running sync.WaitGroup
	var failed atomic.Int64
	for i := range clients {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				result := f.request([]string{"idempotent", "keyed", "at-most-once"}[n%3], fmt.Sprintf("%d-%d", i, n))
				if result.Status != 200 && result.Status != 503 {
					failed.Add(1)
				}
			}
		})
	}
	return func() int64 {
		running.Wait()
		return failed.Load()
	}
}

func TestServer_DrainDuringAttemptsAndLoads(t *testing.T) {
	f := newFixture(t, 3, "")
	ctx, stop := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer stop()
	wait := f.requestUntil(ctx, 6)
	for _, worker := range f.workers[:2] {
		time.Sleep(500 * time.Millisecond)
		if err := f.list.SetState(worker, "draining"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if err := f.workers[0].Restart(); err != nil { // a new process with the same name and address
		t.Fatal(err)
	}
	if err := f.list.SetState(f.workers[0], "serving"); err != nil {
		t.Fatal(err)
	}
	failed := wait()
	verdict := invariants.Check(invariants.Rules{DrainGrace: 0.5, ObservationDelay: 0.1}, f.recorder.Records())
	if verdict.SentAfterDrain > 0 || verdict.ConcurrentAttempts > 0 || failed > 0 || verdict.Attempts < 50 {
		t.Errorf("%d responses were neither success nor rejection; %+v", failed, verdict)
	}
}

func TestEndpointList_InvalidKeepsLastValid(t *testing.T) {
	f := newFixture(t, 2, "")
	writeList := func(text string) {
		t.Helper()
		if err := os.WriteFile(f.path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, text := range []string{"[", `[{"targets":["x"]}]`} {
		writeList(text)
		if result := f.request("idempotent", text); result.Status != 200 {
			t.Errorf("with list %q: status %d", text, result.Status)
		}
	}
	writeList("[]")
	if result := f.request("idempotent", "none"); result.Status != 503 || result.Latency > 300*time.Millisecond {
		t.Errorf("with an empty list: status %d after %v", result.Status, result.Latency)
	}
}

// readStatuses returns the status codes of all responses until the connection closes.
func readStatuses(t *testing.T, in *bufio.Reader) string {
	t.Helper()
	var statuses []string
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			return strings.Join(statuses, " ")
		}
		if strings.HasPrefix(line, "HTTP/") {
			statuses = append(statuses, strings.Fields(line)[1])
		}
	}
}

func TestServer_MalformedAndSlowClients(t *testing.T) {
	f := newFixture(t, 1, `"arrival_s":0.3,"idle_s":0.4`)
	conn, in := f.dial()
	f.send(conn, requestText("idempotent", "a")+"POST / HTTP/1.1\r\nHost: f\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n")
	if got := readStatuses(t, in); got != "200 400" {
		t.Errorf("responses %s", got)
	}
	conn, in = f.dial()
	f.send(conn, "POST / HTTP/1.1\r\nHo")
	if line, err := in.ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 408") {
		t.Error(line, err)
	}
	_, in = f.dial()
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v, want EOF", err)
	}
}

func TestServer_DisconnectsClientThatNeverReads(t *testing.T) {
	f := newFixture(t, 1, `"unread_bytes":4096,"pipeline":10000`)
	conn, _ := f.dial()
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("client connection is a %T", conn)
	}
	if err := tcpConn.SetReadBuffer(2048); err != nil {
		t.Fatal(err)
	}
	text := strings.Repeat("GET /none HTTP/1.1\r\nHost: f\r\n\r\n", 2000)
	for range 100 {
		if _, err := io.WriteString(conn, text); err != nil {
			break
		}
	}
	for range 100 {
		if _, clients, _, err := f.server.Counts(); err == nil && clients == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("client that never reads was not disconnected within 2 s")
}

func TestStop_RespondsToOpenRequests(t *testing.T) {
	f := newFixture(t, 1, "")
	f.request("idempotent", "warm")
	f.inject(fakes.Fault{Kind: "hang"})
	results := make(chan schedule.Result, 2)
	for _, class := range []string{"idempotent", "at-most-once"} {
		go func() { results <- f.request(class, class) }()
	}
	for f.count(invariants.AttemptStarted, "idempotent")+f.count(invariants.AttemptStarted, "at-most-once") < 2 {
		time.Sleep(time.Millisecond)
	}
	if err := f.server.Stop(100 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if result := <-results; result.Status != map[string]int{"idempotent": 503, "at-most-once": 502}[result.ID] {
			t.Errorf("%s: status %d, %v", result.ID, result.Status, result.Err)
		}
	}
	if _, err := net.DialTimeout("tcp", f.server.Addr(), time.Second); err == nil {
		t.Error("front end accepts connections after Stop")
	}
}

func TestStart_AddressInUse(t *testing.T) {
	f := newFixture(t, 1, "")
	_, err := eventloop.Start(eventloop.Settings{Listen: f.server.Addr()})
	if err == nil || !strings.Contains(err.Error(), f.server.Addr()) {
		t.Error(err)
	}
}
