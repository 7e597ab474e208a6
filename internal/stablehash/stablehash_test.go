package stablehash

import "testing"

// The values must not change: clients and registries in use rely on them to select a front end or the side of a rollout.
func TestPair_StableValues(t *testing.T) {
	for _, c := range []struct {
		first, second string
		want          uint64
	}{
		{"", "", 0x9091d6076e1fa1e5},
		{"shop-001", "/till/7#1", 0x5e74cc517f4c90b7},
		{"127.0.0.1:8080", "0_0_1_1_*/price-reset/shop-001@minato/2026-12-01T12:00Z", 0x9622c89b89385bfe},
	} {
		if got := Pair(c.first, c.second); got != c.want {
			t.Errorf("%q, %q: %#x, want %#x", c.first, c.second, got, c.want)
		}
	}
	if Pair("ab", "c") == Pair("a", "bc") {
		t.Error("the boundary between the strings is not hashed")
	}
}
