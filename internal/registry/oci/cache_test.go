package oci

import (
	"testing"

	"github.com/opencontainers/go-digest"
	"pgregory.net/rapid"
)

const modelCapacity = 100 // that the cache of the model test holds

// modelEntry is content as the model of the cache has it.
type modelEntry struct {
	size     int64
	lastUsed float64
	pinned   bool
}

type cacheModel map[digest.Digest]*modelEntry

// add compares what the cache evicts for content with the model.
func (m cacheModel) add(t *rapid.T, c *contentCache, d digest.Digest, size int64, now float64) {
	if m[d] != nil {
		size = m[d].size
	}
	evicted, ok := c.add(d, size, now)
	newest := 0.0
	for _, e := range evicted {
		if m[e] == nil || m[e].pinned {
			t.Fatal("pinned or unknown content was evicted")
		}
		newest = max(newest, m[e].lastUsed)
		delete(m, e)
	}
	for _, kept := range m {
		if len(evicted) > 0 && !kept.pinned && kept.lastUsed < newest {
			t.Fatal("something used longer ago stayed")
		}
	}
	if !ok {
		return
	}
	if m[d] == nil {
		m[d] = &modelEntry{size: size}
	}
	m[d].lastUsed = now
}

func (m cacheModel) use(t *rapid.T, c *contentCache, d digest.Digest, now float64) {
	if c.touch(d, now) != (m[d] != nil) {
		t.Fatalf("%s is held: %v, in the model: %v", d, m[d] == nil, m[d] != nil)
	}
	if m[d] != nil {
		m[d].lastUsed = now
	}
}

func (m cacheModel) pin(c *contentCache, d digest.Digest) {
	c.pin([]digest.Digest{d})
	for other, item := range m {
		item.pinned = other == d
	}
}

func (m cacheModel) size() int64 {
	sum := int64(0)
	for _, item := range m {
		sum += item.size
	}
	return sum
}

// The bound holds whatever comes, pinned content is never evicted, and what is evicted was used longest ago.
func TestContentCache_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := newContentCache(modelCapacity)
		model := cacheModel{}
		for now := 1.0; now < 60; now++ {
			d := digest.FromString(string(rune('a' + rapid.IntRange(0, 9).Draw(t, "content"))))
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				model.add(t, cache, d, int64(rapid.IntRange(1, 60).Draw(t, "size")), now)
			case 2:
				model.use(t, cache, d, now)
			case 3:
				model.pin(cache, d)
			}
			if sum := model.size(); sum != cache.size || sum > modelCapacity {
				t.Fatalf("%d bytes, the model has %d", cache.size, sum)
			}
		}
	})
}
