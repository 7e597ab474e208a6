package control

import (
	"slices"
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
	h.pass()
	h.router.OnDiscoveryAvailable(h.now, h.now)
	h.pass()
	return h
}

// pass advances the clock by less than a tick.
func (h *keyedHost) pass() { h.now += 0.01 }

// send sends the keyed request to the home, which holds a lease and has credits.
func (h *keyedHost) send() {
	h.pass()
	h.confirm(h.home)
	h.router.OnRequest(h.now, Request{ID: "keyed", Class: "keyed", Function: "f", TimeLeft: 3, Concurrency: 4})
	h.request = h.router.requests["keyed"]
	if !slices.Contains(h.attempts, "keyed@"+string(h.home)) || !h.router.MayExecute(h.now, "keyed") {
		panic("no attempt on the home")
	}
	h.pass()
}

// confirm makes a worker hold a lease and credits.
func (h *keyedHost) confirm(id WorkerID) {
	w := h.router.workersByID[id]
	w.recordAcceptance(h.now)
	w.grantedCredits, w.usedCredits = 1, 0
}

// reply reports a response of a worker's process.
func (h *keyedHost) reply(id WorkerID) {
	w := h.router.workersByID[id]
	h.router.onReply(w, w.process, Succeeded)
}

func (h *keyedHost) disconnect(id WorkerID) {
	h.pass()
	h.router.OnDisconnected(h.now, id)
}

func (h *keyedHost) loseDiscovery() {
	h.router.OnDiscoveryUnavailable(h.now)
	h.advance(testDrainGrace)
}

// list applies an update of the home and confirms the list.
func (h *keyedHost) list(home Worker) {
	h.pass()
	home.ID, home.Weight = h.home, 1
	h.router.OnEndpointUpdate(h.now, Delta, []Worker{home})
	h.pass()
	h.router.OnDiscoveryAvailable(h.now, h.now)
}

// end ends the attempt, and returns the workers that may execute the request again.
func (h *keyedHost) end(outcome Outcome) (safe []WorkerID) {
	h.pass()
	h.endAttempt("keyed", h.home, outcome, 0.01)
	for _, id := range []WorkerID{h.home, h.sibling, h.stranger} {
		if w := h.router.workersByID[id]; w.state == Serving && h.router.isRepeatSafe(h.request, w) {
			safe = append(safe, id)
		}
	}
	return safe
}

// keyedRetryCase is the course of a keyed request's first attempt on the home.
type keyedRetryCase struct {
	play func(h *keyedHost) []WorkerID
	want []string // workers that may execute the request again
}

var (
	onlyHome      = []string{"home"}
	onlySibling   = []string{"sibling"}
	failureDomain = []string{"home", "sibling"}
)

var keyedRetryCases = map[string]keyedRetryCase{
	"identified process": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.send()
		return h.end(Failed)
	}, failureDomain},
	"disconnected before the attempt": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.disconnect(h.home)
		h.send()
		return h.end(Failed)
	}, onlyHome},
	"disconnected before the outage was detected": {func(h *keyedHost) []WorkerID {
		h.disconnect(h.home)
		h.loseDiscovery()
		h.send()
		return h.end(Failed)
	}, onlyHome},
	"not connected when the outage began": {func(h *keyedHost) []WorkerID {
		h.disconnect(h.home)
		h.pass()
		h.router.OnDiscoveryAvailable(h.now, h.now)
		h.loseDiscovery()
		h.send()
		return h.end(Failed)
	}, onlyHome},
	"connection lost during the attempt": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.send()
		h.disconnect(h.home)
		return h.end(ConnectionLost)
	}, onlySibling},
	"successor lost during the attempt": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.disconnect(h.home)
		h.send()
		h.disconnect(h.home)
		return h.end(ConnectionLost)
	}, nil},
	"list confirms the process before the result": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.disconnect(h.home)
		h.send()
		h.reply(h.home)
		h.pass()
		h.router.OnDiscoveryAvailable(h.now, h.now)
		return h.end(Failed)
	}, failureDomain},
	"list shows the successor before the result": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.disconnect(h.home)
		h.send()
		h.reply(h.home)
		h.list(Worker{FailureDomain: 1, State: Removed})
		return h.end(Failed)
	}, nil},
	"failure domain changed before the result": {func(h *keyedHost) []WorkerID {
		h.send()
		h.list(Worker{FailureDomain: 2})
		return h.end(Failed)
	}, onlySibling},
	"later connection to an uncertain process": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.router.OnProcessUncertain(h.now, h.home)
		h.send()
		return h.end(Failed)
	}, nil},
	"later connection, process confirmed before the result": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.router.OnProcessUncertain(h.now, h.home)
		h.send()
		h.router.OnProcessConfirmed(h.now, h.home)
		return h.end(Failed)
	}, failureDomain},
	"later connection to the successor, process confirmed": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.disconnect(h.home)
		h.router.OnProcessUncertain(h.now, h.home)
		h.send()
		h.router.OnProcessConfirmed(h.now, h.home)
		return h.end(Failed)
	}, onlyHome},
	"later connection, earlier ones ended": {func(h *keyedHost) []WorkerID {
		h.loseDiscovery()
		h.router.OnProcessUncertain(h.now, h.home)
		h.send()
		h.disconnect(h.home)
		return h.end(Failed)
	}, nil},
	"new connection while discovery is available": {func(h *keyedHost) []WorkerID {
		h.disconnect(h.home)
		h.send()
		return h.end(Failed)
	}, failureDomain},
}

// Guards against a keyed request that is executed in two failure domains: its first attempt ran on the successor of a worker,
// at the worker's address and in another failure domain, and the further one went to the domain of the worker that the
// endpoint list still named (review, case 1). What counts is the process that the attempt reached, as it was known when the
// attempt left.
func TestKeyedRetry_ProcessOfFirstExecution(t *testing.T) {
	for name, c := range keyedRetryCases {
		h := newKeyedHost()
		names := map[WorkerID]string{h.home: "home", h.sibling: "sibling", h.stranger: "stranger"}
		var got []string
		for _, id := range c.play(h) {
			got = append(got, names[id])
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: may be executed again by %v, want %v", name, got, c.want)
		}
	}
}

// A process that is not identified shares keys with nobody in scopes smaller than the fleet, and an identified one with its scope.
func TestKeyedRetry_Scopes(t *testing.T) {
	for name, c := range map[string]struct {
		scope        DeduplicationScope
		disconnected bool
		want         int // workers that may execute the request again
	}{
		"fleet": {ScopeFleet, false, 3}, "fleet, disconnected": {ScopeFleet, true, 3},
		"zone": {ScopeZone, false, 3}, "zone, disconnected": {ScopeZone, true, 1},
		"failure domain": {ScopeFailureDomain, false, 2}, "failure domain, disconnected": {ScopeFailureDomain, true, 1},
	} {
		h := newKeyedHost()
		classes := h.router.deployment.RequestClasses
		classes[len(classes)-1].DeduplicationScope = c.scope
		h.loseDiscovery()
		if c.disconnected {
			h.disconnect(h.home)
		}
		h.send()
		if safe := h.end(Failed); len(safe) != c.want {
			t.Errorf("%s: may be executed again by %v, want %d", name, safe, c.want)
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
		"disconnected": {func(h *keyedHost, id WorkerID) { h.disconnect(id); h.pass(); h.confirm(id) }, false},
		"other failure domain": {func(h *keyedHost, id WorkerID) {
			h.router.OnEndpointUpdate(h.now, Delta, []Worker{{ID: id, FailureDomain: 7, Weight: 1}})
		}, false},
	} {
		h := newKeyedHost()
		h.loseDiscovery()
		h.confirm(h.sibling)
		h.router.functionsByID["f"].ensureReplica(h.router.workersByID[h.sibling]).markWarm(h.now)
		h.send()
		h.clear()
		h.end(Failed)
		if len(h.attempts) != 1 {
			t.Fatalf("%s: attempts %v, want one", name, h.attempts)
		}
		c.replace(h, h.request.worker.id)
		if got := h.router.MayExecute(h.now, "keyed"); got != c.want {
			t.Errorf("%s: may be written to %s: %v", name, h.request.worker.id, got)
		}
	}
}

// Guards against final errors of keyed requests during a discovery outage: their first attempt went to a worker whose process was
// not identified and failed, so that no other worker could repeat them, while identified ones had capacity.
func TestKeyedRequest_PrefersIdentifiedProcess(t *testing.T) {
	for name, c := range map[string]struct {
		class        string
		disconnected []string
		want         string
	}{
		"all identified":         {"keyed", nil, "home"},
		"one not identified":     {"keyed", []string{"home"}, "stranger"},
		"none identified":        {"keyed", []string{"home", "stranger"}, "home"},
		"class without the rule": {"idempotent", []string{"home"}, "home"},
	} {
		h := newKeyedHost()
		ids := map[string]WorkerID{"home": h.home, "stranger": h.stranger}
		for _, worker := range c.disconnected {
			h.disconnect(ids[worker])
		}
		h.pass()
		h.router.OnDiscoveryAvailable(h.now, h.now) // the workers are not cold
		h.loseDiscovery()
		for _, id := range ids {
			h.confirm(id)
			h.router.functionsByID["f"].ensureReplica(h.router.workersByID[id]).markWarm(h.now)
		}
		h.clear()
		h.router.OnRequest(h.now, Request{ID: "a", Class: c.class, Function: "f", TimeLeft: 3, Concurrency: 4})
		if want := []string{"a@" + string(ids[c.want])}; !slices.Equal(h.attempts, want) {
			t.Errorf("%s: attempts %v, want %v", name, h.attempts, want)
		}
	}
}

// The load command for a keyed request goes to an identified process too.
func TestKeyedRequest_LoadsOnIdentifiedProcess(t *testing.T) {
	for _, class := range []string{"idempotent", "keyed"} {
		h := newKeyedHost()
		h.disconnect(h.home)
		h.pass()
		h.router.OnDiscoveryAvailable(h.now, h.now)
		h.loseDiscovery()
		for _, w := range h.router.workers {
			h.confirm(w.id)
		}
		h.router.functionsByID["f"].replicas = nil
		h.clear()
		h.router.OnRequest(h.now, Request{ID: "a", Class: class, Function: "f", TimeLeft: 3, Concurrency: 4})
		onHome := slices.Equal(h.loads, h.at("%s/f"))
		if len(h.loads) != 1 || onHome != (class == "idempotent") {
			t.Errorf("%s: loads %v, home %s", class, h.loads, h.home)
		}
	}
}

// Guards against final errors of keyed requests whose function has its only replica on a process that is not identified: another
// one is loaded on an identified process.
func TestKeyedRequest_LoadsBesideUnidentifiedProcess(t *testing.T) {
	for _, class := range []string{"idempotent", "keyed"} {
		h := newKeyedHost()
		h.disconnect(h.home)
		h.pass()
		h.router.OnDiscoveryAvailable(h.now, h.now)
		h.loseDiscovery()
		for _, w := range h.router.workers {
			h.confirm(w.id)
		}
		h.clear()
		h.router.functionsByID["f"].loadCooldownUntil = 0
		h.router.OnRequest(h.now, Request{ID: "a", Class: class, Function: "f", TimeLeft: 3, Concurrency: 4})
		if wantsLoad := class == "keyed"; len(h.attempts) != 1 || (len(h.loads) == 1) != wantsLoad {
			t.Errorf("%s: attempts %v, loads %v", class, h.attempts, h.loads)
		}
	}
}

// Guards against a process that is taken for the listed one by the response of an earlier one: an attempt was in flight when its
// worker drained and returned, and its response arrived on the connection from before.
func TestProcess_ResponseOfEarlierConnectionIdentifiesNone(t *testing.T) {
	for name, c := range map[string]struct {
		states []EndpointState // of the updates between the attempt and its response
		want   bool
	}{"same entry": {nil, true}, "drained and returned": {[]EndpointState{Draining, Serving}, false}} {
		h := newKeyedHost()
		h.disconnect(h.home)
		h.send()
		for _, state := range c.states {
			h.list(Worker{FailureDomain: 1, State: state})
		}
		h.end(Failed)
		h.pass()
		h.router.OnDiscoveryAvailable(h.now, h.now)
		h.loseDiscovery()
		if got := h.router.isProcessIdentified(h.router.workersByID[h.home]); got != c.want {
			t.Errorf("%s: identified %v, want %v", name, got, c.want)
		}
	}
}
