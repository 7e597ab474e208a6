package eventloop

import (
	"bytes"
	"os"
	"time"
)

const (
	// filePollInterval is the interval at which the metadata of a watched file is checked. inotify would report changes
	// sooner, but on a busy machine the kernel took half a minute to close an inotify descriptor, both on a stop and at
	// process exit.
	filePollInterval = 50 * time.Millisecond
	// rereadInterval is the interval at which the file is read even if its metadata is unchanged: a write in place within
	// the resolution of the modification time does not show there.
	rereadInterval = 2 * time.Second
)

// fileWatch polls a file and reports its content when it changes.
type fileWatch struct {
	path    string
	info    os.FileInfo // metadata at the last check; nil if stat failed
	readAt  time.Time
	content []byte // last content that was reported
	failed  bool   // the last read failed, and the error was reported
	onRead  func([]byte, error)
	stop    chan struct{}
	stopped chan struct{}
}

// watchFile calls onRead with the file's content before it returns. Afterwards it calls onRead on its own goroutine whenever
// the content has changed or reading starts to fail.
func watchFile(path string, onRead func([]byte, error)) (*fileWatch, error) {
	w := &fileWatch{path: path, onRead: onRead, readAt: time.Now(), stop: make(chan struct{}), stopped: make(chan struct{})}
	w.info, _ = os.Stat(path) // if stat fails, the read reports the error
	var err error
	if w.content, err = os.ReadFile(path); err != nil {
		return nil, err
	}
	onRead(w.content, nil)
	go w.run()
	return w, nil
}

func (w *fileWatch) run() {
	defer close(w.stopped)
	poll := time.NewTicker(filePollInterval)
	defer poll.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-poll.C:
		}
		if w.mayHaveChanged() {
			w.reread()
		}
	}
}

// mayHaveChanged reports whether the file should be read again. The metadata is recorded before the read, so that a change
// during the read is detected by the next check.
func (w *fileWatch) mayHaveChanged() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		info = nil
	}
	unchanged := info != nil && w.info != nil && os.SameFile(info, w.info) && info.Size() == w.info.Size() &&
		info.ModTime().Equal(w.info.ModTime())
	w.info = info
	if unchanged && time.Since(w.readAt) < rereadInterval {
		return false
	}
	w.readAt = time.Now()
	return true
}

// reread reads the file and reports its content if it has changed, or an error if the previous read succeeded.
func (w *fileWatch) reread() {
	data, err := os.ReadFile(w.path)
	if err != nil && w.failed || err == nil && bytes.Equal(data, w.content) {
		w.failed = err != nil
		return
	}
	w.failed = err != nil
	if !w.failed {
		w.content = data
	}
	w.onRead(data, err)
}

// close stops the watch. After it returns, onRead is not called.
func (w *fileWatch) close() {
	close(w.stop)
	<-w.stopped
}
