package eventloop

import (
	"slices"
	"sync"
	"time"
)

// taskQueue holds functions that other goroutines post to the event loop. Its methods may be called from any goroutine.
type taskQueue struct {
	wakeLoop func() // interrupts the loop's wait for events

	mu     sync.Mutex
	tasks  []func()
	awake  bool // no wake-up is needed: one is pending, or the loop checks the queue before it waits
	closed bool
}

// post appends f to the queue. It returns ErrLoopEnded if the queue is closed.
func (q *taskQueue) post(f func()) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrLoopEnded
	}
	q.tasks = append(q.tasks, f)
	if !q.awake {
		q.awake = true
		q.wakeLoop()
	}
	return nil
}

// prepareWait is called before a wait and reports whether tasks are queued. If none are, the next post wakes the loop.
func (q *taskQueue) prepareWait() (pending bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.awake = len(q.tasks) > 0
	return q.awake
}

// endWait suppresses wake-ups until the next prepareWait, since the loop checks the queue before it waits again.
func (q *taskQueue) endWait() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.awake = true
}

// run runs the tasks that are queued when it is called, at least one of them, until the given time, and returns their number. Tasks
// that they post stay queued.
func (q *taskQueue) run(until time.Time) int {
	q.mu.Lock()
	tasks := q.tasks
	q.tasks = nil
	q.mu.Unlock()
	for i, f := range tasks {
		if i > 0 && time.Now().After(until) {
			q.putBack(tasks[i:])
			return i
		}
		f()
	}
	return len(tasks)
}

// putBack queues tasks before those that were posted in the meantime.
func (q *taskQueue) putBack(tasks []func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.tasks = append(slices.Clone(tasks), q.tasks...)
	}
}

// close discards the queued tasks and rejects further ones.
func (q *taskQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed, q.tasks = true, nil
}
