// Package goldentest runs scripted sessions against protocol code and compares the transcripts with golden files. Scripts
// and transcripts use the field's terms (request, attempt, load, cancel, drain). Only the adapters of this package refer
// to Go identifiers, so that a rename changes them and no golden file.
//
// A script is testdata/NAME.script. "== title" begins a new session; "# ..." is a comment; any other line is a time in
// seconds, a verb and its words. A word, or a part of one, may be a quoted Go string. The transcript repeats each line,
// followed by the indented effects of the code under test.
//
// A FakeClient or FakeWorkers owns the state of one session. Only tests import the package.
package goldentest
