package storage

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
)

// Reopening: the library keeps the first error of a write for good, and its state on disk is unknown then. The database is
// given up and opened anew, as after a crash, until that succeeds. Writes are rejected meanwhile.

const (
	// reopenInterval is the time between the end of a failed database, or a failed attempt to open it, and the next attempt.
	reopenInterval = 500 * time.Millisecond
	// lockFileName is the file that is locked while the store is open.
	lockFileName = "LOCK"
)

// errGivenUp is the error of file operations of a database that was given up.
var errGivenUp = errors.New("database was given up after a failed write")

// fence ends the file operations of one database, so that a goroutine of a database that was given up does not write to
// the files of the next one. It implements errorfs.Injector.
type fence struct{ isClosed atomic.Bool }

// MaybeError implements errorfs.Injector.
func (f *fence) MaybeError(errorfs.Op) error {
	if f.isClosed.Load() {
		return errGivenUp
	}
	return nil
}

// String implements errorfs.Injector.
func (f *fence) String() string { return "fence" }

// exitIfClosed ends the calling goroutine if the fence is closed.
func (f *fence) exitIfClosed() {
	if f.isClosed.Load() {
		runtime.Goexit()
	}
}

// unlockedFS is a file system whose locks always succeed: the store holds the lock of its folder itself, also between two
// databases.
type unlockedFS struct{ vfs.FS }

// Lock implements vfs.FS.
func (unlockedFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// lockFolder locks the state folder.
func lockFolder(dir string, fs vfs.FS) (io.Closer, error) {
	lock, err := fs.Lock(fs.PathJoin(dir, lockFileName))
	if err != nil && isLocked(err) {
		return nil, fmt.Errorf("state folder %s: %w", dir, ErrInUse)
	}
	if err != nil {
		return nil, fmt.Errorf("state folder %s: %w", dir, err)
	}
	return lock, nil
}

// scheduleReopen has the database opened anew after reopenInterval. An owner that commits by itself does not want it.
func (s *Store) scheduleReopen() {
	if !s.options.Synchronous {
		time.AfterFunc(reopenInterval, s.reopen)
	}
}

// reopen gives up the failed database and opens it anew. After an error it tries again later.
func (s *Store) reopen() {
	s.databaseMu.Lock()
	defer s.databaseMu.Unlock()
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	s.giveUpDatabase()
	err := checkWritable(s.dir, s.options.FS)
	if err == nil {
		s.db, s.fence, err = openDatabase(s.dir, s.options)
	}
	if err != nil {
		s.scheduleReopen()
		return
	}
	s.libraryFailed.Store(false)
	s.mu.Lock()
	s.writeErr = nil
	s.mu.Unlock()
	s.options.Log.Warn("state opened anew after a failed write, accepting writes")
}

// giveUpDatabase ends the file operations of the failed database and frees what it lets go.
func (s *Store) giveUpDatabase() {
	if s.fence.isClosed.Swap(true) {
		return
	}
	failed := s.db
	go func() { // it may wait forever for a lock that the library held when it panicked
		var err error
		defer recoverLibraryPanic(&err)
		_ = failed.Close() // its writes fail, and its error is known
	}()
}

// newDatabaseFS returns the file system of one database, and the fence that ends its operations.
func newDatabaseFS(fs vfs.FS) (vfs.FS, *fence) {
	f := &fence{}
	return errorfs.Wrap(unlockedFS{fs}, f), f
}
