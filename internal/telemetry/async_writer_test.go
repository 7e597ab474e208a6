package telemetry

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

// blockedWriter holds each write until it is let go.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(data)
}

func TestAsyncWriterNeverWaits(t *testing.T) {
	blocked := &blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(blocked, 2)
	for range 10 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	began := time.Now()
	w.Close(20 * time.Millisecond)
	if took := time.Since(began); took > time.Second {
		t.Errorf("a close with a stalled reader took %v", took)
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

type failingWriter struct{ calls int }

func (w *failingWriter) Write([]byte) (int, error) {
	w.calls++
	return 0, errors.New("broken pipe")
}

func TestAsyncWriterGoesOnAfterErrors(t *testing.T) {
	failing := &failingWriter{}
	w := NewAsyncWriter(failing, 8)
	for range 3 {
		_, _ = w.Write([]byte("line")) // it never fails
	}
	w.Close(time.Second)
	if failing.calls != 3 {
		t.Errorf("%d writes were tried", failing.calls)
	}
}
