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

// Folder keeps content on disk under its digest. Nothing leaves it whose digest is wrong.
type Folder struct {
	mu   sync.Mutex
	dir  string
	keep *Keep
}

// OpenFolder takes up what a folder holds. Files whose names are no digests are left alone.
func OpenFolder(dir string, most int64) (*Folder, error) {
	if err := os.MkdirAll(filepath.Join(dir, "sha256"), 0o750); err != nil {
		return nil, fmt.Errorf("content folder: %w", err)
	}
	f := &Folder{dir: dir, keep: NewKeep(most)}
	entries, err := os.ReadDir(filepath.Join(dir, "sha256"))
	if err != nil {
		return nil, fmt.Errorf("content folder: %w", err)
	}
	for _, e := range entries {
		d := digest.NewDigestFromEncoded(digest.SHA256, e.Name())
		info, err := e.Info()
		if d.Validate() != nil || err != nil {
			continue
		}
		if _, ok := f.keep.Add(d, info.Size(), seconds(info.ModTime())); !ok {
			os.Remove(f.path(d)) // the bound was lowered
		}
	}
	return f, nil
}

func seconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

func (f *Folder) path(d digest.Digest) string {
	return filepath.Join(f.dir, d.Algorithm().String(), d.Encoded())
}

// Get reads content; false where it is not held. What has turned wrong on disk is let go and counts as not held.
func (f *Folder) Get(d digest.Digest) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Validate() != nil || !f.keep.Has(d, seconds(time.Now())) {
		return nil, false
	}
	data, err := os.ReadFile(f.path(d))
	if err != nil || digest.FromBytes(data) != d {
		f.drop(d)
		return nil, false
	}
	return data, true
}

func (f *Folder) drop(d digest.Digest) {
	f.keep.Drop(d)
	os.Remove(f.path(d))
}

// ErrWrong tells that content has another digest than it was asked for by.
var ErrWrong = errors.New("content has another digest")

// Put keeps content. It is turned away where its digest is wrong or there is no room for it.
func (f *Folder) Put(d digest.Digest, data []byte) error {
	if err := d.Validate(); err != nil {
		return err
	}
	if got := digest.FromBytes(data); got != d {
		return fmt.Errorf("%w: %s, not %s", ErrWrong, got, d)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	gone, ok := f.keep.Add(d, int64(len(data)), seconds(time.Now()))
	if !ok {
		return fmt.Errorf("content folder: no room for %d bytes of %s", len(data), d)
	}
	for _, g := range gone {
		os.Remove(f.path(g))
	}
	if err := renameio.WriteFile(f.path(d), data, 0o640); err != nil {
		f.keep.Drop(d)
		return fmt.Errorf("content folder: %w", err)
	}
	return nil
}

// Pin says which content must not go.
func (f *Folder) Pin(needed []digest.Digest) {
	f.mu.Lock()
	f.keep.Pin(needed)
	f.mu.Unlock()
}

// Size is the bytes held.
func (f *Folder) Size() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keep.Size()
}

// Scrub checks the piece that was checked longest ago, if that is at least every seconds; it tells which, "" for
// none, and whether it was right. Wrong content is let go.
func (f *Folder) Scrub(every float64) (d digest.Digest, right bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := seconds(time.Now())
	if d = f.keep.Scrub(now, every); d == "" {
		return "", true
	}
	data, err := os.ReadFile(f.path(d))
	right = err == nil && digest.FromBytes(data) == d
	f.keep.Checked(d, right, now)
	if !right {
		os.Remove(f.path(d))
	}
	return d, right
}
