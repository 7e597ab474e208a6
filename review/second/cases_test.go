//go:build review

// Package second runs the cases of the second review. They are built by the deploy file's build and review/build-2.sh.
package second

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReview2 runs each case. A case fails while its rule is broken.
func TestReview2(t *testing.T) {
	for _, name := range []string{"6", "7", "8", "9", "10"} {
		t.Run(name, func(t *testing.T) {
			script, err := filepath.Abs(filepath.Join("..", name, "run.sh"))
			if err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("/bin/sh", script)
			cmd.Env = os.Environ()
			if output, err := cmd.CombinedOutput(); err != nil {
				t.Errorf("%v\n%s", err, output)
			}
		})
	}
}
