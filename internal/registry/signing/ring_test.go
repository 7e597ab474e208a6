package signing

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"
)

var (
	rotationTime   = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	manifestDigest = digest.FromString("manifest")
)

// newKey makes a key pair whose seed is the first letter of its id.
func newKey(t *testing.T, id string) ([]byte, Key) {
	t.Helper()
	private, k, err := NewKey(id, bytes.Repeat([]byte(id[:1]), 32))
	if err != nil {
		t.Fatal(err)
	}
	return private, k
}

func newRing(t *testing.T, need int, keys ...Key) *Ring {
	t.Helper()
	data, err := json.Marshal(Ring{need, keys})
	if err != nil {
		t.Fatal(err)
	}
	r, err := ReadRing(data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func mustSign(t *testing.T, id string, private []byte, function, version string, d digest.Digest) []byte {
	t.Helper()
	envelope, err := Sign(id, private, function, version, d)
	if err != nil {
		t.Fatal(err)
	}
	return envelope
}

func TestRing_Verify(t *testing.T) {
	old, oldKey := newKey(t, "old")
	fresh, freshKey := newKey(t, "fresh")
	by, byFresh := mustSign(t, "old", old, "tally", "1.0", manifestDigest), mustSign(t, "fresh", fresh, "tally", "1.0", manifestDigest)
	until, from, gone, only := oldKey, freshKey, oldKey, oldKey
	until.ValidUntil, from.ValidFrom, gone.Revoked, only.FunctionPatterns = rotationTime, rotationTime, true, []string{"shop-*"}
	forged := bytes.Replace(by, []byte(`"old"`), []byte(`"fresh"`), 1)
	both := newRing(t, 1, until, from)
	for name, c := range map[string]struct {
		ring *Ring
		now  time.Time
		envs [][]byte
		want string // ids, or part of the reason
		ok   bool
	}{
		"a known key":                {newRing(t, 1, oldKey), rotationTime, [][]byte{by}, "old", true},
		"no signature":               {newRing(t, 1, oldKey), rotationTime, nil, "0 of 1", false},
		"an unknown key":             {newRing(t, 1, freshKey), rotationTime, [][]byte{by}, `"old" is not in the ring`, false},
		"another key's name":         {newRing(t, 1, oldKey, freshKey), rotationTime, [][]byte{forged}, "signature 1", false},
		"revoked":                    {newRing(t, 1, gone), rotationTime, [][]byte{by}, "revoked", false},
		"other functions":            {newRing(t, 1, only), rotationTime, [][]byte{by}, "may not vouch for tally", false},
		"rotation, the day before":   {both, rotationTime.Add(-time.Hour), [][]byte{by}, "old", true},
		"rotation, new key too soon": {both, rotationTime.Add(-time.Hour), [][]byte{byFresh}, "not valid", false},
		"rotation, old key too late": {both, rotationTime, [][]byte{by}, "not valid", false},
		"rotation, the day itself":   {both, rotationTime, [][]byte{by, byFresh}, "fresh", true},
		"two wanted, one twice":      {newRing(t, 2, oldKey, freshKey), rotationTime, [][]byte{by, by}, "1 of 2", false},
		"two wanted, two there":      {newRing(t, 2, oldKey, freshKey), rotationTime, [][]byte{byFresh, by}, "fresh old", true},
		"another version":            {newRing(t, 1, oldKey), rotationTime, [][]byte{mustSign(t, "old", old, "tally", "1.1", manifestDigest)}, "something else", false},
		"another function":           {newRing(t, 1, oldKey), rotationTime, [][]byte{mustSign(t, "old", old, "count", "1.0", manifestDigest)}, "something else", false},
		"another digest":             {newRing(t, 1, oldKey), rotationTime, [][]byte{mustSign(t, "old", old, "tally", "1.0", digest.FromString("x"))}, "something else", false},
		"no envelope":                {newRing(t, 1, oldKey), rotationTime, [][]byte{[]byte("{")}, "signature 1", false},
		"too long":                   {newRing(t, 1, oldKey), rotationTime, [][]byte{bytes.Repeat([]byte("x"), maxEnvelopeBytes+1)}, "too many", false},
	} {
		t.Run(name, func(t *testing.T) {
			ids, err := c.ring.Verify(c.now, "tally", "1.0", manifestDigest, c.envs)
			switch {
			case c.ok && (err != nil || strings.Join(ids, " ") != c.want):
				t.Errorf("%v %v", ids, err)
			case !c.ok && (!errors.Is(err, ErrUntrusted) || !strings.Contains(err.Error(), c.want)):
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
}

// What was published stands while enough of its keys are in the ring and not revoked, retired ones too.
// The error of a version that nobody signed is whole.
func TestRing_VerifyWithoutSignatures(t *testing.T) {
	_, key := newKey(t, "a")
	_, err := newRing(t, 1, key).Verify(rotationTime, "tally", "1.0", manifestDigest, nil)
	if !errors.Is(err, ErrUntrusted) || strings.Contains(err.Error(), "%!") {
		t.Error(err)
	}
}

func TestRing_IsTrusted(t *testing.T) {
	_, retired := newKey(t, "old")
	_, revoked := newKey(t, "fresh")
	retired.ValidUntil = rotationTime
	revoked.Revoked = true
	ring := newRing(t, 1, retired, revoked)
	for _, c := range []struct {
		ids  string
		want bool
	}{
		{"", true},
		{"old", true},
		{"fresh", false},
		{"fresh old", true},
		{"lost", false},
	} {
		t.Run("by "+c.ids, func(t *testing.T) {
			if ring.IsTrusted(strings.Fields(c.ids)) != c.want {
				t.Errorf("published with %q: stands is not %v", c.ids, c.want)
			}
		})
	}
}

// One bit changed anywhere in the envelope's payload or signature makes it count for nothing.
func TestRing_VerifyTamperedEnvelope(t *testing.T) {
	private, key := newKey(t, "old")
	envelope := mustSign(t, "old", private, "tally", "1.0", manifestDigest)
	for i := range envelope {
		broken := bytes.Clone(envelope)
		broken[i] ^= 1
		ids, err := newRing(t, 1, key).Verify(rotationTime, "tally", "1.0", manifestDigest, [][]byte{broken})
		if err == nil && !decodeEqual(envelope, broken) {
			t.Fatalf("byte %d changed and still vouched for by %v:\n%s", i, ids, broken)
		}
	}
}

// decodeEqual reports whether two envelopes decode to the same: the last digit of a base64 text has bits that say nothing,
// and names of JSON fields are read without their case.
func decodeEqual(a, b []byte) bool {
	decode := func(data []byte) (e struct {
		Payload    []byte
		Type       string `json:"payloadType"`
		Signatures []struct {
			KeyID string
			Sig   []byte
		}
	},
	) {
		_ = json.Unmarshal(data, &e) // what can't be read means nothing
		return e
	}
	return reflect.DeepEqual(decode(a), decode(b))
}

func TestReadRing_ErrorsHavePointers(t *testing.T) {
	_, k := newKey(t, "a")
	bad := Key{ID: "b", PublicKey: "no key", ValidFrom: rotationTime, ValidUntil: rotationTime, FunctionPatterns: []string{"["}}
	data, _ := json.Marshal(Ring{3, []Key{k, k, bad}})
	_, err := ReadRing(data)
	for _, want := range []string{"/keys/1/id", "/keys/2/public_key", "/keys/2/until", "/keys/2/functions/0"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not name %s", err, want)
		}
	}
	var fault *FieldError
	if !errors.As(err, &fault) || fault.Pointer != "/keys/1/id" {
		t.Errorf("the first fault is %+v", fault)
	}
	if _, err := ReadRing([]byte(`{"need":1,"keys":[{"id":"a","revokd":true}]}`)); err == nil || !strings.Contains(err.Error(), "revokd") {
		t.Error("a misspelt field went unseen: ", err)
	}
	if _, err := ReadRing([]byte(`{"need":2,"keys":[]}`)); err == nil || !strings.Contains(err.Error(), "/need") {
		t.Error(err)
	}
}
