// Command mutants proves that the simulation sees faults of the program: it puts deliberate ones into it, one at a
// time, and counts the seeds until each is caught. The tree is not touched: the build takes the changed file in place
// of the one that stands there.
package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"streamcleat/internal/console"
	"streamcleat/internal/simulation"
)

//go:embed mutants.json
var list []byte

// edit is a text of a file, where it stands exactly once, and what takes its place.
type edit struct {
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// mutant is one deliberate fault. What is guarded twice has both guards taken out.
type mutant struct {
	Name string `json:"name"`
	edit
	Also    *edit  `json:"also,omitempty"`
	Profile string `json:"profile,omitempty"` // day where it says nothing
	About   string `json:"about"`
}

func main() {
	seeds := flag.Uint64("seeds", 600, "seeds that a fault may survive")
	only := flag.String("only", "", "names that hold this text alone")
	flag.Parse()
	survived, err := run(*seeds, *only)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(2)
	}
	if survived > 0 {
		fmt.Fprintf(os.Stderr, "mutants: %d survived\n", survived)
		os.Exit(1)
	}
}

func run(seeds uint64, only string) (survived int, err error) {
	var mutants []mutant
	if err := json.Unmarshal(list, &mutants); err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	rows := [][]string{{"FAULT", "IN", "SEEDS UNTIL CAUGHT", "BY"}}
	for _, m := range mutants {
		if !strings.Contains(m.Name, only) {
			continue
		}
		binary, err := m.build(dir)
		if err != nil {
			return survived, fmt.Errorf("%s: %w", m.Name, err)
		}
		n, by, err := m.hunt(binary, seeds)
		if err != nil {
			return survived, fmt.Errorf("%s: %w", m.Name, err)
		}
		caught := fmt.Sprint(n)
		if n == 0 {
			caught = fmt.Sprintf("none of %d", seeds)
			if by, err = m.explore(binary); err != nil {
				return survived, fmt.Errorf("%s: %w", m.Name, err)
			}
			if by == "" {
				survived++
				by = "survives"
			}
		}
		rows = append(rows, []string{m.About, m.File, caught, by})
		fmt.Fprintf(os.Stderr, "%s: %s (%s)\n", m.Name, caught, by)
	}
	fmt.Print(console.Table(rows))
	return survived, nil
}

func (m mutant) build(dir string) (string, error) {
	replace := map[string]string{}
	edits := []edit{m.edit}
	if m.Also != nil {
		edits = append(edits, *m.Also)
	}
	for i, e := range edits {
		file, err := filepath.Abs(e.File)
		if err != nil {
			return "", err
		}
		from := file
		if replace[file] != "" {
			from = replace[file]
		}
		text, err := os.ReadFile(from)
		if err != nil {
			return "", err
		}
		if n := bytes.Count(text, []byte(e.Old)); n != 1 {
			return "", fmt.Errorf("its text stands in %s %d times, not once", e.File, n)
		}
		replace[file] = filepath.Join(dir, fmt.Sprintf("%s-%d.go", m.Name, i))
		if err := os.WriteFile(replace[file], bytes.Replace(text, []byte(e.Old), []byte(e.New), 1), 0o644); err != nil {
			return "", err
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, m.Name+".json")
	if err := os.WriteFile(path, overlay, 0o644); err != nil {
		return "", err
	}
	binary := filepath.Join(dir, m.Name)
	out, err := exec.Command("go", "build", "-overlay", path, "-o", binary, "./cmd/streamcleat").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("it does not build: %w\n%s", err, out)
	}
	return binary, nil
}

// explore goes every order of the small world, in which cores stand without what guards them from outside.
func (m mutant) explore(binary string) (by string, err error) {
	out, err := exec.Command(binary, "sim", "explore", "--depth", "6").Output()
	var ended *exec.ExitError
	if err != nil && !errors.As(err, &ended) {
		return "", err
	}
	var x simulation.Explored
	if err := json.Unmarshal(out, &x); err != nil {
		return "", err
	}
	if len(x.Broke) == 0 {
		return "", nil
	}
	by, _, _ = strings.Cut(x.Broke[0], ":")
	return "every order: " + by, nil
}

// hunt runs seeds until one breaks something. A program that ends or panics is caught too.
func (m mutant) hunt(binary string, seeds uint64) (n int, by string, err error) {
	profile := m.Profile
	if profile == "" {
		profile = "day"
	}
	cmd := exec.Command(binary, "sim", "--profile", profile, "--seeds", fmt.Sprint(seeds), "--json")
	out, err := cmd.StdoutPipe()
	if err != nil {
		return 0, "", err
	}
	var said bytes.Buffer
	cmd.Stderr = &said
	if err := cmd.Start(); err != nil {
		return 0, "", err
	}
	dec := json.NewDecoder(out)
	for {
		var r simulation.Report
		if err := dec.Decode(&r); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return 0, "", errors.Join(err, cmd.Process.Kill(), cmd.Wait())
		}
		n++
		if !r.OK() {
			cmd.Process.Kill()
			cmd.Wait()
			by, _, _ = strings.Cut(r.Broke[0], ":")
			by, _, _ = strings.Cut(by, " at ")
			return n, by, nil
		}
	}
	switch err := cmd.Wait(); {
	case err == nil:
		return 0, "", nil
	case strings.Contains(said.String(), "panic"):
		return n + 1, "panic", nil
	default:
		return 0, "", fmt.Errorf("seeds of %s: %w: %s", profile, err, said.String())
	}
}
