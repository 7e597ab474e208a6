package simadapter

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/units"
)

const millisecondsPerSecond = 1000

// instance is a simulated front end: it has a router and, as its [control.Host], writes its decisions to the output.
type instance struct {
	name    string
	router  *control.Router
	out     *bufio.Writer
	scratch []byte          // reused buffer for encoding messages
	queries map[query][]int // number of replicas commanded by each pending query, oldest first
}

// query identifies the queries of a worker for a function.
type query struct {
	worker   control.WorkerID
	function control.FunctionID
}

// takeQuery removes the oldest pending query of a worker for a function and returns the number of replicas that it commanded.
// The protocol sends queries and reports their results as load commands, so a result counts as that of a query if one is pending.
func (i *instance) takeQuery(worker control.WorkerID, function control.FunctionID) (replicas int, isQuery bool) {
	key := query{worker, function}
	pending := i.queries[key]
	if len(pending) == 0 {
		return 0, false
	}
	if i.queries[key] = pending[1:]; len(pending) == 1 {
		delete(i.queries, key)
	}
	return pending[0], true
}

var _ control.Host = (*instance)(nil)

// write writes a message of the instance.
func (i *instance) write(message string, fields ...field) {
	line := i.scratch[:0]
	line = append(line, message...)
	line = appendField(line, field{fieldInstance, i.name})
	for _, f := range fields {
		line = appendField(line, f)
	}
	line = append(line, '\n')
	i.scratch = line
	_, _ = i.out.Write(line) // Flush returns the writer's first error
}

func appendField(line []byte, f field) []byte {
	line = append(line, ' ')
	line = append(line, f.name...)
	line = append(line, '=')
	return append(line, f.value...)
}

// recoverPanic recovers from a panic of the router and reports it to the simulator. Callers of the router must defer it.
func (i *instance) recoverPanic() {
	if reason := recover(); reason != nil {
		i.write(messagePanic, field{"ReasonText", strings.Join(strings.Fields(fmt.Sprint(reason)), " ")})
	}
}

// StartAttempt implements [control.Host].
func (i *instance) StartAttempt(request control.RequestID, worker control.WorkerID, timeout units.Seconds) {
	i.write(messageRoute, field{fieldRequest, string(request)}, field{fieldWorker, string(worker)},
		field{"LimitMs", formatMilliseconds(timeout)})
}

// Reject implements [control.Host].
func (i *instance) Reject(request control.RequestID, retryAfter units.Seconds) {
	i.write(messageReject, field{fieldRequest, string(request)}, field{"PauseMs", formatMilliseconds(retryAfter)})
}

// Fail implements [control.Host].
func (i *instance) Fail(request control.RequestID) {
	i.write(messageFail, field{fieldRequest, string(request)})
}

// LoadReplicas implements [control.Host].
func (i *instance) LoadReplicas(worker control.WorkerID, function control.FunctionID, replicas int) {
	i.write(messageLoad, field{fieldWorker, string(worker)}, field{fieldFunction, string(function)},
		field{fieldReplicas, strconv.Itoa(replicas)})
}

// QueryReplicas implements [control.Host]. It sends a load command, which is a plain query if replicas is 0. The protocol has
// no timeout for queries.
func (i *instance) QueryReplicas(worker control.WorkerID, function control.FunctionID, replicas int, _ units.Seconds) {
	key := query{worker, function}
	i.queries[key] = append(i.queries[key], replicas)
	i.LoadReplicas(worker, function, replicas)
}

// Broadcast implements [control.Host].
func (i *instance) Broadcast(message []byte) {
	i.write(messageBroadcast, field{"Whom", "*"}, field{fieldGossip, base64.StdEncoding.EncodeToString(message)})
}

// SetTimer implements [control.Host].
func (i *instance) SetTimer(after units.Seconds, timer uint64) {
	i.write(messageSetTimer, field{"SleepForMs", formatMilliseconds(after)},
		field{fieldTimerID, strconv.FormatUint(timer, 10)})
}

// RequestEndpoints implements [control.Host].
func (i *instance) RequestEndpoints() { i.write(messageRequestEndpoints, field{"Want", "1"}) }

// formatMilliseconds formats a time in seconds as milliseconds.
func formatMilliseconds(seconds units.Seconds) string {
	return strconv.FormatFloat(float64(seconds*millisecondsPerSecond), 'f', 3, 64)
}
