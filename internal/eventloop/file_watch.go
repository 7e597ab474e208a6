package eventloop

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// rereadInterval is how often a watched file is read without a sign of change, since a sign can be missed.
const rereadInterval = 2 * time.Second

// fileWatch reads a file when it changes. It watches the directory: files are replaced by renaming.
type fileWatch struct {
	path    string
	last    []byte // content that was handed on last
	failed  bool   // the last reading failed, which was reported
	read    func([]byte, error)
	watcher *fsnotify.Watcher
	stop    chan struct{}
	stopped chan struct{}
}

// watchFile calls read with the file's content at once, and on a goroutine of its own whenever it differs from the last.
func watchFile(path string, read func([]byte, error)) (*fileWatch, error) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	w := &fileWatch{path: path, read: read, watcher: watcher, stop: make(chan struct{}), stopped: make(chan struct{})}
	if err := watcher.Add(filepath.Dir(path)); err != nil {
		w.closeWatcher()
		return nil, err
	}
	if w.last, err = os.ReadFile(path); err != nil {
		w.closeWatcher()
		return nil, err
	}
	read(w.last, nil)
	go w.run()
	return w, nil
}

func (w *fileWatch) run() {
	defer close(w.stopped)
	reread := time.NewTicker(rereadInterval)
	defer reread.Stop()
	for {
		select {
		case <-w.stop:
			return
		case event, ok := <-w.watcher.Events:
			if !ok {
				return
			}
			if filepath.Base(event.Name) != filepath.Base(w.path) {
				continue
			}
		case <-w.watcher.Errors: //nolint:errcheck // an overflow: the reading below makes up for it
		case <-reread.C:
		}
		w.reread()
	}
}

// reread hands the file's content on if it changed, and an error if the last reading brought none.
func (w *fileWatch) reread() {
	data, err := os.ReadFile(w.path)
	if err != nil && w.failed || err == nil && bytes.Equal(data, w.last) {
		return
	}
	w.failed = err != nil
	if !w.failed {
		w.last = data
	}
	w.read(data, err)
}

// close ends the watch; read is not called any more once it has returned.
func (w *fileWatch) close() {
	close(w.stop)
	w.closeWatcher()
	<-w.stopped
}

func (w *fileWatch) closeWatcher() {
	_ = w.watcher.Close() // nothing was written
}
