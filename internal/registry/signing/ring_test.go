package signing

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"
)

var (
	day = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	sum = digest.FromString("manifest")
)

func pair(t *testing.T, id string) ([]byte, Key) {
	t.Helper()
	private, k, err := NewKey(id, bytes.Repeat([]byte(id[:1]), 32))
	if err != nil {
		t.Fatal(err)
	}
	return private, k
}

func ring(t *testing.T, need int, keys ...Key) *Ring {
	t.Helper()
	data, _ := json.Marshal(Ring{need, keys})
	r, err := ReadRing(data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestWhoMayVouch(t *testing.T) {
	old, oldKey := pair(t, "old")
	fresh, freshKey := pair(t, "fresh")
	sign := func(id string, private []byte, function, version string, d digest.Digest) []byte {
		e, err := Sign(id, private, function, version, d)
		if err != nil {
			t.Fatal(err)
		}
		return e
	}
	by, byFresh := sign("old", old, "tally", "1.0", sum), sign("fresh", fresh, "tally", "1.0", sum)
	until, from, gone, only := oldKey, freshKey, oldKey, oldKey
	until.Until, from.From, gone.Revoked, only.Match = day, day, true, []string{"shop-*"}
	forged := bytes.Replace(by, []byte(`"old"`), []byte(`"fresh"`), 1)
	both := ring(t, 1, until, from)
	for name, c := range map[string]struct {
		ring *Ring
		now  time.Time
		envs [][]byte
		want string // ids, or part of the reason
		ok   bool
	}{
		"a known key":                {ring(t, 1, oldKey), day, [][]byte{by}, "old", true},
		"no signature":               {ring(t, 1, oldKey), day, nil, "0 of 1", false},
		"an unknown key":             {ring(t, 1, freshKey), day, [][]byte{by}, `"old" is not in the ring`, false},
		"another key's name":         {ring(t, 1, oldKey, freshKey), day, [][]byte{forged}, "signature 1", false},
		"revoked":                    {ring(t, 1, gone), day, [][]byte{by}, "revoked", false},
		"other functions":            {ring(t, 1, only), day, [][]byte{by}, "may not vouch for tally", false},
		"rotation, the day before":   {both, day.Add(-time.Hour), [][]byte{by}, "old", true},
		"rotation, new key too soon": {both, day.Add(-time.Hour), [][]byte{byFresh}, "not valid", false},
		"rotation, old key too late": {both, day, [][]byte{by}, "not valid", false},
		"rotation, the day itself":   {both, day, [][]byte{by, byFresh}, "fresh", true},
		"two wanted, one twice":      {ring(t, 2, oldKey, freshKey), day, [][]byte{by, by}, "1 of 2", false},
		"two wanted, two there":      {ring(t, 2, oldKey, freshKey), day, [][]byte{byFresh, by}, "fresh old", true},
		"another version":            {ring(t, 1, oldKey), day, [][]byte{sign("old", old, "tally", "1.1", sum)}, "something else", false},
		"another function":           {ring(t, 1, oldKey), day, [][]byte{sign("old", old, "count", "1.0", sum)}, "something else", false},
		"another digest":             {ring(t, 1, oldKey), day, [][]byte{sign("old", old, "tally", "1.0", digest.FromString("x"))}, "something else", false},
		"no envelope":                {ring(t, 1, oldKey), day, [][]byte{[]byte("{")}, "signature 1", false},
		"too long":                   {ring(t, 1, oldKey), day, [][]byte{bytes.Repeat([]byte("x"), mostEnvelope+1)}, "too many", false},
	} {
		ids, err := c.ring.Vouched(c.now, "tally", "1.0", sum, c.envs)
		switch {
		case c.ok && (err != nil || strings.Join(ids, " ") != c.want):
			t.Errorf("%s: %v %v", name, ids, err)
		case !c.ok && (!errors.Is(err, ErrUntrusted) || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
	late := ring(t, 1, until, revoked(freshKey))
	for ids, want := range map[string]bool{"": true, "old": true, "fresh": false, "fresh old": true, "lost": false} {
		if late.Stands(strings.Fields(ids)) != want {
			t.Errorf("published with %q: stands is not %v", ids, want)
		}
	}
	// One bit changed anywhere in the envelope's payload or signature makes it count for nothing.
	for i := range by {
		broken := bytes.Clone(by)
		broken[i] ^= 1
		if ids, err := ring(t, 1, oldKey).Vouched(day, "tally", "1.0", sum, [][]byte{broken}); err == nil && !sameMeaning(by, broken) {
			t.Fatalf("byte %d changed and still vouched for by %v:\n%s", i, ids, broken)
		}
	}
}

// sameMeaning tells that two envelopes decode to the same: the last digit of a base64 text has bits that say nothing,
// and names of JSON fields are read without their case.
func sameMeaning(a, b []byte) bool {
	decode := func(data []byte) (e struct {
		Payload    []byte
		Type       string `json:"payloadType"`
		Signatures []struct {
			KeyID string
			Sig   []byte
		}
	}) {
		json.Unmarshal(data, &e)
		return
	}
	x, _ := json.Marshal(decode(a))
	y, _ := json.Marshal(decode(b))
	return bytes.Equal(x, y)
}

func revoked(k Key) Key {
	k.Revoked = true
	return k
}

func TestRingFaultsNameTheirPlace(t *testing.T) {
	_, k := pair(t, "a")
	bad := Key{ID: "b", Public: "no key", From: day, Until: day, Match: []string{"["}}
	data, _ := json.Marshal(Ring{3, []Key{k, k, bad}})
	_, err := ReadRing(data)
	for _, want := range []string{"/keys/1/id", "/keys/2/public_key", "/keys/2/until", "/keys/2/functions/0"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not name %s", err, want)
		}
	}
	if _, err := ReadRing([]byte(`{"need":1,"keys":[{"id":"a","revokd":true}]}`)); err == nil || !strings.Contains(err.Error(), "revokd") {
		t.Error("a misspelt field went unseen: ", err)
	}
	if _, err := ReadRing([]byte(`{"need":2,"keys":[]}`)); err == nil || !strings.Contains(err.Error(), "/need") {
		t.Error(err)
	}
}
