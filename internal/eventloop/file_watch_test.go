package eventloop

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The watch must not use inotify. With inotify, appliances on a busy machine kept serving for more than 15 s after they were
// told to stop: a stop first closes the watch of the endpoint list, and the kernel took 33 s to close an inotify descriptor, in
// four processes at the same time. A program that opened and closed inotify descriptors during the soak test reproduced this:
// one close in 500 of each process hung.
func TestWatchFile_OpensNoInotifyDescriptor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "workers.json")
	replaceFile(t, path, "first")
	reads := make(chan string, 10)
	watch, err := watchFile(path, func(data []byte, _ error) { reads <- string(data) })
	if err != nil {
		t.Fatal(err)
	}
	defer watch.close()
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, descriptor := range descriptors {
		if target, err := os.Readlink("/proc/self/fd/" + descriptor.Name()); err == nil && strings.Contains(target, "inotify") {
			t.Errorf("descriptor %s is %s", descriptor.Name(), target)
		}
	}
	wantText(t, reads, "first")
	replaceFile(t, path, "other")
	wantText(t, reads, "other")
}

// A file is read again after it is replaced, and within rereadInterval after it is written in place with its modification
// time unchanged.
func TestWatchFile_ReadsChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "workers.json")
	replaceFile(t, path, "a")
	reads := make(chan string, 10)
	watch, err := watchFile(path, func(data []byte, err error) {
		if err != nil {
			data = []byte("error")
		}
		reads <- string(data)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer watch.close()
	wantText(t, reads, "a")
	replaceFile(t, path, "b")
	wantText(t, reads, "b")
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	overwrite(t, path, "c")
	if err := os.Chtimes(path, time.Time{}, info.ModTime()); err != nil {
		t.Fatal(err)
	}
	wantText(t, reads, "c")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	wantText(t, reads, "error")
	replaceFile(t, path, "c")
	replaceFile(t, path, "d")
	wantText(t, reads, "d")
}

// overwrite writes content over the beginning of a file. Unlike os.WriteFile it does not empty the file first, which the watch
// would report if it read the file in between.
func overwrite(t *testing.T, path, content string) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.WriteString(content); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// replaceFile writes a new file and renames it to path.
func replaceFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}
