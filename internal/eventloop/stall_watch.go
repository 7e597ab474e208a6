package eventloop

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// stallInterval is the interval at which the iteration in progress is checked, and the duration above which it is logged.
const stallInterval = time.Second

// stallWatch logs iterations of the event loop that are still in progress after stallInterval. An iteration that never ends would not be
// logged otherwise.
type stallWatch struct {
	log       *slog.Logger
	startedAt atomic.Int64 // start of the iteration in progress, in nanoseconds since processStart; 0 between iterations
}

// begin records the start of an iteration. It is called on the event loop.
func (w *stallWatch) begin(at time.Time) { w.startedAt.Store(int64(at.Sub(processStart))) }

// end records the end of an iteration. It is called on the event loop.
func (w *stallWatch) end() { w.startedAt.Store(0) }

// run checks the iteration in progress until ended is closed.
func (w *stallWatch) run(ended <-chan struct{}) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			w.check(time.Now())
		}
	}
}

// check logs the iteration in progress if it has lasted too long.
func (w *stallWatch) check(now time.Time) {
	startedAt := w.startedAt.Load()
	if startedAt == 0 {
		return
	}
	if took := now.Sub(processStart.Add(time.Duration(startedAt))); took > stallInterval {
		w.log.Warn("event loop iteration in progress", "seconds", took.Seconds())
	}
}
