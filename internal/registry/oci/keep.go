// Package oci reads versions of functions from a registry that speaks the OCI distribution specification, and keeps
// content by digest in a bounded folder. keep.go decides without I/O what stays and what is looked at; folder.go has
// the disk, client.go the network.
package oci

import (
	"slices"

	"github.com/opencontainers/go-digest"
)

// Item is one piece of content that is kept.
type Item struct {
	Digest  digest.Digest
	Size    int64
	Used    float64 // when it was last read
	Checked float64 // when its digest was last found right
	Pinned  bool    // a version in use needs it
}

// Keep decides what a folder of at most so many bytes holds. Its calls bring the time in seconds.
type Keep struct {
	Most  int64
	items map[digest.Digest]*Item
	size  int64
}

// NewKeep makes an empty one.
func NewKeep(most int64) *Keep { return &Keep{Most: most, items: map[digest.Digest]*Item{}} }

// Size is the bytes held.
func (k *Keep) Size() int64 { return k.size }

// Has tells whether content is held, and marks it as used.
func (k *Keep) Has(d digest.Digest, now float64) bool {
	i := k.items[d]
	if i != nil {
		i.Used = max(i.Used, now)
	}
	return i != nil
}

// Add takes content in and tells what has to go for it, the longest unused first; pinned content never goes. ok is
// false, and nothing changes, where there is no room.
func (k *Keep) Add(d digest.Digest, size int64, now float64) (gone []digest.Digest, ok bool) {
	if k.items[d] != nil {
		k.items[d].Used = now
		return nil, true
	}
	free := k.Most - k.size
	for _, i := range k.order() {
		if free >= size {
			break
		}
		if !i.Pinned {
			gone = append(gone, i.Digest)
			free += i.Size
		}
	}
	if free < size {
		return nil, false
	}
	for _, g := range gone {
		k.Drop(g)
	}
	k.items[d] = &Item{Digest: d, Size: size, Used: now, Checked: now}
	k.size += size
	return gone, true
}

// Drop lets content go.
func (k *Keep) Drop(d digest.Digest) {
	if i := k.items[d]; i != nil {
		k.size -= i.Size
		delete(k.items, d)
	}
}

// Pin says which content versions in use need; all other is free to go.
func (k *Keep) Pin(needed []digest.Digest) {
	for _, i := range k.items {
		i.Pinned = false
	}
	for _, d := range needed {
		if i := k.items[d]; i != nil {
			i.Pinned = true
		}
	}
}

// Scrub is the content whose digest was checked longest ago, if that is at least so long; "" for none.
func (k *Keep) Scrub(now, every float64) digest.Digest {
	var oldest *Item
	for _, i := range k.order() {
		if now-i.Checked >= every && (oldest == nil || i.Checked < oldest.Checked) {
			oldest = i
		}
	}
	if oldest == nil {
		return ""
	}
	return oldest.Digest
}

// Checked notes what a scrub found; wrong content is let go.
func (k *Keep) Checked(d digest.Digest, right bool, now float64) {
	if i := k.items[d]; i != nil && right {
		i.Checked = now
	} else if i != nil {
		k.Drop(d)
	}
}

// order is by last use, then by digest, so that the same calls let the same content go.
func (k *Keep) order() []*Item {
	list := make([]*Item, 0, len(k.items))
	for _, i := range k.items {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b *Item) int {
		switch {
		case a.Used < b.Used:
			return -1
		case a.Used > b.Used:
			return 1
		case a.Digest < b.Digest:
			return -1
		}
		return 1
	})
	return list
}
