package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Tests that neither the program nor its deployment file contains a name from a site on which it is tested, so that nothing in
// it is specific to that site.
func TestProgram_ContainsNoSiteNames(t *testing.T) {
	names := regexp.MustCompile(`tomakomai|shop-event|kitaboshi|minato|bureau-mr|handler-workers|std-5c|eco-5c|berth|tram-signs`)
	read := 0
	for _, dir := range []string{
		"control", "internal/deployment", "internal/platform", "internal/proxy", "internal/eventloop", "internal/dispatch",
		"internal/downstream", "internal/upstream", "internal/node", "cmd/streamcleat", "cmd/simadapter", "internal/simadapter", "internal/telemetry",
	} {
		err := filepath.WalkDir(filepath.Join("..", "..", dir), func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || strings.HasSuffix(path, "_test.go") || filepath.Ext(path) != ".go" {
				return err
			}
			data, err := os.ReadFile(path)
			if found := names.Find(data); found != nil {
				t.Errorf("%s contains the site name %q", path, found)
			}
			read++
			return err
		})
		if err != nil {
			t.Error(err)
		}
	}
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if found := names.Find(deploy); err != nil || found != nil {
		t.Error("deploy/balancer.toml", string(found), err)
	}
	if read < 30 {
		t.Errorf("only %d source files were read", read)
	}
}
