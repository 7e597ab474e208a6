package invariants

import (
	"fmt"
	"math"
	"sort"
	"strings"
)

// Rules are the figures of a deployment's rules. Times are seconds.
type Rules struct {
	Effect     map[string]string  `json:"Effect"`     // event type: "redeliverable", "keyed" or "at-most-once"
	Remembered map[string]float64 `json:"Remembered"` // of keyed types: how long workers drop repeats
	Work       float64            `json:"Work"`       // mean seconds of work of an event on a core of speed 1
	WorkOf     map[string]float64 `json:"WorkOf"`     // the same by function, where it is known
	Capacity   map[string]float64 `json:"Capacity"`   // by worker: cores times speed
	DrainGrace float64            `json:"DrainGrace"`
	ColdShare  float64            `json:"ColdShare"`
	WarmWithin float64            `json:"WarmWithin"`
	FallFactor float64            `json:"FallFactor"`
	FallWindow float64            `json:"FallWindow"`
	LoadWindow float64            `json:"LoadWindow"` // 0: load orders are not rationed
	LoadFree   float64            `json:"LoadFree"`
	LoadShare  float64            `json:"LoadShare"`
	Lag        float64            `json:"Lag"`   // between a client's asking and its front end's taking the event
	Apart      bool               `json:"Apart"` // launches by different front ends are not held against each other: repeats went to both
	Grace      float64            `json:"Grace"` // between a worker seeing bytes and the front end having sent them: both ends of a socket
}

// Verdict counts what was seen and what was broken.
type Verdict struct {
	Events       int      `json:"events"` // asks that were taken as events
	Handled      int      `json:"handled"`
	Deferred     int      `json:"deferred"`
	DeadLettered int      `json:"dead_lettered"`
	Refused      int      `json:"refused"`
	Left         int      `json:"left"`
	Lost         int      `json:"lost"` // connections lost to a front end that the script stopped
	Launches     int      `json:"launches"`
	Orders       int      `json:"orders"`
	Unanswered   int      `json:"unanswered"`       // rule 1: no answer at all, or too late
	Twice        int      `json:"answers_twice"`    // rule 1
	AfterEnd     int      `json:"sent_after_end"`   // rule 1: a launch after the last asker had its answer
	AtOnce       int      `json:"launches_at_once"` // rule 2
	RanTwice     int      `json:"ran_twice"`        // rule 2: at-most-once, or keyed past what workers remember
	BadDeferral  int      `json:"bad_deferrals"`    // rule 2: deferred though it ran and must not again
	AfterDrain   int      `json:"after_drain"`      // rule 3
	ColdPushed   int      `json:"cold_pushed"`      // rule 4
	Flooded      int      `json:"load_floods"`      // rule 5
	Versions     int      `json:"wrong_versions"`   // ran on, or was answered in the name of, another version than asked for
	Broken       int      `json:"rules_broken"`     // of five, and the promise of versions
	Faults       []string `json:"faults,omitempty"` // the first of each kind
}

type call struct {
	ask      Record
	end      Record
	ended    bool
	answers  int
	answerAt float64
}

type attempt struct {
	from, to float64
	r        Record
}

// Judge reads a whole recording.
func Judge(rules Rules, records []Record) Verdict {
	j := &judge{rules: rules, seen: map[string]int{}}
	sort.SliceStable(records, func(a, b int) bool { return records[a].At < records[b].At })
	j.answers(records)
	j.effects(records)
	j.drains(records)
	j.cold(records)
	j.loads(records)
	j.versions(records)
	v := j.v
	for _, broken := range []bool{v.Unanswered+v.Twice+v.AfterEnd > 0, v.AtOnce+v.RanTwice+v.BadDeferral > 0,
		v.AfterDrain > 0, v.ColdPushed > 0, v.Flooded > 0, v.Versions > 0} {
		if broken {
			v.Broken++
		}
	}
	return v
}

type judge struct {
	rules Rules
	v     Verdict
	seen  map[string]int
}

func (j *judge) fault(count *int, kind, format string, args ...any) {
	*count++
	if j.seen[kind]++; j.seen[kind] <= 3 {
		j.v.Faults = append(j.v.Faults, kind+": "+fmt.Sprintf(format, args...))
	}
}

// answers is rule 1: each event taken gets exactly one final answer before its client's time is up, and nothing is
// launched for it after its last asker had one.
func (j *judge) answers(records []Record) {
	calls := map[uint64]*call{}
	var order []*call
	asks := map[string][]*call{}
	for _, r := range records {
		switch r.Kind {
		case Asked:
			c := &call{ask: r}
			calls[r.Call] = c
			order = append(order, c)
			asks[r.Event] = append(asks[r.Event], c)
		case Answered, Left, Lost:
			c := calls[r.Call]
			if c == nil {
				j.fault(&j.v.Twice, "answer", "call %d: %s without an ask", r.Call, r.Kind)
				continue
			}
			if r.Kind == Answered {
				if c.answers++; c.answers > 1 {
					j.fault(&j.v.Twice, "twice", "%s at %.3f: a second answer", c.ask.Event, r.At)
					continue
				}
			}
			if !c.ended {
				c.ended, c.end, c.answerAt = true, r, r.At
			}
		}
	}
	for _, c := range order {
		switch {
		case !c.ended:
			j.fault(&j.v.Unanswered, "unanswered", "%s asked at %.3f of %s", c.ask.Event, c.ask.At, c.ask.Front)
		case c.end.Kind == Left:
			j.v.Left++
		case c.end.Kind == Lost:
			j.v.Lost++
		case c.end.At-c.ask.At > c.ask.Wait:
			j.fault(&j.v.Unanswered, "late", "%s answered %.3f s after its ask, its client waited %.3f", c.ask.Event,
				c.end.At-c.ask.At, c.ask.Wait)
		default:
			switch c.end.Outcome {
			case Handled:
				j.v.Handled++
			case Deferred:
				j.v.Deferred++
			case DeadLettered:
				j.v.DeadLettered++
			default:
				j.v.Refused++
				continue
			}
		}
		j.v.Events++
	}
	for _, r := range records {
		if r.Kind != Launched {
			continue
		}
		j.v.Launches++
		open := len(asks[r.Event]) == 0 // stand-ins may be driven without recorded clients
		for _, c := range asks[r.Event] {
			if c.ask.At <= r.At+j.rules.Grace && (!c.ended || r.At <= c.answerAt+j.rules.Grace) {
				open = true
			}
		}
		if !open {
			j.fault(&j.v.AfterEnd, "after end", "%s reached %s at %.3f, when nobody asked for it", r.Event, r.Worker, r.At)
		}
	}
}

// effects is rule 2.
func (j *judge) effects(records []Record) {
	attempts := map[string][]*attempt{}
	byCall := map[uint64]*attempt{}
	ran := map[string][]Record{}
	var events []string
	for _, r := range records {
		switch r.Kind {
		case Launched:
			a := &attempt{from: r.At, to: math.Inf(1), r: r}
			byCall[r.Call] = a
			if attempts[r.Event] == nil {
				events = append(events, r.Event)
			}
			attempts[r.Event] = append(attempts[r.Event], a)
		case Ended:
			if a := byCall[r.Call]; a != nil {
				a.to = r.At
			}
		case Ran:
			ran[r.Event] = append(ran[r.Event], r)
		}
	}
	for _, id := range events {
		list := attempts[id]
		for i := 1; i < len(list); i++ {
			if list[i].from < list[i-1].to-j.rules.Grace && (!j.rules.Apart || list[i].r.Front == list[i-1].r.Front) {
				j.fault(&j.v.AtOnce, "at once", "%s at %s from %.3f to %.3f and at %s from %.3f", id, list[i-1].r.Worker,
					list[i-1].from, list[i-1].to, list[i].r.Worker, list[i].from)
			}
		}
		effect, runs := j.rules.Effect[list[0].r.Type], ran[id]
		if len(runs) > 1 && effect != "redeliverable" {
			j.fault(&j.v.RanTwice, "ran twice", "%s (%s) ran %d times, at %.3f and at %.3f", id, effect, len(runs),
				runs[0].At, runs[len(runs)-1].At)
		}
		if effect == "at-most-once" && len(runs) > 0 && list[len(list)-1].from > runs[0].At {
			j.fault(&j.v.RanTwice, "relaunched", "%s ran at %.3f and was launched again at %.3f", id, runs[0].At,
				list[len(list)-1].from)
		}
		if span := j.rules.Remembered[list[0].r.Type]; effect == "keyed" && len(runs) > 0 &&
			list[len(list)-1].from > runs[0].At+span+j.rules.Grace {
			j.fault(&j.v.RanTwice, "past memory", "%s ran at %.3f and was launched again at %.3f", id, runs[0].At,
				list[len(list)-1].from)
		}
	}
	for _, r := range records {
		if r.Kind == Answered && r.Outcome == Deferred && j.rules.Effect[r.Type] == "at-most-once" {
			for _, run := range ran[r.Event] {
				if run.At <= r.At {
					j.fault(&j.v.BadDeferral, "deferred", "%s ran at %.3f and was deferred at %.3f", r.Event, run.At, r.At)
					break
				}
			}
		}
	}
}

// drains is rule 3. The list counts as told when it was written, which is before any front end read it, or where the
// record names a front end when that one read it.
func (j *judge) drains(records []Record) {
	type pair struct{ front, worker string }
	told := map[pair]float64{}
	for _, r := range records {
		switch key := (pair{r.Front, r.Worker}); r.Kind {
		case Told:
			if r.Phase == "serving" {
				delete(told, key)
			} else if _, known := told[key]; !known {
				told[key] = r.At
			}
		case Launched, Ordered:
			at, drains := told[key]
			if !drains {
				at, drains = told[pair{"", r.Worker}]
			}
			if drains && (r.Kind == Launched || r.Copies > 0) && r.At > at+j.rules.DrainGrace {
				j.fault(&j.v.AfterDrain, "after drain", "%s reached %s at %.3f, told at %.3f", r.Kind, r.Worker, r.At, at)
			}
		}
	}
}

// cold is rule 4: what reaches a worker within any window after its start stays under the stated multiple of what
// it can do then.
func (j *judge) cold(records []Record) {
	if j.rules.FallFactor == 0 || j.rules.WarmWithin == 0 {
		return
	}
	type pair struct{ front, worker string }
	born := map[pair]float64{}
	sent := map[string][]Record{}
	for _, r := range records {
		switch r.Kind {
		case Born: // where it names a front end, the moment that one was told of it: what it sent before counts for nobody
			if r.Front == "" {
				born[pair{"", r.Worker}] = r.At
				sent[r.Worker] = nil
			} else {
				born[pair{r.Front, r.Worker}] = r.Born
			}
		case Down:
			j.fault(&j.v.ColdPushed, "pushed over", "%s fell over at %.3f", r.Worker, r.At)
		case Launched:
			at, cold := born[pair{r.Front, r.Worker}]
			if !cold {
				at, cold = born[pair{"", r.Worker}]
			}
			age := r.At - at
			if !cold || age >= j.rules.WarmWithin {
				continue
			}
			list := append(sent[r.Worker], r)
			for list[0].At <= r.At-j.rules.FallWindow {
				list = list[1:]
			}
			sent[r.Worker] = list
			warmth := j.rules.ColdShare + (1-j.rules.ColdShare)*age/j.rules.WarmWithin
			budget := j.rules.FallFactor * warmth * j.rules.Capacity[r.Worker] * j.rules.FallWindow
			push := 0.0
			for _, x := range list {
				work, known := j.rules.WorkOf[x.Function]
				if !known {
					work = j.rules.Work
				}
				push += work
			}
			if push > budget+2*j.rules.Work {
				j.fault(&j.v.ColdPushed, "cold", "%s got %.2f s of work within %.1f s until %.3f, %.1f s after its start; "+
					"%.2f are allowed", r.Worker, push, j.rules.FallWindow, r.At, age, budget)
			}
		}
	}
}

// versions is no rule of the brief, but what answers promise: an event runs only on the version that it was launched
// for, and its answer names the version that ran it.
func (j *judge) versions(records []Record) {
	asked, ran := map[uint64]string{}, map[string]map[string]bool{}
	for _, r := range records {
		switch r.Kind {
		case Launched:
			asked[r.Call] = r.Digest
		case Ran:
			if r.Digest != asked[r.Call] {
				j.fault(&j.v.Versions, "version", "%s asked %s for %s and ran on %s", r.Event, r.Worker, asked[r.Call], r.Digest)
			}
			if ran[r.Event] == nil {
				ran[r.Event] = map[string]bool{}
			}
			ran[r.Event][r.Digest] = true
		case Answered:
			if j.rules.Apart && j.rules.Effect[r.Type] == "keyed" {
				continue // workers drop what ran for another front end, maybe on another version
			}
			if r.Outcome == Handled && len(ran[r.Event]) > 0 && !ran[r.Event][r.Digest] {
				j.fault(&j.v.Versions, "version", "%s was answered in the name of %q, which did not run it", r.Event, r.Digest)
			}
		}
	}
}

// loads is rule 5, for each front end by itself.
func (j *judge) loads(records []Record) {
	ordered, taken := map[string][]float64{}, map[string][]float64{}
	// The front end counts when it decides, the stand-ins when bytes arrive: the window gives way by the grace.
	within := func(list []float64, now, span float64) []float64 {
		for len(list) > 0 && list[0] <= now-span {
			list = list[1:]
		}
		return list
	}
	for _, r := range records {
		switch {
		case r.Kind == Asked:
			name, _, _ := strings.Cut(r.Front, "/") // front/2 is its second process: what was asked of the first may reach it
			taken[name] = append(taken[name], r.At)
		case r.Kind == Ordered:
			j.v.Orders++
			if r.Copies == 0 || j.rules.LoadWindow == 0 {
				continue
			}
			ordered[r.Front] = within(append(ordered[r.Front], r.At), r.At, j.rules.LoadWindow-j.rules.Grace)
			name, _, _ := strings.Cut(r.Front, "/")
			taken[name] = within(taken[name], r.At, j.rules.LoadWindow+j.rules.Grace+j.rules.Lag)
			most := j.rules.LoadFree + j.rules.LoadShare*float64(len(taken[name]))
			if n := len(ordered[r.Front]); float64(n) > most+1e-9 {
				j.fault(&j.v.Flooded, "load orders", "%s gave %d within %.1f s until %.3f, %.1f are allowed", r.Front, n,
					j.rules.LoadWindow, r.At, most)
			}
		}
	}
}
