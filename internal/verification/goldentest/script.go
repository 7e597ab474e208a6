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

// Actor executes the lines of one session of a script. Act returns the effects of a line as lines of the transcript.
type Actor interface {
	Act(now units.Seconds, verb string, words []string) []string
}

// RunScript runs testdata/NAME.script and compares the transcript with testdata/NAME.golden. It calls newActor at the start
// of each session.
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

// Compare compares got with a golden file, and reports the first five lines that differ. If the flag -update is set, it
// writes the file instead.
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

// splitWords splits a line at spaces outside quoted parts, and unquotes the quoted parts.
func splitWords(line string) ([]string, error) {
	var words []string
	word, inWord := "", false
	for line != "" {
		switch c := line[0]; c {
		case ' ':
			if inWord {
				words, word, inWord = append(words, word), "", false
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
			word, inWord, line = word+text, true, line[len(quoted):]
		default:
			word, inWord, line = word+string(c), true, line[1:]
		}
	}
	if inWord {
		words = append(words, word)
	}
	return words, nil
}

// ParseOptions returns the values of name=value words by name. A word without "=" has an empty value.
func ParseOptions(words []string) map[string]string {
	options := map[string]string{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		options[name] = value
	}
	return options
}

// ParseNumber parses a number of a script. It panics if text is not a number.
func ParseNumber(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return v
}

// forEachChunk calls feed with consecutive chunks of data of at most size bytes, or with all data if size is 0.
func forEachChunk(data []byte, size int, feed func(chunk []byte)) {
	if size == 0 {
		size = len(data)
	}
	for len(data) > 0 {
		n := min(size, len(data))
		feed(data[:n])
		data = data[n:]
	}
}
