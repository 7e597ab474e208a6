// Package invariants checks the five routing rules, and the rule of function versions, against a recording of the
// traffic of clients and workers.
//
// A Recorder collects records from clients and workers; Check reads a complete recording and returns a Verdict. The
// Recorder's records are the only state. The package shares no code with those that make the decisions (control,
// dispatch), so that a mistake there can't be repeated here. Its callers are the simulation, the scenarios, the soak, the
// command that verifies a recording, and tests that run whole front ends.
package invariants
