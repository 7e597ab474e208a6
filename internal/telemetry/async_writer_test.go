package telemetry

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(data)
}

func TestAsyncWriter_DropsInsteadOfBlocking(t *testing.T) {
	blocked := &blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(blocked, 2)
	for range 10 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	start := time.Now()
	w.Close(20 * time.Millisecond)
	if took := time.Since(start); took > time.Second {
		t.Errorf("Close with a blocked writer took %v", took)
	}
	close(blocked.release)
	w.Close(time.Second)
	got := blocked.String()
	if lines := strings.Count(got, "line\n"); lines < 2 || lines > 3 || !strings.Contains(got, "dropped") {
		t.Errorf("%q", got)
	}
	if _, err := w.Write([]byte("late")); err != nil {
		t.Error(err)
	}
}

// failingWriter returns an error from every write.
type failingWriter struct{ calls int }

func (w *failingWriter) Write([]byte) (int, error) {
	w.calls++
	return 0, errors.New("broken pipe")
}

func TestAsyncWriter_ContinuesAfterWriteErrors(t *testing.T) {
	failing := &failingWriter{}
	w := NewAsyncWriter(failing, 8)
	for range 3 {
		_, _ = w.Write([]byte("line")) // never returns an error
	}
	w.Close(time.Second)
	if failing.calls != 3 {
		t.Errorf("%d writes attempted, want 3", failing.calls)
	}
}
