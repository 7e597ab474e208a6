package oci

import (
	"testing"

	"github.com/opencontainers/go-digest"
	"pgregory.net/rapid"
)

const modelCapacity = 100 // capacity of the cache in the model test, in bytes

// modelEntry is one cached item in the model.
type modelEntry struct {
	size     int64
	lastUsed float64
	pinned   bool
}

// cacheModel is a reference model of a contentCache.
type cacheModel map[digest.Digest]*modelEntry

// add adds content to the cache and checks the evictions against the model.
func (m cacheModel) add(t *rapid.T, c *contentCache, d digest.Digest, size int64, now float64) {
	if m[d] != nil {
		size = m[d].size
	}
	evicted, ok := c.add(d, size, now)
	lastEvictedUse := 0.0
	for _, e := range evicted {
		if m[e] == nil || m[e].pinned {
			t.Fatal("evicted pinned or unknown content")
		}
		lastEvictedUse = max(lastEvictedUse, m[e].lastUsed)
		delete(m, e)
	}
	for _, retained := range m {
		if len(evicted) > 0 && !retained.pinned && retained.lastUsed < lastEvictedUse {
			t.Fatal("evicted content that was used more recently than retained content")
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

func (m cacheModel) touch(t *rapid.T, c *contentCache, d digest.Digest, now float64) {
	if c.touch(d, now) != (m[d] != nil) {
		t.Fatalf("%s cached: %v, in the model: %v", d, m[d] == nil, m[d] != nil)
	}
	if m[d] != nil {
		m[d].lastUsed = now
	}
}

func (m cacheModel) pin(c *contentCache, d digest.Digest) {
	c.pin([]digest.Digest{d})
	for other, entry := range m {
		entry.pinned = other == d
	}
}

func (m cacheModel) size() int64 {
	sum := int64(0)
	for _, entry := range m {
		sum += entry.size
	}
	return sum
}

// Under random sequences of calls, the cache never exceeds its capacity, never evicts pinned content, and evicts the least
// recently used content first.
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
				model.touch(t, cache, d, now)
			case 3:
				model.pin(cache, d)
			}
			if sum := model.size(); sum != cache.size || sum > modelCapacity {
				t.Fatalf("cache has %d bytes, model has %d", cache.size, sum)
			}
		}
	})
}
