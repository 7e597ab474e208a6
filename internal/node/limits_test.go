package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream/frames"
	"streamcleat/internal/platform"
	"streamcleat/internal/verification/nodetest"
)

// siteSettings contains the settings that front ends of the two sites in deploy/sites receive.
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

// requestCounter counts the requests that a session accepts.
type requestCounter struct{ accepted int }

func (c *requestCounter) Submit(uint64, dispatch.Request) { c.accepted++ }
func (c *requestCounter) Cancel(uint64)                   {}

// siteRequest is a request that only the given site accepts, or none if site is "".
type siteRequest struct {
	site, class, tenant string
	timeoutMs           int
}

// frame encodes the request.
func (r siteRequest) frame() []byte {
	client := &nodetest.Client{}
	frame := client.Request(nodetest.WarmFunction, "")
	// Each value is preceded by its length in two bytes.
	frame = []byte(strings.NewReplacer("\x00\x04call", "\x00"+string(rune(len(r.class)))+r.class,
		"\x00\x041500", fmt.Sprintf("\x00\x04%d", r.timeoutMs),
		"\x00\x04acme", "\x00"+string(rune(len(r.tenant)))+r.tenant).Replace(string(frame)))
	frame[3] = byte(len(frame) - 4)
	return frame
}

// Classes, tenants and timeouts come only from the document: each site accepts its own requests and rejects those of the
// other site and of the site on which the program is tested.
func TestClientLimits_ComeFromDocument(t *testing.T) {
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
		limits := clientLimits(document.Terms.Deployment(), func() bool { return true })
		for i, request := range requests {
			counter := &requestCounter{}
			session := frames.NewSession(limits, counter, 1)
			session.Feed(1, time.Time{}, request.frame())
			if want := request.site == site; counter.accepted == 1 != want {
				t.Errorf("%s, request %d (%s of %s): accepted %d times; %q", site, i, request.class, request.tenant, counter.accepted, session.Output())
			}
		}
	}
}
