package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	stallCheckInterval = 5 * time.Millisecond
	// minLoggedStall is the shortest stall of the test process that is logged. Clients, front ends and workers share the
	// process, so a stall delays all of them.
	minLoggedStall = 30 * time.Millisecond
)

// traceLog keeps the log of a run, because a failure may not be reproducible.
type traceLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *traceLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// logStalls logs stalls of the test process until the returned function is called.
func (l *traceLog) logStalls() (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	startedAt := time.Now()
	go func() {
		defer close(stopped)
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-done:
				return
			case <-time.After(stallCheckInterval):
			}
			if stall := time.Since(last) - stallCheckInterval; stall > minLoggedStall {
				_, _ = fmt.Fprintf(l, "test process stalled for %v until %.3f s after the start\n", stall, time.Since(startedAt).Seconds())
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

// print logs the records of the requests that the violations or failures name, and the log of the run.
func (l *traceLog) print(t *testing.T, report *Report, records []invariants.Record) {
	t.Helper()
	violations := strings.Join(append(report.Violations, report.Failures...), "\n")
	for i := range records {
		if id := records[i].RequestID; id != "" && strings.Contains(violations, id) {
			line, err := json.Marshal(records[i])
			t.Log(string(line), err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Log(l.text.String())
}
