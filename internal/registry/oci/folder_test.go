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
	if _, cached := f.Get(b); cached || f.Size() != 90 {
		t.Error("unpinned content not evicted, size ", f.Size())
	}
	if err := f.Put(digest.FromBytes(make([]byte, 70)), make([]byte, 70)); err == nil {
		t.Error("Put succeeded although the content fits only if pinned content is evicted")
	}
	if f, err = OpenFolder(dir, 100); err != nil || f.Size() != 90 {
		t.Error(err, f.Size())
	}
	if _, cached := f.Get(a); !cached {
		t.Error("content missing after reopening")
	}
}
