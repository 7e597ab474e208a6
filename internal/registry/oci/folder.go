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

// ErrDigestMismatch is returned by Put for content that does not have the expected digest.
var ErrDigestMismatch = errors.New("content digest mismatch")

// Folder is a content-addressed cache on disk. It verifies content on each read, and never returns content that does not
// match its digest. It is safe for concurrent use.
type Folder struct {
	mu    sync.Mutex
	dir   string
	cache *contentCache
}

// OpenFolder opens or creates a folder of at most maxBytes. For existing content, the modification time of the file serves
// as the time of last use. Files whose names are not digests are ignored.
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
			f.removeFile(d) // does not fit, as maxBytes is lower than before
		}
	}
	return f, nil
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

func (f *Folder) path(d digest.Digest) string {
	return filepath.Join(f.dir, d.Algorithm().String(), d.Encoded())
}

// removeFile deletes the file of content that is no longer in the index.
func (f *Folder) removeFile(d digest.Digest) {
	_ = os.Remove(f.path(d)) // a remaining file is harmless: OpenFolder indexes it again, and reads verify it
}

// Get returns cached content and reports whether it is present. It removes content that no longer matches its digest.
func (f *Folder) Get(d digest.Digest) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Validate() != nil || !f.cache.touch(d, unixSeconds(time.Now())) {
		return nil, false
	}
	data, ok := f.read(d)
	if !ok {
		f.discard(d)
		return nil, false
	}
	return data, true
}

// discard removes content from the index and from disk.
func (f *Folder) discard(d digest.Digest) {
	f.cache.remove(d)
	f.removeFile(d)
}

// read reads content from disk. ok is false if it can't be read or does not match its digest.
func (f *Folder) read(d digest.Digest) (data []byte, ok bool) {
	data, err := os.ReadFile(f.path(d))
	return data, err == nil && digest.FromBytes(data) == d
}

// Put stores content, and evicts other content if necessary. It returns an error if the content does not match its digest,
// or if evicting all content that is not pinned would not free enough space.
func (f *Folder) Put(d digest.Digest, data []byte) error {
	if err := d.Validate(); err != nil {
		return err
	}
	if actual := digest.FromBytes(data); actual != d {
		return fmt.Errorf("%w: got %s, want %s", ErrDigestMismatch, actual, d)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	evicted, ok := f.cache.add(d, int64(len(data)), unixSeconds(time.Now()))
	if !ok {
		return fmt.Errorf("content folder: cannot free enough space for the %d bytes of %s", len(data), d)
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

// Pin protects the given content from eviction, and unpins all other content.
func (f *Folder) Pin(digests []digest.Digest) {
	f.mu.Lock()
	f.cache.pin(digests)
	f.mu.Unlock()
}

// Size returns the total size of the content in bytes.
func (f *Folder) Size() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.size
}

// VerifyOldest verifies the content that has gone longest without verification, unless that is less than minAge seconds. It
// returns the digest and whether the content matches it, and removes content that does not. If there is nothing to verify,
// it returns "" and true.
func (f *Folder) VerifyOldest(minAge float64) (d digest.Digest, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := unixSeconds(time.Now())
	if d = f.cache.leastRecentlyVerified(now, minAge); d == "" {
		return "", true
	}
	if _, ok = f.read(d); ok {
		f.cache.markVerified(d, now)
	} else {
		f.discard(d)
	}
	return d, ok
}
