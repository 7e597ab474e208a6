package goldentest

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"

	"streamcleat/internal/units"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Actor executes one line of a script and returns its effects as lines of the transcript.
type Actor interface {
	Act(now units.Seconds, verb string, words []string) []string
}

// RunScript runs testdata/NAME.script and compares the transcript with testdata/NAME.golden. newActor returns the actor of a
// session.
func RunScript(t *testing.T, name string, newActor func(t *testing.T) Actor) {
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
			actor = newActor(t)
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
		for _, effect := range actor.Act(units.Seconds(now), words[1], words[2:]) {
			out.WriteString("    " + words[0] + " " + effect + "\n")
		}
	}
	Compare(t, "testdata/"+name+".golden", out.String())
}

// Compare compares got with a golden file, or writes the file if the flag -update is set.
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

// splitWords splits a line at spaces outside of quoted parts, and unquotes these.
func splitWords(line string) ([]string, error) {
	var words []string
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

// ParseOptions returns the words name=value of a line by name. A word without "=" has an empty value.
func ParseOptions(words []string) map[string]string {
	list := map[string]string{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		list[name] = value
	}
	return list
}

// ParseNumber parses a number of a script. It panics if there is none.
func ParseNumber(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return v
}

// inPieces calls feed with pieces of data of the given size, or with all data if size is 0.
func inPieces(data []byte, size int, feed func(piece []byte)) {
	if size == 0 {
		size = len(data)
	}
	for len(data) > 0 {
		n := min(size, len(data))
		feed(data[:n])
		data = data[n:]
	}
}
