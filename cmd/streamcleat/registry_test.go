package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"streamcleat/internal/verification/fakes"
)

// run runs a command against the site's appliance and returns its standard output and error together.
func (s *site) run(args ...string) (string, error) {
	cmd := exec.Command("streamcleat", args...)
	cmd.Dir = s.dir
	cmd.Env = append(cmd.Environ(), "STREAMCLEAT_SOCKET="+filepath.Join(s.dir, "box.sock"))
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// The registry's commands against a running appliance and a fake registry. The cases run in order, each on what the ones
// before it left.
func TestHandlerCommands(t *testing.T) {
	r := fakes.NewRegistry("", "")
	t.Cleanup(r.Close)
	layer := []byte("the function")
	d := r.Push("shop-001", map[string]string{"org.streamcleat.lanes": "2"}, [][]byte{layer}, "1.0")
	d2 := r.Push("shop-001", map[string]string{"org.streamcleat.lanes": "3"}, [][]byte{layer, []byte("more")}, "1.1")
	d3 := r.Push("shop-001", nil, nil, "1.2")
	s := newSite(t, 1)
	s.start()
	for _, c := range []struct {
		args string
		want string
		ok   bool
	}{
		{"publish shop-001:1.0 --from " + r.URL(), "published shop-001:1.0 as " + string(d), true},
		{"publish shop-001:1.0 --from " + r.URL(), "versions don't change", false},
		{"publish shop-001:9.9 --from " + r.URL(), "shop-001:9.9", false},
		{"publish shop-001:1.1 --digest " + string(d2) + " --lanes 3", "published", true},
		{"alias shop-001:current 1.0", "names " + string(d), true},
		{"alias shop-001:current 7.7", "not in the registry", false},
		{"rollout shop-001:current 1.1 --steps 0.5 --hold 600", "goes over to " + string(d2), true},
		{"list", "current for 50%", true},
		{"show shop-001", "1.1", true},
		{"show shop-009", "not in the registry", false},
		{"rollback shop-001:current", "names " + string(d), true},
		{"withdraw shop-001:1.1", "withdrawn", true},
		{"list --json", `"withdrawn":true`, true},
		{"audit", "withdraw shop-001@" + string(d2), true},
		{"pull shop-001@" + string(d) + " --from " + r.URL(), "3 pieces held, 14 bytes of layers fetched", true},
		{"pull shop-001@" + string(d2) + " --from " + r.URL(), "4 pieces held, 4 bytes of layers fetched", true},
		{"verify shop-001:1.0 handlers/sha256/" + d.Encoded(), "is shop-001:1.0", true},
		{"key seal", "BEGIN PUBLIC KEY", true},
		{"key seal", "exists", false},
		{"sign shop-001:1.0 --digest " + string(d) + " --key seal.pem -o seal.json", "", true},
		{"sign shop-001:1.0 --digest sha256:0 --key seal.pem", "digest", false},
		{"publish shop-001:1.2 --digest " + string(d3) + " --signature seal.json", "published", true},
		{"verify-content", "5 pieces checked, 0 wrong", true},
		{"verify shop-001:1.0 handlers/sha256/" + d2.Encoded(), "has digest " + string(d2), false},
	} {
		out, err := s.run(append([]string{"handler"}, strings.Fields(c.args)...)...)
		if (err == nil) != c.ok || !strings.Contains(out, c.want) {
			t.Errorf("handler %s: %v\n%s\nwant %s", c.args, err, out, c.want)
		}
	}
	s.send("shop-event", "one", "shop-001")
	if got := s.statuses["one"]; len(got) == 0 || got[len(got)-1] != 200 {
		t.Errorf("an event of a versioned function: %v", got)
	}
	stop := s.terminal("stop", "--wait")
	stop.end()
}
