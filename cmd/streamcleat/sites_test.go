package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream/frames"
	"streamcleat/internal/node"
	"streamcleat/internal/platform"
)

// siteSettings of the two variants in deploy/sites, as a front end of theirs is told them.
var siteSettings = map[string]string{
	"harbour-berths": `{"Balancers":300,"RoundMs":4,"Caps":{"RetryAfter":true,"MaxRetryAfterMs":900,"MostTries":3,"MaxStreams":16,"MaxOpen":20000,
		"DialTimeoutMs":250,"IdleCloseMs":20000,"Peers":true},"Classes":[
		{"Name":"berth-change","AimMs":1200,"GiveUpMs":3000,"Idempotency":"guarded","Group":"all","MemorySpanMs":6000},
		{"Name":"crane-order","AimMs":1000,"GiveUpMs":2500,"Idempotency":"single_shot"}],
		"Accounts":[{"Name":"north-quay","QuotaPerS":100},{"Name":"south-quay","QuotaPerS":50},{"Name":"dredgers","QuotaPerS":40}]}`,
	"tram-signs": `{"Balancers":300,"RoundMs":4,"Caps":{"RetryAfter":true,"MaxRetryAfterMs":500,"MostTries":5,"MaxStreams":32,"MaxOpen":20000,
		"DialTimeoutMs":250,"IdleCloseMs":30000},"Classes":[{"Name":"sign-refresh","AimMs":900,"GiveUpMs":2200,"Idempotency":"free"}],
		"Accounts":[{"Name":"line-one","QuotaPerS":100},{"Name":"line-two","QuotaPerS":100}]}`,
}

// requestCounter counts the requests that a session takes.
type requestCounter struct{ taken int }

func (c *requestCounter) Submit(uint64, dispatch.Request) { c.taken++ }
func (c *requestCounter) Cancel(uint64)                   {}

// siteRequest is a request that one site takes, "" for none.
type siteRequest struct {
	site, class, tenant string
	timeoutMs           int
}

// frame is the request as it stands on the wire.
func (r siteRequest) frame() []byte {
	client := &nodeClient{}
	frame := client.request(warmFunction, "")
	// A length of two bytes stands before each value.
	frame = []byte(strings.NewReplacer("\x00\x04call", "\x00"+string(rune(len(r.class)))+r.class,
		"\x00\x041500", fmt.Sprintf("\x00\x04%d", r.timeoutMs),
		"\x00\x04acme", "\x00"+string(rune(len(r.tenant)))+r.tenant).Replace(string(frame)))
	frame[3] = byte(len(frame) - 4)
	return frame
}

// Names and limits come from the document alone: each variant takes its own and refuses the other's and the site's.
func TestNothingIsFittedToOneSite(t *testing.T) {
	requests := []siteRequest{
		{"harbour-berths", "berth-change", "dredgers", 3000},
		{"harbour-berths", "crane-order", "north-quay", 2500},
		{"tram-signs", "sign-refresh", "line-two", 2200},
		{"", "shop-event", "kitaboshi-wear", 1500},
		{"", "shop-event", "line-two", 1500},
		{"", "sign-refresh", "minato-shoes", 1500},
		{"", "crane-order", "north-quay", 3000},
		{"", "sign-refresh", "line-two", 4000},
	}
	for site, text := range siteSettings {
		document, err := platform.ReadDocument(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":64,
			"sockets":512},"journal":"127.0.0.1:2","known":{"pos":0,"entries":[]},"settings":%s}`, text))
		if err != nil {
			t.Fatal(site, err)
		}
		limits := node.ClientLimits(document.Terms.Deployment(), func() bool { return true })
		for i, request := range requests {
			counter := &requestCounter{}
			session := frames.NewSession(limits, counter, 1)
			session.Feed(1, time.Time{}, request.frame())
			if want := request.site == site; counter.taken == 1 != want {
				t.Errorf("%s, request %d (%s of %s): taken %d times; %q", site, i, request.class, request.tenant, counter.taken, session.Output())
			}
		}
	}
}

// No file of the program or of its deployment has a name of the site on which it is tested.
func TestNoNameOfASiteIsInTheProgram(t *testing.T) {
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
				t.Errorf("%s has %q", path, found)
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
		t.Errorf("%d files read", read)
	}
}
