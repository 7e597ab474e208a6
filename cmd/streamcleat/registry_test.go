package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"streamcleat/internal/verification/fakes"
)

// run runs a command against the appliance and returns its combined standard output and standard error.
func (s *testSetup) run(args ...string) (string, error) {
	cmd := exec.Command("streamcleat", args...)
	cmd.Dir = s.dir
	cmd.Env = append(cmd.Environ(), "STREAMCLEAT_SOCKET="+filepath.Join(s.dir, "box.sock"))
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// Tests the handler commands against an appliance and a fake OCI registry. The commands run in order: each depends on the
// state after the previous ones.
func TestHandlerCommands(t *testing.T) {
	ociRegistry := fakes.NewRegistry("", "")
	t.Cleanup(ociRegistry.Close)
	layer := []byte("the function")
	digest0 := ociRegistry.Push("shop-001", map[string]string{"org.streamcleat.lanes": "2"}, [][]byte{layer}, "1.0")
	digest1 := ociRegistry.Push("shop-001", map[string]string{"org.streamcleat.lanes": "3"}, [][]byte{layer, []byte("more")}, "1.1")
	digest2 := ociRegistry.Push("shop-001", nil, nil, "1.2")
	s := newTestSetup(t, 1)
	s.start()
	for _, c := range []struct {
		args string
		want string
		ok   bool
	}{
		{"publish shop-001:1.0 --from " + ociRegistry.URL(), "published shop-001:1.0 as " + string(digest0), true},
		{"publish shop-001:1.0 --from " + ociRegistry.URL(), "versions are immutable", false},
		{"publish shop-001:9.9 --from " + ociRegistry.URL(), "shop-001:9.9", false},
		{"publish shop-001:1.1 --digest " + string(digest1) + " --lanes 3", "published", true},
		{"alias shop-001:current 1.0", "names " + string(digest0), true},
		{"alias shop-001:current 7.7", "not in the registry", false},
		{"rollout shop-001:current 1.1 --steps 0.5 --hold 600", "goes over to " + string(digest1), true},
		{"list", "current for 50%", true},
		{"show shop-001", "1.1", true},
		{"show shop-009", "not in the registry", false},
		{"rollback shop-001:current", "names " + string(digest0), true},
		{"withdraw shop-001:1.1", "withdrawn", true},
		{"list --json", `"withdrawn":true`, true},
		{"audit", "withdraw shop-001@" + string(digest1), true},
		{"pull shop-001@" + string(digest0) + " --from " + ociRegistry.URL(), "3 blobs stored, 14 bytes of layers fetched", true},
		{"pull shop-001@" + string(digest1) + " --from " + ociRegistry.URL(), "4 blobs stored, 4 bytes of layers fetched", true},
		{"verify shop-001:1.0 handlers/sha256/" + digest0.Encoded(), "is shop-001:1.0", true},
		{"key seal", "BEGIN PUBLIC KEY", true},
		{"key seal", "exists", false},
		{"sign shop-001:1.0 --digest " + string(digest0) + " --key seal.pem -o seal.json", "", true},
		{"sign shop-001:1.0 --digest sha256:0 --key seal.pem", "digest", false},
		{"publish shop-001:1.2 --digest " + string(digest2) + " --signature seal.json", "published", true},
		{"verify-content", "5 blobs verified, 0 corrupt", true},
		{"verify shop-001:1.0 handlers/sha256/" + digest1.Encoded(), "has digest " + string(digest1), false},
	} {
		out, err := s.run(append([]string{"handler"}, strings.Fields(c.args)...)...)
		if (err == nil) != c.ok || !strings.Contains(out, c.want) {
			t.Errorf("handler %s: error %v, output:\n%s\nwant it to contain %s", c.args, err, out, c.want)
		}
	}
	s.send("shop-event", "one", "shop-001")
	if got := s.statuses["one"]; len(got) == 0 || got[len(got)-1] != 200 {
		t.Errorf("request to a versioned function: statuses %v, want the last to be 200", got)
	}
	stop := s.terminal("stop", "--wait")
	stop.waitForExit()
}
