package simulation

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"streamcleat/internal/verification/invariants"
)

const (
	noResponse            = -1 // value of operation.response if there was no response
	checkTimeout          = time.Minute
	microsecondsPerSecond = 1e6    // the linearizability checker measures time in microseconds
	stateOpen             = "open" // state, in the model, of a request without a final outcome
)

// operation is a call as observed by its client.
type operation struct {
	request, frontEnd string
	boot              int // number of the appliance's boot when the call was sent
	call, response    float64
	outcome           string // empty if unknown to the client
}

// callOutcome is the output of an operation in the model.
type callOutcome struct{ outcome string }

// retryModel specifies the outcomes of the calls of one request to one process of a front end. Once the request has
// succeeded, every call receives that response. Once it has failed, it never succeeds. A call with an unknown outcome may
// have had any outcome.
var retryModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{stateOpen} },
	Step: func(state, _, output any) []any {
		name, _ := state.(string)
		return nextStates(name, outcomeOf(output))
	},
	Equal: func(a, b any) bool { return a == b },
}

// outcomeOf returns the outcome in the output of an operation.
func outcomeOf(output any) string {
	c, _ := output.(callOutcome)
	return c.outcome
}

// nextStates returns the possible states of a request after a call with an outcome, or none if the outcome is not allowed.
func nextStates(state, outcome string) []any {
	open := state == stateOpen
	switch {
	case outcome == "" && open:
		return []any{stateOpen, invariants.Succeeded, invariants.Failed}
	case outcome == "":
		return []any{state}
	case open && outcome == invariants.Failed: // either for this call only, because its timeout expired, or for all calls
		return []any{stateOpen, outcome}
	case open && outcome == invariants.Succeeded:
		return []any{outcome}
	case open:
		return []any{stateOpen}
	case state == outcome:
		return []any{state}
	}
	return nil
}

// operationGroup identifies the calls of one request to one process of a front end.
type operationGroup struct {
	request, frontEnd string
	boot              int
}

// checkRetries checks that the responses to all calls of each request are linearizable with respect to retryModel.
func (s *site) checkRetries() {
	groups := map[operationGroup][]porcupine.Operation{}
	var order []operationGroup
	end := int64(s.scheduler.now*microsecondsPerSecond) + 1
	for i, op := range s.operations {
		group := operationGroup{op.request, op.frontEnd, op.boot}
		if groups[group] == nil {
			order = append(order, group)
		}
		response := end
		if op.response >= 0 {
			response = int64(op.response * microsecondsPerSecond)
		}
		groups[group] = append(groups[group], porcupine.Operation{
			ClientId: i, Call: int64(op.call * microsecondsPerSecond),
			Output: callOutcome{op.outcome}, Return: response,
		})
	}
	model := retryModel.ToModel()
	for _, group := range order {
		operations := groups[group]
		if len(operations) > 1 && porcupine.CheckOperationsTimeout(model, operations, checkTimeout) == porcupine.Illegal {
			s.violation("retries", "responses to %s at %s are not linearizable: %v", group.request, group.frontEnd,
				describeOperations(operations))
		}
	}
}

func describeOperations(operations []porcupine.Operation) []string {
	var list []string
	for _, op := range operations {
		list = append(list, fmt.Sprintf("%.3f-%.3f %s", float64(op.Call)/microsecondsPerSecond, float64(op.Return)/microsecondsPerSecond,
			outcomeOf(op.Output)))
	}
	return list
}
