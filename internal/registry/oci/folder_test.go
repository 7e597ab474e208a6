package oci

import (
	"bytes"
	"testing"

	"github.com/opencontainers/go-digest"
)

func TestFolder_BoundedAndReopened(t *testing.T) {
	dir := t.TempDir()
	f, err := OpenFolder(dir, 100)
	if err != nil {
		t.Fatal(err)
	}
	put := func(text string, n int) digest.Digest {
		data := bytes.Repeat([]byte(text), n)
		if err := f.Put(digest.FromBytes(data), data); err != nil {
			t.Fatal(err)
		}
		return digest.FromBytes(data)
	}
	a, b := put("a", 40), put("b", 40)
	f.Pin([]digest.Digest{a})
	put("c", 50)
	if _, held := f.Get(b); held || f.Size() != 90 {
		t.Error("the unpinned one had to go: ", f.Size())
	}
	if err := f.Put(digest.FromBytes(make([]byte, 70)), make([]byte, 70)); err == nil {
		t.Error("pinned content went")
	}
	if f, err = OpenFolder(dir, 100); err != nil || f.Size() != 90 {
		t.Error(err, f.Size())
	}
	if _, held := f.Get(a); !held {
		t.Error("lost over a restart")
	}
}
