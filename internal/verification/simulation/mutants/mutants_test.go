package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// Each text that a mutant replaces occurs exactly once in its file, so no change of the source disables a mutant unnoticed.
func TestApply_EveryMutant(t *testing.T) {
	t.Chdir(filepath.Join("..", "..", "..", ".."))
	var mutants []mutant
	if err := json.Unmarshal(mutantList, &mutants); err != nil {
		t.Fatal(err)
	}
	if len(mutants) == 0 {
		t.Fatal("mutants.json has no mutants")
	}
	dir, err := os.MkdirTemp(t.TempDir(), "mutants")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range mutants {
		changed := overlay{Replace: map[string]string{}}
		edits := []edit{m.edit}
		if m.Also != nil {
			edits = append(edits, *m.Also)
		}
		for _, e := range edits {
			if err := e.apply(changed, filepath.Join(dir, m.Name+".go")); err != nil {
				t.Errorf("%s: %v", m.Name, err)
			}
		}
	}
}
