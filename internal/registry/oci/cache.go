package oci

import (
	"cmp"
	"slices"

	"github.com/opencontainers/go-digest"
)

// cacheEntry is the index entry of one cached blob or manifest. Times are in seconds.
type cacheEntry struct {
	digest     digest.Digest
	size       int64
	lastUsed   float64
	verifiedAt float64 // last successful verification of the digest
	pinned     bool    // must not be evicted
}

// contentCache is the LRU index of a folder that holds at most maxBytes. It does no I/O and reads no clock: callers pass the
// current time in seconds.
type contentCache struct {
	maxBytes int64
	size     int64 // total size of the entries in bytes
	entries  map[digest.Digest]*cacheEntry
}

func newContentCache(maxBytes int64) *contentCache {
	return &contentCache{maxBytes: maxBytes, entries: map[digest.Digest]*cacheEntry{}}
}

// touch updates the time of last use of content, and reports whether the content is cached.
func (c *contentCache) touch(d digest.Digest, now float64) bool {
	entry := c.entries[d]
	if entry != nil {
		entry.lastUsed = max(entry.lastUsed, now)
	}
	return entry != nil
}

// add adds content and returns the digests that it evicted, least recently used first. It never evicts pinned content. If
// evicting everything else would not free enough space, add changes nothing and ok is false.
func (c *contentCache) add(d digest.Digest, size int64, now float64) (evicted []digest.Digest, ok bool) {
	if entry := c.entries[d]; entry != nil {
		entry.lastUsed = now
		return nil, true
	}
	free := c.maxBytes - c.size
	for _, entry := range c.entriesByLastUse() {
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

// pin pins the given content and unpins all other content.
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

// leastRecentlyVerified returns the content that has gone longest without verification, or "" if all content was verified
// less than minAge seconds ago.
func (c *contentCache) leastRecentlyVerified(now, minAge float64) digest.Digest {
	var oldest *cacheEntry
	for _, entry := range c.entriesByLastUse() {
		if now-entry.verifiedAt >= minAge && (oldest == nil || entry.verifiedAt < oldest.verifiedAt) {
			oldest = entry
		}
	}
	if oldest == nil {
		return ""
	}
	return oldest.digest
}

// markVerified records that content was verified at now.
func (c *contentCache) markVerified(d digest.Digest, now float64) {
	if entry := c.entries[d]; entry != nil {
		entry.verifiedAt = now
	}
}

// entriesByLastUse returns the entries, least recently used first. Ties are broken by digest, which makes evictions
// deterministic.
func (c *contentCache) entriesByLastUse() []*cacheEntry {
	list := make([]*cacheEntry, 0, len(c.entries))
	for _, entry := range c.entries {
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b *cacheEntry) int {
		return cmp.Or(cmp.Compare(a.lastUsed, b.lastUsed), cmp.Compare(a.digest, b.digest))
	})
	return list
}
