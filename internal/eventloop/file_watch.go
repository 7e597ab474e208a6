package eventloop

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// rereadInterval is the interval at which a watched file is read even without an event, since events can be lost.
const rereadInterval = 2 * time.Second

// fileWatch reads a file when it changes. It watches the directory, since files are replaced by renaming.
type fileWatch struct {
	path    string
	content []byte // content reported last
	failed  bool   // the last read failed and was reported
	onRead  func([]byte, error)
	watcher *fsnotify.Watcher
	stop    chan struct{}
	stopped chan struct{}
}

// watchFile calls onRead with the file's content before it returns, and later on its own goroutine whenever the content
// has changed or a read starts to fail.
func watchFile(path string, onRead func([]byte, error)) (*fileWatch, error) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	w := &fileWatch{path: path, onRead: onRead, watcher: watcher, stop: make(chan struct{}), stopped: make(chan struct{})}
	if err := watcher.Add(filepath.Dir(path)); err != nil {
		w.closeWatcher()
		return nil, err
	}
	if w.content, err = os.ReadFile(path); err != nil {
		w.closeWatcher()
		return nil, err
	}
	onRead(w.content, nil)
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
		case <-w.watcher.Errors: //nolint:errcheck // an overflow, which the read below makes up for
		case <-reread.C:
		}
		w.reread()
	}
}

// reread reports the file's content if it has changed, and an error unless the previous read failed too.
func (w *fileWatch) reread() {
	data, err := os.ReadFile(w.path)
	if err != nil && w.failed || err == nil && bytes.Equal(data, w.content) {
		return
	}
	w.failed = err != nil
	if !w.failed {
		w.content = data
	}
	w.onRead(data, err)
}

// close stops the watch. Once it has returned, onRead is not called any more.
func (w *fileWatch) close() {
	close(w.stop)
	w.closeWatcher()
	<-w.stopped
}

func (w *fileWatch) closeWatcher() {
	_ = w.watcher.Close() // a watcher has nothing to flush
}
