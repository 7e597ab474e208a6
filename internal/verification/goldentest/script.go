// Package goldentest plays scripted sessions against protocol code and compares the transcript with a golden file. It
// is for tests only. Scripts and transcripts use the terms of the field (request, attempt, load, cancel, drain); only
// the adapters of this package name Go identifiers, so that a rename touches them and no golden file.
//
// A script is testdata/NAME.script. "== title" begins a new session; "# ..." is a comment; any other line is a time in
// seconds, a verb and its words. A word, or a part of one, may be a quoted Go string. The transcript repeats each line
// and has under it, indented, all that the code under test did.
package goldentest

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Actor carries out one line of a script and tells what came of it.
type Actor interface {
	Act(now float64, verb string, words []string) []string
}

// Play runs testdata/NAME.script, each session with an actor of its own, and compares with testdata/NAME.golden.
func Play(t *testing.T, name string, begin func(t *testing.T) Actor) {
	t.Helper()
	script, err := os.ReadFile("testdata/" + name + ".script")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	var actor Actor
	for number, line := range strings.Split(strings.TrimSpace(string(script)), "\n") {
		switch {
		case line == "" || line[0] == '#':
			continue
		case strings.HasPrefix(line, "== "):
			actor = begin(t)
			out.WriteString("\n" + line + "\n")
			continue
		}
		words, err := splitWords(line)
		if err != nil || len(words) < 2 || actor == nil {
			t.Fatalf("%s.script:%d: %q: %v", name, number+1, line, err)
		}
		now, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			t.Fatalf("%s.script:%d: %v", name, number+1, err)
		}
		out.WriteString(line + "\n")
		for _, what := range actor.Act(now, words[1], words[2:]) {
			out.WriteString("    " + words[0] + " " + what + "\n")
		}
	}
	Compare(t, "testdata/"+name+".golden", out.String())
}

// Compare holds got against a golden file, or writes the file where the flag -update is given.
func Compare(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(data) {
		return
	}
	gotLines, want := strings.Split(got, "\n"), strings.Split(string(data), "\n")
	shown := 0
	for i := range max(len(gotLines), len(want)) {
		if a, b := lineAt(gotLines, i), lineAt(want, i); a != b && shown < 5 {
			shown++
			t.Errorf("%s:%d:\n got %.300s\nwant %.300s", file, i+1, a, b)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// splitWords cuts a line at spaces outside quoted parts and takes the quotes off.
func splitWords(line string) (words []string, err error) {
	word, open := "", false
	for line != "" {
		switch c := line[0]; c {
		case ' ':
			if open {
				words, word, open = append(words, word), "", false
			}
			line = line[1:]
		case '"', '`':
			quoted, err := strconv.QuotedPrefix(line)
			if err != nil {
				return nil, err
			}
			text, err := strconv.Unquote(quoted)
			if err != nil {
				return nil, err
			}
			word, open, line = word+text, true, line[len(quoted):]
		default:
			word, open, line = word+string(c), true, line[1:]
		}
	}
	if open {
		words = append(words, word)
	}
	return words, nil
}

// Options are the words name=value of a line; a word without "=" stands for an empty value.
func Options(words []string) map[string]string {
	list := map[string]string{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		list[name] = value
	}
	return list
}

// Number reads a number of a script; a script that has none there is at fault.
func Number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return v
}
