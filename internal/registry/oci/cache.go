package oci

import (
	"cmp"
	"slices"

	"github.com/opencontainers/go-digest"
)

// cacheEntry is one piece of content that is kept. Times are in seconds.
type cacheEntry struct {
	digest     digest.Digest
	size       int64
	lastUsed   float64
	verifiedAt float64 // when its digest was last found right
	pinned     bool    // a version in use needs it
}

// contentCache decides what a folder of at most maxBytes holds: a cache that evicts the least recently used content. It
// has no I/O and no clock; its calls bring the time in seconds.
type contentCache struct {
	maxBytes int64
	size     int64
	entries  map[digest.Digest]*cacheEntry
}

func newContentCache(maxBytes int64) *contentCache {
	return &contentCache{maxBytes: maxBytes, entries: map[digest.Digest]*cacheEntry{}}
}

// touch reports whether content is held, and marks it as used.
func (c *contentCache) touch(d digest.Digest, now float64) bool {
	item := c.entries[d]
	if item != nil {
		item.lastUsed = max(item.lastUsed, now)
	}
	return item != nil
}

// add takes content in and returns what is evicted for it, the least recently used first; pinned content never is. ok is
// false, and nothing changes, where there is no room.
func (c *contentCache) add(d digest.Digest, size int64, now float64) (evicted []digest.Digest, ok bool) {
	if item := c.entries[d]; item != nil {
		item.lastUsed = now
		return nil, true
	}
	free := c.maxBytes - c.size
	for _, item := range c.leastRecentlyUsed() {
		if free >= size {
			break
		}
		if !item.pinned {
			evicted = append(evicted, item.digest)
			free += item.size
		}
	}
	if free < size {
		return nil, false
	}
	for _, e := range evicted {
		c.remove(e)
	}
	c.entries[d] = &cacheEntry{digest: d, size: size, lastUsed: now, verifiedAt: now}
	c.size += size
	return evicted, true
}

func (c *contentCache) remove(d digest.Digest) {
	if item := c.entries[d]; item != nil {
		c.size -= item.size
		delete(c.entries, d)
	}
}

// pin protects the content that versions in use need; all other may be evicted.
func (c *contentCache) pin(needed []digest.Digest) {
	for _, item := range c.entries {
		item.pinned = false
	}
	for _, d := range needed {
		if item := c.entries[d]; item != nil {
			item.pinned = true
		}
	}
}

// oldestVerified returns the content whose digest was verified longest ago, if that is at least minAge; "" for none.
func (c *contentCache) oldestVerified(now, minAge float64) digest.Digest {
	var oldest *cacheEntry
	for _, item := range c.leastRecentlyUsed() {
		if now-item.verifiedAt >= minAge && (oldest == nil || item.verifiedAt < oldest.verifiedAt) {
			oldest = item
		}
	}
	if oldest == nil {
		return ""
	}
	return oldest.digest
}

// verified notes whether content was found right; wrong content is removed.
func (c *contentCache) verified(d digest.Digest, ok bool, now float64) {
	item := c.entries[d]
	switch {
	case item == nil:
	case ok:
		item.verifiedAt = now
	default:
		c.remove(d)
	}
}

// leastRecentlyUsed orders by last use, then by digest, so that the same calls evict the same content.
func (c *contentCache) leastRecentlyUsed() []*cacheEntry {
	list := make([]*cacheEntry, 0, len(c.entries))
	for _, item := range c.entries {
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b *cacheEntry) int {
		return cmp.Or(cmp.Compare(a.lastUsed, b.lastUsed), cmp.Compare(a.digest, b.digest))
	})
	return list
}
