package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter writes to another writer on its own goroutine, so that a slow reader of the log never blocks the process.
// Writes that do not fit into its queue are dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	writer  io.Writer
	queue   chan []byte
	dropped atomic.Uint64 // writes dropped since the last message about them
	done    chan struct{}

	mu     sync.RWMutex // read-locked by Write, so that queue is not closed during a send
	closed bool
}

// NewAsyncWriter returns a writer whose queue holds up to capacity writes. The caller must close it.
func NewAsyncWriter(writer io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{writer: writer, queue: make(chan []byte, capacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of data. It never blocks and never returns an error. After Close it discards data.
func (w *AsyncWriter) Write(data []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(data), nil
	}
	select {
	case w.queue <- append([]byte(nil), data...):
	default:
		w.dropped.Add(1)
	}
	return len(data), nil
}

// run writes queued data until Close. Errors are ignored, because there is nowhere to report them and later writes may
// succeed.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for data := range w.queue {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.writer, "%d log records dropped: log output blocked\n", dropped)
		}
		_, _ = w.writer.Write(data)
	}
}

// Close stops accepting data and waits until the queued data is written or the timeout expires. It may be called again to
// continue waiting.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
