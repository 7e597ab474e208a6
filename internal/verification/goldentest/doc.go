// Package goldentest runs scripted sessions against protocol code and compares the transcripts with golden files. Scripts
// and transcripts use protocol terms (request, attempt, load, cancel, drain) instead of Go identifiers. Only this package
// maps those terms to identifiers, so renaming an identifier does not change a golden file.
//
// A script is testdata/NAME.script. "== title" begins a new session; "# ..." is a comment; any other line consists of a
// time in seconds, a verb and its arguments. An argument, or a part of one, may be a quoted Go string. The transcript
// repeats each line, followed by the indented effects of the code under test.
//
// A FakeClient or FakeWorkers holds the state of one session. Only tests import the package.
package goldentest
