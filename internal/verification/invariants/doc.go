// Package invariants checks the five routing rules, and the promise of function versions, against a recording of what
// passed on the sockets of clients and workers.
//
// Its one job is the check: a recorder collects records from the clients and workers at both ends, and the check reads
// a whole recording and returns a Verdict. The package owns no other state. It shares no code with the packages that
// make the decisions (control, dispatch), so that a mistake there can't hide itself here. Its callers are the
// simulation, the scenarios, the command that verifies a recording, and tests that run whole front ends.
package invariants
