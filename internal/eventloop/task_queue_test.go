package eventloop

import (
	"errors"
	"slices"
	"testing"
	"time"
)

func TestTaskQueuePost_WakesLoopOncePerWait(t *testing.T) {
	wakeUps := 0
	queue := taskQueue{wakeLoop: func() { wakeUps++ }}
	post := func() {
		t.Helper()
		if err := queue.post(func() {}); err != nil {
			t.Fatal(err)
		}
	}
	if queue.prepareWait() {
		t.Error("empty queue has pending tasks")
	}
	post()
	post()
	if wakeUps != 1 {
		t.Errorf("%d wake-ups for two tasks posted during one wait, want 1", wakeUps)
	}
	queue.endWait()
	if n := queue.run(time.Now().Add(time.Hour)); n != 2 {
		t.Errorf("%d tasks run, want 2", n)
	}
	post()
	if wakeUps != 1 || !queue.prepareWait() {
		t.Errorf("%d wake-ups, want 1; a task posted during an iteration must be pending", wakeUps)
	}
}

func TestTaskQueueClose_DropsAndRejectsTasks(t *testing.T) {
	queue := taskQueue{wakeLoop: func() {}}
	if err := queue.post(func() { t.Error("dropped task was run") }); err != nil {
		t.Fatal(err)
	}
	queue.close()
	if err := queue.post(func() {}); !errors.Is(err, ErrLoopEnded) || queue.run(time.Now().Add(time.Hour)) != 0 {
		t.Errorf("post after close: %v, want ErrLoopEnded and no task run", err)
	}
}

// Guards against tasks that keep the loop from its sockets: those left at the end of the budget run next time, in order.
func TestTaskQueueRun_EndsWithItsBudget(t *testing.T) {
	queue := taskQueue{wakeLoop: func() {}}
	var order []int
	for i := range 3 {
		if err := queue.post(func() { order = append(order, i) }); err != nil {
			t.Fatal(err)
		}
	}
	passed := time.Now().Add(-time.Second)
	for range 3 {
		if n := queue.run(passed); n != 1 {
			t.Errorf("%d tasks run after the end of the budget, want 1", n)
		}
	}
	if !slices.Equal(order, []int{0, 1, 2}) || queue.prepareWait() {
		t.Errorf("tasks ran in the order %v", order)
	}
}
