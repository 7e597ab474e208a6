package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestReleaseRestsWhenTheStoreIsInTrouble(t *testing.T) {
	p := NewRolloutPacer(Current, 2, []Migration{{Function: "b", RequestRate: 1}, {Function: "a", RequestRate: 5}, {Function: "c"}})
	next := p.Next(0)
	if len(next) != 2 || next[0].Function != "a" || next[1].Function != "b" {
		t.Fatalf("the most used two go first: %+v", next)
	}
	p.OnRequest("a", 0)
	p.OnRequest("b", 0)
	if m, ok := p.OnLoaded("a", 0.4); !ok || m.Function != "a" || m.Alias != Current {
		t.Fatal(m, ok)
	}
	if n := p.Next(0.5); len(n) != 1 || n[0].Function != "c" {
		t.Fatalf("%+v", n)
	}
	if p.Next(2.1); len(p.Next(2.2)) != 0 || p.Pauses != 1 {
		t.Fatal("goes on though a load hangs")
	}
	if n := p.Next(5.2); len(n) != 2 || n[0].Function != "b" {
		t.Fatalf("after its rest: %+v", n)
	}
	if _, again := p.OnLoaded("a", 6); again {
		t.Error("moved twice")
	}
	for range triesMost {
		p.OnRequest("b", 10)
		p.OnLoadFailed("b", 10)
	}
	if left, lost := p.Remaining(); left != 1 || fmt.Sprint(lost) != "[b]" {
		t.Error(left, lost)
	}
}

// Under any store every function moves at most once, never more load at once than stated, and the release ends.
func TestReleaseEndsUnderAnyStore(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var list []Migration
		for i := range 30 {
			list = append(list, Migration{Function: fmt.Sprint(i), RequestRate: rng.Float64(), LoadTime: rng.Float64()})
		}
		most := 1 + rng.IntN(5)
		p := NewRolloutPacer(Current, most, list)
		moves := map[string]int{}
		left := 30
		for now := 0.0; left > 0; now += 0.25 {
			if now > 3000 {
				t.Fatalf("seed %d: %d still to go", seed, left)
			}
			for _, g := range p.Next(now) {
				p.OnRequest(g.Function, now)
			}
			if n := len(p.Loading()); n > most {
				t.Fatalf("seed %d: %d loads at once, %d are allowed", seed, n, most)
			}
			for _, g := range p.Loading() {
				switch rng.IntN(6) {
				case 0:
					p.OnLoadFailed(g.Function, now)
				case 1, 2:
					if _, ok := p.OnLoaded(g.Function, now); ok {
						moves[g.Function]++
					}
				}
			}
			left, _ = p.Remaining()
		}
		_, lost := p.Remaining()
		if len(moves)+len(lost) != 30 {
			t.Fatalf("seed %d: %d moved, %d given up", seed, len(moves), len(lost))
		}
		for f, n := range moves {
			if n != 1 {
				t.Fatalf("seed %d: %s moved %d times", seed, f, n)
			}
		}
	}
}
