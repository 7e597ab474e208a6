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

// After the first failed write, Pebble returns that error for all later writes, and the state on disk is unknown. The
// store then discards the open database and reopens it from disk, as after a crash, retrying until that succeeds.
// Writes are rejected meanwhile.

const (
	// reopenInterval is the time from a failed write, or a failed attempt to reopen the database, to the next attempt.
	reopenInterval = 500 * time.Millisecond
	// lockFileName is the file that is locked while the store is open.
	lockFileName = "LOCK"
)

// errDiscarded is returned for the file operations of a discarded database.
var errDiscarded = errors.New("database discarded after a failed write")

// fence fails all file operations of one database once it is active, so that the goroutines of a discarded database
// can't write to the files of its successor. It implements errorfs.Injector.
type fence struct{ active atomic.Bool }

// MaybeError implements errorfs.Injector.
func (f *fence) MaybeError(errorfs.Op) error {
	if f.active.Load() {
		return errDiscarded
	}
	return nil
}

// String implements errorfs.Injector.
func (f *fence) String() string { return "fence" }

// exitIfActive ends the calling goroutine if the fence is active.
func (f *fence) exitIfActive() {
	if f.active.Load() {
		runtime.Goexit()
	}
}

// unlockedFS is a file system on which locking does nothing: the store itself locks its folder, and keeps that lock while
// the database is reopened.
type unlockedFS struct{ vfs.FS }

// Lock implements vfs.FS.
func (unlockedFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// lockFolder locks the state folder. It returns ErrInUse if another store holds the lock.
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

// scheduleReopen calls reopen after reopenInterval. With Options.Synchronous it does nothing.
func (s *Store) scheduleReopen() {
	if !s.options.Synchronous {
		time.AfterFunc(reopenInterval, s.reopen)
	}
}

// reopen discards the failed database and opens it from disk. After an error it schedules another attempt.
func (s *Store) reopen() {
	s.databaseMu.Lock()
	defer s.databaseMu.Unlock()
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	s.discardDatabase()
	err := checkWritable(s.dir, s.options.FS)
	if err == nil {
		s.db, s.fence, err = openDatabase(s.dir, s.options)
	}
	if err != nil {
		s.scheduleReopen()
		return
	}
	s.engineFailed.Store(false)
	s.mu.Lock()
	s.writeErr = nil
	s.mu.Unlock()
	s.options.Log.Warn("state opened anew after a failed write, accepting writes")
}

// discardDatabase activates the fence of the failed database and closes the database in the background to release its
// resources. Further calls for the same database do nothing.
func (s *Store) discardDatabase() {
	if s.fence.active.Swap(true) {
		return
	}
	failed := s.db
	go func() { // Close may wait forever for a lock that Pebble held when it panicked
		var err error
		defer recoverEnginePanic(&err)
		_ = failed.Close() // an error is expected, because the fence fails all writes
	}()
}

// newDatabaseFS returns the file system for one database and the fence of its file operations.
func newDatabaseFS(fs vfs.FS) (vfs.FS, *fence) {
	f := &fence{}
	return errorfs.Wrap(unlockedFS{fs}, f), f
}
