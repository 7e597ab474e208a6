package appliance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestOrderedStop(t *testing.T) {
	var l Lifecycle
	var acts []Action
	for _, h := range []LifecycleEvent{StoreOpened, StateRecovered, StopRequested, StopRequested, RequestsDrained, DrainTimeout, RequestsTerminated, StoreClosed, ImmediateStopRequested} {
		acts = append(acts, l.Handle(h, "because")...)
	}
	want := []Action{Recover, StartSchedules, SuspendSchedules, StopListening, StartDrainTimer, TerminateRequests, CloseStore, CloseSocket, Exit}
	if !slices.Equal(acts, want) || l.State != Stopped || l.Reason != "because" {
		t.Errorf("%v in %s", acts, l.State)
	}
}

func TestStopDuringRecoveryWaitsForIt(t *testing.T) {
	var l Lifecycle
	l.Handle(StoreOpened, "")
	if acts := l.Handle(StopRequested, "early"); len(acts) != 0 || l.State != Recovering {
		t.Fatal(acts, l.State)
	}
	if acts := l.Handle(StateRecovered, ""); !slices.Equal(acts, []Action{StartSchedules, SuspendSchedules, StopListening, StartDrainTimer}) || l.State != Draining {
		t.Error(acts, l.State)
	}
}

// Whatever happens in whatever order: nothing skips the answers, and what ends in Stopped did so once.
func TestNothingSkipsTheAnswers(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var l Lifecycle
		done := map[Action]int{}
		taken := false
		for range 60 {
			before := l.State
			h := LifecycleEvent(rng.IntN(int(Failed) + 1))
			if h == RequestsTerminated && done[TerminateRequests] == 0 || h == StoreClosed && done[CloseStore] == 0 {
				continue // these only follow what was asked for
			}
			for _, a := range l.Handle(h, "r") {
				done[a]++
				if a == Recover {
					taken = true
				}
				if a == Exit && taken && (done[TerminateRequests] == 0 || done[CloseStore] == 0) {
					t.Fatalf("seed %d: left without answers", seed)
				}
				if a == CloseStore && done[TerminateRequests] == 0 {
					t.Fatalf("seed %d: state closed before the answers", seed)
				}
			}
			if l.State < before {
				t.Fatalf("seed %d: went back from %s to %s", seed, before, l.State)
			}
		}
		for a, n := range done {
			if n > 1 {
				t.Fatalf("seed %d: act %d done %d times", seed, a, n)
			}
		}
	}
	l := Lifecycle{State: Draining}
	if l.Allows("fire") == nil || l.Allows("stop") != nil || l.Allows("dance") == nil {
		t.Error("allows")
	}
}

func TestChoresByPriorityShareAndPatience(t *testing.T) {
	c := NewTaskScheduler(0, BackgroundTask{Name: "low", Interval: 1, Priority: 1, SliceDuration: 0.1, MaxDelay: 20},
		BackgroundTask{Name: "high", Interval: 1, Priority: 2, SliceDuration: 0.1, MaxTimeShare: 0.01, MaxDelay: 60},
		BackgroundTask{Name: "urgent", Priority: 0, SliceDuration: 0.1, Urgent: true})
	if name, _ := c.Next(0.5, 0); name != "" {
		t.Fatal("early", name)
	}
	c.Request(1.5, "urgent")
	for _, want := range []string{"high", "low", "urgent"} {
		name, slice := c.Next(2, 0)
		if name != want || slice != 0.1 {
			t.Fatalf("%s, want %s", name, want)
		}
		if other, _ := c.Next(2, 0); other != "" {
			t.Fatalf("%s runs beside %s", other, name)
		}
		c.Done(2, name, 0.5, false, nil)
	}
	// high has used half a second of the 0.6 that it may within a minute; one more and it waits.
	name, _ := c.Next(4, 0)
	c.Done(4, name, 0.5, true, nil)
	if name, _ := c.Next(4.1, 0); name != "low" {
		t.Fatalf("%s goes past its share", name)
	}
	c.Done(4.1, "low", 0.1, false, nil)
	// A busy box: only what is urgent, until patience runs out.
	for now := 6.0; now < 24; now++ {
		if name, _ := c.Next(now, 0.9); name != "" {
			t.Fatalf("%s goes at %v in a busy box", name, now)
		}
	}
	if name, _ := c.Next(26, 0.9); name != "low" {
		t.Fatalf("%q: starved for ever", name)
	}
	c.Done(26, "low", 0.1, false, errors.New("disk"))
	if v := c.View(26)[0]; v.Failures != 1 || v.LastError != "disk" || v.Due < 1.9 {
		t.Fatalf("%+v", v)
	}
}

// Under any load every chore that is due goes within its patience and the slices ahead of it.
func TestNoChoreStarvesForEver(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 4))
		var list []BackgroundTask
		for i := range 4 {
			list = append(list, BackgroundTask{Name: fmt.Sprint(i), Interval: 1 + 5*rng.Float64(), Priority: rng.IntN(3), SliceDuration: 0.1,
				MaxTimeShare: 0.05 * rng.Float64(), MaxDelay: 5 + 20*rng.Float64()})
		}
		c := NewTaskScheduler(0, list...)
		for now := 0.0; now < 600; now += 0.25 {
			name, _ := c.Next(now, rng.Float64()*2)
			if name != "" {
				c.Done(now+0.1, name, 0.1, rng.IntN(3) == 0, nil)
			}
		}
		for i, v := range c.View(600) {
			if v.Slices == 0 || v.LongestWait > list[i].MaxDelay+3 {
				t.Fatalf("seed %d: chore %d waited %.1f s, its patience is %.1f; %d slices", seed, i, v.LongestWait, list[i].MaxDelay, v.Slices)
			}
		}
	}
}
