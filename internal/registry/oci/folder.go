package oci

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"github.com/opencontainers/go-digest"
)

// ErrDigestMismatch reports that content has another digest than it was asked for by.
var ErrDigestMismatch = errors.New("content has another digest")

// Folder keeps content on disk under its digest. Content whose digest is wrong is never returned. It may be used by
// several goroutines.
type Folder struct {
	mu    sync.Mutex
	dir   string
	cache *contentCache
}

// OpenFolder makes a folder of at most maxBytes or takes up what it holds. Files whose names are no digests are left
// alone.
func OpenFolder(dir string, maxBytes int64) (*Folder, error) {
	contentDir := filepath.Join(dir, digest.SHA256.String())
	if err := os.MkdirAll(contentDir, 0o750); err != nil {
		return nil, fmt.Errorf("content folder: %w", err)
	}
	f := &Folder{dir: dir, cache: newContentCache(maxBytes)}
	entries, err := os.ReadDir(contentDir)
	if err != nil {
		return nil, fmt.Errorf("content folder: %w", err)
	}
	for _, entry := range entries {
		d := digest.NewDigestFromEncoded(digest.SHA256, entry.Name())
		info, err := entry.Info()
		if d.Validate() != nil || err != nil {
			continue
		}
		if _, ok := f.cache.add(d, info.Size(), unixSeconds(info.ModTime())); !ok {
			f.removeFile(d) // the bound was lowered
		}
	}
	return f, nil
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

func (f *Folder) path(d digest.Digest) string {
	return filepath.Join(f.dir, d.Algorithm().String(), d.Encoded())
}

// removeFile removes a file whose content is not held any more.
func (f *Folder) removeFile(d digest.Digest) {
	_ = os.Remove(f.path(d)) // a file that stays is taken up, and checked, when the folder is opened next
}

// Get reads content; false where it is not held. Content that has turned wrong on disk is removed and counts as not held.
func (f *Folder) Get(d digest.Digest) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Validate() != nil || !f.cache.touch(d, unixSeconds(time.Now())) {
		return nil, false
	}
	data, ok := f.read(d)
	if !ok {
		f.cache.remove(d)
		f.removeFile(d)
		return nil, false
	}
	return data, true
}

// read returns content from the disk, and whether it can be read and its digest is right.
func (f *Folder) read(d digest.Digest) (data []byte, ok bool) {
	data, err := os.ReadFile(f.path(d))
	return data, err == nil && digest.FromBytes(data) == d
}

// Put keeps content. It is rejected where its digest is wrong or there is no room for it.
func (f *Folder) Put(d digest.Digest, data []byte) error {
	if err := d.Validate(); err != nil {
		return err
	}
	if actual := digest.FromBytes(data); actual != d {
		return fmt.Errorf("%w: %s, not %s", ErrDigestMismatch, actual, d)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	evicted, ok := f.cache.add(d, int64(len(data)), unixSeconds(time.Now()))
	if !ok {
		return fmt.Errorf("content folder: no room for %d bytes of %s", len(data), d)
	}
	for _, e := range evicted {
		f.removeFile(e)
	}
	if err := renameio.WriteFile(f.path(d), data, 0o640); err != nil {
		f.cache.remove(d)
		return fmt.Errorf("content folder: %w", err)
	}
	return nil
}

// Pin protects content that is needed from eviction; all other may be evicted.
func (f *Folder) Pin(needed []digest.Digest) {
	f.mu.Lock()
	f.cache.pin(needed)
	f.mu.Unlock()
}

// Size returns the bytes held.
func (f *Folder) Size() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.size
}

// VerifyOldest checks the content that was verified longest ago, if that is at least minAge seconds; it returns which,
// "" for none, and whether it was right. Wrong content is removed.
func (f *Folder) VerifyOldest(minAge float64) (d digest.Digest, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := unixSeconds(time.Now())
	if d = f.cache.oldestVerified(now, minAge); d == "" {
		return "", true
	}
	_, ok = f.read(d)
	f.cache.verified(d, ok, now)
	if !ok {
		f.removeFile(d)
	}
	return d, ok
}
