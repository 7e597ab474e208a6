// Package invariants checks a recording of the traffic of clients and workers against five routing rules and the rule of
// function versions. The rules concern responses (1), executions (2), draining (3), the warm-up of workers (4) and load
// commands (5); each is stated at the method of checker that checks it.
//
// A Recorder collects records from clients and workers; Check reads a complete recording and returns a Verdict. The
// records of the Recorder are the only state. The package shares no code with the packages that make routing decisions
// (control, dispatch), so that a fault there can't be repeated here. It is used by the simulation, the scenarios, the soak
// test, the command that verifies a recording, and tests that run whole front ends.
package invariants
