package eventloop

import (
	"log/slog"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/syscalls"
)

// countingHandler counts its events.
type countingHandler struct{ events int }

func (h *countingHandler) onEvents(uint32) { h.events++ }

// Guards against socket events that keep the loop from its timers: those left at the end of the budget are returned.
func TestDispatch_EndsWithItsBudget(t *testing.T) {
	handlers := []*countingHandler{{}, {}, {}}
	p := &poller{registrations: map[uint64]*registration{}}
	events := make([]unix.EpollEvent, len(handlers))
	for i, handler := range handlers {
		p.registrations[uint64(i+1)] = &registration{handler: handler}
		events[i].Fd = int32(i + 1)
	}
	for remaining := events; len(remaining) > 0; {
		next := p.dispatch(remaining, time.Now().Add(-time.Second))
		if len(next) != len(remaining)-1 {
			t.Fatalf("%d of %d events remain", len(next), len(remaining))
		}
		remaining = next
	}
	for i, handler := range handlers {
		if handler.events != 1 {
			t.Errorf("handler %d got %d events", i, handler.events)
		}
	}
}

// Guards against a deadline that is too late because a part of the input was left unread, and against one that is too early because
// nothing was.
func TestInputBacklog_AgeOfInput(t *testing.T) {
	start := time.Now()
	const full, partial = true, false
	type read struct {
		poll uint64
		full bool
	}
	for name, c := range map[string]struct {
		reads []read // a second apart; the last one is about to be made
		want  time.Duration
	}{
		"all was read":                    {[]read{{1, partial}, {2, partial}}, 0},
		"some was left":                   {[]read{{1, full}, {2, partial}}, time.Second},
		"some was left twice":             {[]read{{1, full}, {2, full}, {3, full}}, 2 * time.Second},
		"left, then all read":             {[]read{{1, full}, {2, partial}, {3, partial}}, 0},
		"not reported by the next poll":   {[]read{{1, full}, {3, partial}}, 0},
		"reported by an incomplete poll":  {[]read{{1, full}, {1, full}, {2, partial}}, 2 * time.Second},
		"left again after it was drained": {[]read{{1, full}, {5, full}, {6, partial}}, time.Second},
	} {
		var b inputBacklog
		at := start
		for i, r := range c.reads {
			b.beforeRead(r.poll)
			if i < len(c.reads)-1 {
				b.afterRead(r.poll, at, r.full)
				at = at.Add(time.Second)
			}
		}
		got := time.Duration(0)
		if !b.since.IsZero() {
			got = at.Sub(b.since)
		}
		if got != c.want {
			t.Errorf("%s: age %v, want %v", name, got, c.want)
		}
	}
}

// Guards against connections that count as having waited for as long as there was any backlog, and against ones that count as new.
func TestAcceptBacklog_BoundsWaits(t *testing.T) {
	first := time.Now()
	queue := func(length int, err error) func() (int, error) { return func() (int, error) { return length, err } }
	for name, c := range map[string]struct {
		lengths  []func() (int, error) // of the queue, at the end of successive iterations
		accepted int                   // after that
		renewed  bool                  // the bound is later than the first iteration
	}{
		"no connection waits any more":   {[]func() (int, error){queue(2, nil)}, 2, true},
		"one still waits":                {[]func() (int, error){queue(2, nil)}, 1, false},
		"more came later":                {[]func() (int, error){queue(2, nil), queue(9, nil)}, 2, true},
		"the length is not known":        {[]func() (int, error){queue(0, unix.ENOPROTOOPT)}, 5, false},
		"nothing was accepted meanwhile": {[]func() (int, error){queue(2, nil), queue(2, nil)}, 0, false},
	} {
		var b acceptBacklog
		if !b.onAccepted().IsZero() {
			t.Errorf("%s: a connection has waited before there was a backlog", name)
		}
		for _, length := range c.lengths {
			b.onLeft(first, length)
		}
		for range c.accepted {
			if since := b.onAccepted(); !since.Equal(first) {
				t.Errorf("%s: a connection that waited counts as established at %v", name, since)
			}
		}
		if since := b.onAccepted(); since.IsZero() || since.After(first) != c.renewed {
			t.Errorf("%s: the next connection counts as established %v after the first", name, since.Sub(first))
		}
	}
}

// interruptedKernel is a kernel whose waits fail as interrupted until the last one, which stops the loop.
type interruptedKernel struct {
	syscalls.Kernel
	waits int
	last  func()
}

func (k *interruptedKernel) EpollWait(int, []unix.EpollEvent, int) (int, error) {
	if k.waits--; k.waits > 0 {
		return -1, unix.EINTR
	}
	k.last()
	return 0, nil
}

// Guards against input that was left unread and counts as new because an interrupted wait did not report it.
func TestRun_InterruptedWaitIsNoCompletePoll(t *testing.T) {
	kernel := &interruptedKernel{Kernel: syscalls.Linux{}, waits: 3}
	r, err := newReactor(kernel, slog.New(slog.DiscardHandler), &counters{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.poller.close)
	r.timers.onTick, r.timers.onSweep = func() {}, func() {}
	kernel.last = r.stop
	if err := r.run(); err != nil || r.completePolls != 1 {
		t.Errorf("%d complete polls after two interrupted waits and one that was not, %v", r.completePolls, err)
	}
}
