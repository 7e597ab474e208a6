package control

import (
	"slices"
	"strings"
	"testing"
)

// keyedHost is the host of a router with a keyed request in flight on its home. The home and its sibling share idempotency
// keys, the third worker is in another failure domain.
type keyedHost struct {
	*leaseHost
	sibling, stranger WorkerID
	request           *request
}

// newKeyedHost returns a host whose workers have responded and are identified by discovery. No request is in flight.
func newKeyedHost() *keyedHost {
	h := &keyedHost{leaseHost: newLeaseHost()}
	d := h.router.deployment
	d.RequestClasses = append(d.RequestClasses, RequestClass{
		Name: "keyed", Timeout: 3, Semantics: IdempotentByKey, DeduplicationScope: ScopeFailureDomain, DeduplicationWindow: 9,
	})
	others := []WorkerID{"w0", "w1", "w2"}
	others = slices.DeleteFunc(others, func(id WorkerID) bool { return id == h.home })
	h.sibling, h.stranger = others[0], others[1]
	h.router.OnEndpointUpdate(h.now, Delta, []Worker{
		{ID: h.home, FailureDomain: 1, Weight: 1}, {ID: h.sibling, FailureDomain: 1, Weight: 1}, {ID: h.stranger, FailureDomain: 2, Weight: 1},
	})
	for _, id := range []WorkerID{h.home, h.sibling, h.stranger} {
		h.reply(id)
	}
	h.play("later list")
	return h
}

// pass advances the clock by less than a tick.
func (h *keyedHost) pass() { h.now += 0.01 }

// confirm makes a worker hold a lease and credits.
func (h *keyedHost) confirm(id WorkerID) {
	w := h.router.workersByID[id]
	w.recordAcceptance(h.now)
	w.grantedCredits, w.usedCredits = 1, 0
}

// reply reports a response of a worker's process.
func (h *keyedHost) reply(id WorkerID) {
	w := h.router.workersByID[id]
	h.router.advance(h.now)
	h.router.onReply(w, w.process, h.now, Succeeded)
}

// send sends the keyed request to the home, which holds a lease and has credits.
func (h *keyedHost) send() {
	h.confirm(h.home)
	h.router.OnRequest(h.now, Request{ID: "keyed", Class: "keyed", Function: "f", TimeLeft: 3, Concurrency: 4})
	h.request = h.router.requests["keyed"]
	if !slices.Contains(h.attempts, "keyed@"+string(h.home)) || !h.router.MayExecute(h.now, "keyed") {
		panic("no attempt on the home")
	}
}

// update applies an update of the home.
func (h *keyedHost) update(home Worker) {
	home.ID, home.Weight = h.home, 1
	h.router.OnEndpointUpdate(h.now, Delta, []Worker{home})
}

// keyedSteps are the steps of a keyed request's course. Each takes place a little later than the one before.
var keyedSteps = map[string]func(h *keyedHost){
	"outage":     func(h *keyedHost) { h.router.OnDiscoveryUnavailable(h.now); h.advance(testDrainGrace) },
	"wait":       func(h *keyedHost) { h.now += testDrainGrace - leaseMarginSeconds },
	"later":      func(h *keyedHost) { h.advance(listingDelaySeconds) },
	"list":       func(h *keyedHost) { h.router.OnDiscoveryAvailable(h.now, h.now) },
	"disconnect": func(h *keyedHost) { h.router.OnDisconnected(h.now, h.home) },
	"uncertain":  func(h *keyedHost) { h.router.OnProcessUncertain(h.now, h.home) },
	"confirmed":  func(h *keyedHost) { h.router.OnProcessConfirmed(h.now, h.home) },
	"drain":      func(h *keyedHost) { h.update(Worker{FailureDomain: 1, State: Draining}) },
	"return":     func(h *keyedHost) { h.update(Worker{FailureDomain: 1}) },
	"remove":     func(h *keyedHost) { h.update(Worker{FailureDomain: 1, State: Removed}) },
	"move":       func(h *keyedHost) { h.update(Worker{FailureDomain: 2}) },
	"restart":    func(h *keyedHost) { h.update(Worker{FailureDomain: 1, StartedAt: h.now}) },
	"reply":      func(h *keyedHost) { h.reply(h.home) },
	"longer":     func(h *keyedHost) { h.advance(minReplacementSeconds) },
	"rejection":  func(h *keyedHost) { w := h.router.workersByID[h.home]; h.router.onReply(w, w.process, h.now, Rejected) },
	"late-reply": func(h *keyedHost) {
		w := h.router.workersByID[h.home]
		h.router.onReply(w, w.process, h.now-3, Succeeded)
	},
	"send":   (*keyedHost).send,
	"failed": func(h *keyedHost) { h.endAttempt("keyed", h.home, Failed, 0.01) },
	"lost":   func(h *keyedHost) { h.endAttempt("keyed", h.home, ConnectionLost, 0.01) },
}

func (h *keyedHost) play(steps string) {
	for step := range strings.FieldsSeq(steps) {
		h.pass()
		keyedSteps[step](h)
	}
}

// repeatable returns the workers that may execute the request again.
func (h *keyedHost) repeatable() string {
	var safe []string
	for _, id := range []WorkerID{h.home, h.sibling, h.stranger} {
		if w := h.router.workersByID[id]; w.state == Serving && h.router.isRepeatSafe(h.request, w) {
			safe = append(safe, h.names()[id])
		}
	}
	return strings.Join(safe, " ")
}

func (h *keyedHost) names() map[WorkerID]string {
	return map[WorkerID]string{h.home: "home", h.sibling: "sibling", h.stranger: "stranger"}
}

// Guards against a keyed request that is executed in two failure domains: its first attempt ran on the successor of a worker,
// at the worker's address and in another failure domain, and the further one went to the domain of the worker that the
// endpoint list still named (review, case 1). What counts is the process that the attempt reached, as it was known when the
// attempt left.
func TestKeyedRetry_ProcessOfFirstExecution(t *testing.T) {
	for name, c := range map[string]struct {
		steps, want string
		scope       DeduplicationScope
	}{
		"identified process":                           {"outage send failed", "home sibling", ScopeFailureDomain},
		"identified process, scope zone":               {"outage send failed", "home sibling stranger", ScopeZone},
		"identified process, scope fleet":              {"outage send failed", "home sibling stranger", ScopeFleet},
		"disconnected before the attempt":              {"outage disconnect send failed", "home", ScopeFailureDomain},
		"disconnected before the attempt, scope zone":  {"outage disconnect send failed", "home", ScopeZone},
		"disconnected before the attempt, scope fleet": {"outage disconnect send failed", "home sibling stranger", ScopeFleet},
		"disconnected before the outage was detected":  {"disconnect outage send failed", "home", ScopeFailureDomain},
		"not connected when the outage began":          {"disconnect list outage send failed", "home", ScopeFailureDomain},
		"connection lost during the attempt":           {"outage send disconnect lost", "sibling", ScopeFailureDomain},
		"successor lost during the attempt":            {"outage disconnect send disconnect lost", "", ScopeFailureDomain},
		"list confirms the process before the result":  {"outage disconnect send reply list failed", "home sibling", ScopeFailureDomain},
		"list shows the successor before the result":   {"outage disconnect send reply remove list failed", "", ScopeFailureDomain},
		"failure domain changed before the result":     {"send move list failed", "sibling", ScopeFailureDomain},
		"new connection while discovery is available":  {"disconnect send failed", "home sibling", ScopeFailureDomain},
		"later connection to an uncertain process":     {"outage uncertain send failed", "", ScopeFailureDomain},
		"later connection, process confirmed":          {"outage uncertain send confirmed failed", "home sibling", ScopeFailureDomain},
		"later connection to the successor, confirmed": {"outage disconnect uncertain send confirmed failed", "home", ScopeFailureDomain},
		"later connection, earlier ones ended":         {"outage uncertain send disconnect failed", "", ScopeFailureDomain},
	} {
		h := newKeyedHost()
		classes := h.router.deployment.RequestClasses
		classes[len(classes)-1].DeduplicationScope = c.scope
		h.play(c.steps)
		if got := h.repeatable(); got != c.want {
			t.Errorf("%s: may be executed again by %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a process that is taken for the listed one by the response of an earlier one: an attempt was in flight when its
// worker drained and returned, and its response arrived on the connection from before.
func TestProcess_ResponseOfEarlierConnectionIdentifiesNone(t *testing.T) {
	for steps, want := range map[string]bool{
		"disconnect send failed list outage":                        true,
		"disconnect send drain list return list failed list outage": false,
	} {
		h := newKeyedHost()
		h.play(steps)
		if got := h.router.isProcessIdentified(h.router.workersByID[h.home]); got != want {
			t.Errorf("%s: identified %v, want %v", steps, got, want)
		}
	}
}

// Guards against a further attempt of a keyed request that was decided for one process and is written to its successor: while
// the attempt waited for a dial, the connections to the worker ended.
func TestKeyedRetry_ProcessReplacedBeforeWrite(t *testing.T) {
	for name, c := range map[string]struct {
		replace func(h *keyedHost, id WorkerID)
		want    bool
	}{
		"same process": {func(*keyedHost, WorkerID) {}, true},
		"disconnected": {func(h *keyedHost, id WorkerID) { h.router.OnDisconnected(h.now, id) }, false},
		"other failure domain": {func(h *keyedHost, id WorkerID) {
			h.router.OnEndpointUpdate(h.now, Delta, []Worker{{ID: id, FailureDomain: 7, Weight: 1}})
		}, false},
	} {
		h := newKeyedHost()
		h.play("outage")
		h.confirm(h.sibling)
		h.router.functionsByID["f"].ensureReplica(h.router.workersByID[h.sibling]).markWarm(h.now)
		h.play("send failed")
		if len(h.attempts) != 2 {
			t.Fatalf("%s: attempts %v, want two", name, h.attempts)
		}
		h.pass()
		c.replace(h, h.request.worker.id)
		if got := h.router.MayExecute(h.now, "keyed"); got != c.want {
			t.Errorf("%s: may be written to %s: %v", name, h.request.worker.id, got)
		}
	}
}

// Guards against final errors of keyed requests during a discovery outage: their first attempt went to a process that was not
// identified and failed, so that no other worker could repeat them. Identified ones are preferred for attempts and loads, and a
// replica is loaded on one beside a replica on another process.
func TestKeyedRequest_PrefersIdentifiedProcess(t *testing.T) {
	for name, c := range map[string]struct{ class, unidentified, warm, attemptOn, loadOn string }{
		"all identified":              {"keyed", "", "home stranger", "home", ""},
		"one not identified":          {"keyed", "home", "home stranger", "stranger", ""},
		"none identified":             {"keyed", "home sibling stranger", "home stranger", "home", "sibling"},
		"no preference":               {"idempotent", "home", "home stranger", "home", ""},
		"only replica":                {"keyed", "home", "home", "home", "stranger"},
		"only replica, no preference": {"idempotent", "home", "home", "home", ""},
		"no replica":                  {"keyed", "home", "", "", "stranger"},
		"no replica, no preference":   {"idempotent", "home", "", "", "home"},
		"no replica, none identified": {"keyed", "home sibling stranger", "", "", "home"},
	} {
		h := newKeyedHost()
		fn := h.router.functionsByID["f"]
		for _, w := range h.router.workers {
			w.functions = without(w.functions, fn)
		}
		fn.replicas, fn.loadCooldownUntil = nil, 0
		for id, name := range h.names() {
			if strings.Contains(c.unidentified, name) {
				h.router.OnDisconnected(h.now, id)
			}
		}
		h.play("list outage")
		for id, name := range h.names() {
			h.confirm(id)
			h.router.workersByID[id].recordPeerWarm(h.now)
			if strings.Contains(c.warm, name) {
				fn.ensureReplica(h.router.workersByID[id]).markWarm(h.now)
			}
		}
		h.clear()
		h.router.OnRequest(h.now, Request{ID: "a", Class: c.class, Function: "f", TimeLeft: 3, Concurrency: 4})
		attemptOn, loadOn := "", ""
		for id, name := range h.names() {
			if slices.Equal(h.attempts, []string{"a@" + string(id)}) {
				attemptOn = name
			}
			if slices.Equal(h.loads, []string{string(id) + "/f"}) {
				loadOn = name
			}
		}
		if attemptOn != c.attemptOn || loadOn != c.loadOn {
			t.Errorf("%s: attempts %v on %s, loads %v on %s", name, h.attempts, attemptOn, h.loads, loadOn)
		}
	}
}
