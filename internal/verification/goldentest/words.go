package goldentest

import (
	"fmt"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// outcomeNames maps outcomes of attempts to their names in transcripts.
var outcomeNames = map[control.Outcome]string{
	control.Succeeded:      "served",
	control.Failed:         "error",
	control.TimedOut:       "timed-out",
	control.ConnectionLost: "broken",
	control.Cancelled:      "cancelled",
	control.Rejected:       "refused",
	control.Unreachable:    "unreachable",
	control.NotSent:        "never-sent",
	control.ReplicaMissing: "not-loaded",
}

// startTypeNames maps start types to their names in scripts and transcripts.
var startTypeNames = map[control.StartType]string{
	control.StartUnknown:    "unknown",
	control.WarmStart:       "warm",
	control.ColdStart:       "cold",
	control.JoinedColdStart: "joined",
	control.StartFailed:     "load-failed",
}

func parseStartType(word string) control.StartType {
	for start, text := range startTypeNames {
		if text == word {
			return start
		}
	}
	panic("unknown start type: " + word)
}

// responseKindsByName maps the names of response kinds in scripts to the kinds.
var responseKindsByName = map[string]dispatch.ResponseKind{
	"served":   dispatch.Succeeded,
	"deferred": dispatch.Rejected,
	"failed":   dispatch.Failed,
}

// parseResponse parses "served|deferred|failed [cause=...] [pause=...] ...". Causes have the names that clients receive.
func parseResponse(args []string) dispatch.Response {
	options := ParseOptions(args[1:])
	kind, ok := responseKindsByName[args[0]]
	if !ok {
		panic("unknown response kind: " + args[0])
	}
	r := dispatch.Response{
		Kind: kind, Worker: options["worker"], Replayed: options["repeat"] != "",
		Class: options["type"], Function: options["function"], Body: []byte(options["body"]),
		Identity: dispatch.Identity{Source: options["source"], ID: options["id"]}, Binding: parseBinding(options),
	}
	if options["cause"] != "" {
		r.Cause = parseCause(options["cause"])
	}
	if options["pause"] != "" {
		r.RetryAfter = units.Seconds(ParseNumber(options["pause"]))
	}
	if options["after"] != "" {
		r.Elapsed = units.Seconds(ParseNumber(options["after"]))
	}
	if options["attempts"] != "" {
		r.Attempts = int(ParseNumber(options["attempts"]))
	}
	if options["found"] != "" {
		r.Start = parseStartType(options["found"])
	}
	if name, value, ok := strings.Cut(options["field"], ": "); ok {
		r.Fields = []dispatch.Field{{Name: name, Value: value}}
	}
	return r
}

func parseCause(word string) dispatch.Cause {
	for c := dispatch.CauseResponded; c <= dispatch.CauseDuplicate; c++ {
		if c.String() == word {
			return c
		}
	}
	panic("unknown cause: " + word)
}

// defaultFunction is the function of an attempt or load command whose script line has no function option.
const defaultFunction = "7f3a9c21e0b4d655"

func parseAttempt(id uint64, worker string, options map[string]string) dispatch.Attempt {
	a := dispatch.Attempt{
		ID: id, Worker: control.WorkerID(worker), Function: defaultFunction, Class: "call", Timeout: 1.5,
		Identity: dispatch.Identity{ID: fmt.Sprintf("%016x", id)}, Body: []byte(options["body"]), Binding: parseBinding(options),
	}
	for name, field := range map[string]*string{"function": &a.Function, "type": &a.Class, "id": &a.Identity.ID} {
		if v, ok := options[name]; ok {
			*field = v
		}
	}
	if options["limit"] != "" {
		a.Timeout = units.Seconds(ParseNumber(options["limit"]))
	}
	if name, value, ok := strings.Cut(options["field"], ": "); ok {
		a.Fields = []dispatch.Field{{Name: name, Value: value}}
	}
	return a
}

func parseLoadCommand(id uint64, worker string, options map[string]string) dispatch.LoadCommand {
	command := dispatch.LoadCommand{
		ID: id, Worker: control.WorkerID(worker), Function: defaultFunction,
		Replicas: int(ParseNumber(options["copies"])), Binding: parseBinding(options),
	}
	if v, ok := options["function"]; ok {
		command.Function = v
	}
	return command
}

func parseBinding(options map[string]string) dispatch.Binding {
	if options["version"] == "" {
		return dispatch.Binding{}
	}
	return dispatch.Binding{ID: "f@" + options["digest"], Function: "f", Version: options["version"], Digest: options["digest"]}
}
