package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter writes to another writer on a goroutine of its own, so that nobody who logs waits for whoever reads the log.
// What does not fit into its queue is dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	writer  io.Writer
	queue   chan []byte
	dropped atomic.Uint64 // since the last notice of it
	done    chan struct{}

	mu     sync.RWMutex // held for reading by Write, so that nothing is queued behind the end
	closed bool
}

// NewAsyncWriter starts a writer whose queue holds so many writes. Close ends it.
func NewAsyncWriter(writer io.Writer, queued int) *AsyncWriter {
	w := &AsyncWriter{writer: writer, queue: make(chan []byte, queued), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of data. It never blocks and never fails.
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

// run writes until Close. Errors are ignored: there is no other place to report them, and a reader may come back.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for data := range w.queue {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.writer, "%d log records were dropped: nobody read them in time\n", dropped)
		}
		_, _ = w.writer.Write(data)
	}
}

// Close writes what is queued, for as long as timeout at most.
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
