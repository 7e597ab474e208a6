package stablehash

import "testing"

// The values are what clients and registries in use have computed: another value would move requests to another front
// end or to the other side of a rollout.
func TestPairIsStable(t *testing.T) {
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
		t.Error("the strings run into each other")
	}
}
