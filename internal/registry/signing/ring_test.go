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

// newKey returns a key pair whose seed is derived from the first letter of its ID.
func newKey(t *testing.T, id string) ([]byte, Key) {
	t.Helper()
	private, k, err := NewKey(id, bytes.Repeat([]byte(id[:1]), 32))
	if err != nil {
		t.Fatal(err)
	}
	return private, k
}

func newRing(t *testing.T, threshold int, keys ...Key) *Ring {
	t.Helper()
	data, err := json.Marshal(Ring{threshold, keys})
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
	oldPrivate, oldKey := newKey(t, "old")
	freshPrivate, freshKey := newKey(t, "fresh")
	signedByOld := mustSign(t, "old", oldPrivate, "tally", "1.0", manifestDigest)
	signedByFresh := mustSign(t, "fresh", freshPrivate, "tally", "1.0", manifestDigest)
	expiring, upcoming, revoked, restricted := oldKey, freshKey, oldKey, oldKey
	expiring.ValidUntil, upcoming.ValidFrom = rotationTime, rotationTime
	revoked.Revoked, restricted.FunctionPatterns = true, []string{"shop-*"}
	forged := bytes.Replace(signedByOld, []byte(`"old"`), []byte(`"fresh"`), 1)
	rotation := newRing(t, 1, expiring, upcoming)
	for name, c := range map[string]struct {
		ring      *Ring
		now       time.Time
		envelopes [][]byte
		want      string // key IDs, or part of the error
		ok        bool
	}{
		"known key":                              {newRing(t, 1, oldKey), rotationTime, [][]byte{signedByOld}, "old", true},
		"no signature":                           {newRing(t, 1, oldKey), rotationTime, nil, "0 of 1", false},
		"unknown key":                            {newRing(t, 1, freshKey), rotationTime, [][]byte{signedByOld}, `"old" is not in the ring`, false},
		"signature under another key ID":         {newRing(t, 1, oldKey, freshKey), rotationTime, [][]byte{forged}, "signature 1", false},
		"revoked key":                            {newRing(t, 1, revoked), rotationTime, [][]byte{signedByOld}, "revoked", false},
		"key for other functions":                {newRing(t, 1, restricted), rotationTime, [][]byte{signedByOld}, "may not sign for tally", false},
		"rotation, old key before the rotation":  {rotation, rotationTime.Add(-time.Hour), [][]byte{signedByOld}, "old", true},
		"rotation, new key before the rotation":  {rotation, rotationTime.Add(-time.Hour), [][]byte{signedByFresh}, "not valid", false},
		"rotation, old key after the rotation":   {rotation, rotationTime, [][]byte{signedByOld}, "not valid", false},
		"rotation, both keys after the rotation": {rotation, rotationTime, [][]byte{signedByOld, signedByFresh}, "fresh", true},
		"threshold two, one key twice":           {newRing(t, 2, oldKey, freshKey), rotationTime, [][]byte{signedByOld, signedByOld}, "1 of 2", false},
		"threshold two, two keys":                {newRing(t, 2, oldKey, freshKey), rotationTime, [][]byte{signedByFresh, signedByOld}, "fresh old", true},
		"other version":                          {newRing(t, 1, oldKey), rotationTime, [][]byte{mustSign(t, "old", oldPrivate, "tally", "1.1", manifestDigest)}, "statement does not match", false},
		"other function":                         {newRing(t, 1, oldKey), rotationTime, [][]byte{mustSign(t, "old", oldPrivate, "count", "1.0", manifestDigest)}, "statement does not match", false},
		"other digest":                           {newRing(t, 1, oldKey), rotationTime, [][]byte{mustSign(t, "old", oldPrivate, "tally", "1.0", digest.FromString("x"))}, "statement does not match", false},
		"malformed envelope":                     {newRing(t, 1, oldKey), rotationTime, [][]byte{[]byte("{")}, "signature 1", false},
		"envelope too large":                     {newRing(t, 1, oldKey), rotationTime, [][]byte{bytes.Repeat([]byte("x"), maxEnvelopeBytes+1)}, "exceeds the limit", false},
	} {
		t.Run(name, func(t *testing.T) {
			ids, err := c.ring.Verify(c.now, "tally", "1.0", manifestDigest, c.envelopes)
			switch {
			case c.ok && (err != nil || strings.Join(ids, " ") != c.want):
				t.Errorf("signed by %v, error %v", ids, err)
			case !c.ok && (!errors.Is(err, ErrUntrusted) || !strings.Contains(err.Error(), c.want)):
				t.Errorf("error %v, want ErrUntrusted with %s", err, c.want)
			}
		})
	}
}

// Without signatures there are no reasons to append to the error, which must still be formatted correctly.
func TestRing_VerifyWithoutSignatures(t *testing.T) {
	_, key := newKey(t, "a")
	_, err := newRing(t, 1, key).Verify(rotationTime, "tally", "1.0", manifestDigest, nil)
	if !errors.Is(err, ErrUntrusted) || strings.Contains(err.Error(), "%!") {
		t.Error(err)
	}
}

// A published version is trusted while enough of its keys are in the ring and not revoked, even if they have expired.
func TestRing_IsTrusted(t *testing.T) {
	_, expired := newKey(t, "old")
	_, revoked := newKey(t, "fresh")
	expired.ValidUntil = rotationTime
	revoked.Revoked = true
	ring := newRing(t, 1, expired, revoked)
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
		t.Run("signed by "+c.ids, func(t *testing.T) {
			if ring.IsTrusted(strings.Fields(c.ids)) != c.want {
				t.Errorf("signed by %q: want trusted %v", c.ids, c.want)
			}
		})
	}
}

// An envelope with one flipped bit in its payload or signature must be rejected.
func TestRing_VerifyTamperedEnvelope(t *testing.T) {
	private, key := newKey(t, "old")
	envelope := mustSign(t, "old", private, "tally", "1.0", manifestDigest)
	for i := range envelope {
		tampered := bytes.Clone(envelope)
		tampered[i] ^= 1
		ids, err := newRing(t, 1, key).Verify(rotationTime, "tally", "1.0", manifestDigest, [][]byte{tampered})
		if err == nil && !decodeEqual(envelope, tampered) {
			t.Fatalf("byte %d changed, signature by %v still accepted:\n%s", i, ids, tampered)
		}
	}
}

// decodedEnvelope is the decoded content of an envelope.
type decodedEnvelope struct {
	Payload    []byte `json:"payload"`
	Type       string `json:"payloadType"`
	Signatures []struct {
		KeyID string `json:"keyid"`
		Sig   []byte `json:"sig"`
	} `json:"signatures"`
}

// decodeEqual reports whether two envelopes decode to the same content. Such envelopes can still differ in the padding bits
// of base64 text and in the letter case of JSON field names.
func decodeEqual(a, b []byte) bool {
	decode := func(data []byte) (envelope decodedEnvelope) {
		_ = json.Unmarshal(data, &envelope) // for malformed JSON, compares the fields decoded before the error
		return envelope
	}
	return reflect.DeepEqual(decode(a), decode(b))
}

func TestReadRing_ErrorsHavePointers(t *testing.T) {
	_, k := newKey(t, "a")
	invalid := Key{ID: "b", PublicKey: "no key", ValidFrom: rotationTime, ValidUntil: rotationTime, FunctionPatterns: []string{"["}}
	data, _ := json.Marshal(Ring{3, []Key{k, k, invalid}})
	_, err := ReadRing(data)
	for _, want := range []string{"/keys/1/id", "/keys/2/public_key", "/keys/2/until", "/keys/2/functions/0"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not contain %s", err, want)
		}
	}
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Pointer != "/keys/1/id" {
		t.Errorf("first field error is %+v", fieldError)
	}
	if _, err := ReadRing([]byte(`{"need":1,"keys":[{"id":"a","revokd":true}]}`)); err == nil || !strings.Contains(err.Error(), "revokd") {
		t.Error("misspelled field accepted: ", err)
	}
	if _, err := ReadRing([]byte(`{"need":2,"keys":[]}`)); err == nil || !strings.Contains(err.Error(), "/need") {
		t.Error(err)
	}
}
