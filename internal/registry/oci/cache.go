package oci

import (
	"cmp"
	"slices"

	"github.com/opencontainers/go-digest"
)

// cacheEntry describes one piece of cached content. Times are in seconds.
type cacheEntry struct {
	digest     digest.Digest
	size       int64
	lastUsed   float64
	verifiedAt float64 // last successful verification of the digest
	pinned     bool    // must not be evicted
}

// contentCache is the LRU index of a folder that holds at most maxBytes. It does no I/O, and its caller passes the time in
// seconds.
type contentCache struct {
	maxBytes int64
	size     int64 // total size of the entries in bytes
	entries  map[digest.Digest]*cacheEntry
}

func newContentCache(maxBytes int64) *contentCache {
	return &contentCache{maxBytes: maxBytes, entries: map[digest.Digest]*cacheEntry{}}
}

// touch marks content as used now. It reports whether the content is cached.
func (c *contentCache) touch(d digest.Digest, now float64) bool {
	entry := c.entries[d]
	if entry != nil {
		entry.lastUsed = max(entry.lastUsed, now)
	}
	return entry != nil
}

// add adds content and returns what it evicted, least recently used first. Pinned content is never evicted. If the capacity
// does not suffice, add changes nothing and ok is false.
func (c *contentCache) add(d digest.Digest, size int64, now float64) (evicted []digest.Digest, ok bool) {
	if entry := c.entries[d]; entry != nil {
		entry.lastUsed = now
		return nil, true
	}
	free := c.maxBytes - c.size
	for _, entry := range c.leastRecentlyUsed() {
		if free >= size {
			break
		}
		if !entry.pinned {
			evicted = append(evicted, entry.digest)
			free += entry.size
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
	if entry := c.entries[d]; entry != nil {
		c.size -= entry.size
		delete(c.entries, d)
	}
}

// pin pins the given content and unpins all other.
func (c *contentCache) pin(digests []digest.Digest) {
	for _, entry := range c.entries {
		entry.pinned = false
	}
	for _, d := range digests {
		if entry := c.entries[d]; entry != nil {
			entry.pinned = true
		}
	}
}

// oldestVerified returns the content with the oldest verification, or "" if none is at least minAge seconds old.
func (c *contentCache) oldestVerified(now, minAge float64) digest.Digest {
	var oldest *cacheEntry
	for _, entry := range c.leastRecentlyUsed() {
		if now-entry.verifiedAt >= minAge && (oldest == nil || entry.verifiedAt < oldest.verifiedAt) {
			oldest = entry
		}
	}
	if oldest == nil {
		return ""
	}
	return oldest.digest
}

// markVerified records a successful verification of content.
func (c *contentCache) markVerified(d digest.Digest, now float64) {
	if entry := c.entries[d]; entry != nil {
		entry.verifiedAt = now
	}
}

// leastRecentlyUsed returns the entries ordered by last use. Ties are ordered by digest, which makes evictions
// deterministic.
func (c *contentCache) leastRecentlyUsed() []*cacheEntry {
	list := make([]*cacheEntry, 0, len(c.entries))
	for _, entry := range c.entries {
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b *cacheEntry) int {
		return cmp.Or(cmp.Compare(a.lastUsed, b.lastUsed), cmp.Compare(a.digest, b.digest))
	})
	return list
}
