package eventloop

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// watcher reads a file when it changes, and now and then without a sign of change, since a sign can be missed.
type watcher struct {
	w    *fsnotify.Watcher
	stop chan struct{}
}

// watchFile calls read with the file's content at once and whenever it differs from the last. It watches the
// folder: files are replaced by renaming.
func watchFile(path string, read func([]byte, error)) (*watcher, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	if err := w.Add(filepath.Dir(path)); err != nil {
		w.Close()
		return nil, err
	}
	last, err := os.ReadFile(path)
	if err != nil {
		w.Close()
		return nil, err
	}
	read(last, nil)
	f := &watcher{w: w, stop: make(chan struct{})}
	go func() {
		resync := time.NewTicker(resyncEvery)
		defer resync.Stop()
		failed := false
		for {
			select {
			case <-f.stop:
				return
			case e, ok := <-w.Events:
				if !ok {
					return
				}
				if filepath.Base(e.Name) != filepath.Base(path) {
					continue
				}
			case <-w.Errors: // an overflow: the reading below makes up for it
			case <-resync.C:
			}
			data, err := os.ReadFile(path)
			if err != nil && failed || err == nil && bytes.Equal(data, last) {
				continue
			}
			if failed = err != nil; !failed {
				last = data
			}
			read(data, err)
		}
	}()
	return f, nil
}

func (f *watcher) close() {
	close(f.stop)
	f.w.Close()
}
