package storage

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"strings"

	"github.com/cockroachdb/pebble/v2"
	"golang.org/x/sys/unix"
)

// Sentinel errors. They are wrapped with the state folder or the operation.
var (
	// ErrInUse is returned by OpenStore if another process has the store open.
	ErrInUse = errors.New("state folder in use by another process")
	// ErrUnsupportedFormat is returned by OpenStore for a store with a different record format.
	ErrUnsupportedFormat = errors.New("unsupported store format")
	// ErrClosed is the error of a write to a closed store.
	ErrClosed = errors.New("store closed")
	// ErrEngineFailed is returned after the database library has panicked on a disk error.
	ErrEngineFailed = errors.New("database library failed on a disk error")
)

// isCorruption reports whether err means that files of the store are corrupt or missing. Pebble marks only some of these
// errors; the others can be recognized only by their text.
func isCorruption(err error) bool {
	if pebble.IsCorruptionError(err) || errors.Is(err, os.ErrNotExist) {
		return true
	}
	text := err.Error()
	return strings.Contains(text, "corrupt") || strings.Contains(text, "checksum")
}

// isLocked reports whether err means that the folder is locked by another store. Pebble returns the error of the system
// call, or, if this process holds the lock, an error that can be recognized only by its text.
func isLocked(err error) bool {
	if errors.Is(err, unix.EAGAIN) {
		return true
	}
	text := err.Error()
	return errors.Is(err, unix.EACCES) && strings.Contains(text, "LOCK") ||
		strings.Contains(text, "lock held by current process")
}

// libraryError returns the error that the library panicked with. It panics again for a runtime error or a value that is
// not an error.
func libraryError(panicked any) error {
	if fault, ok := panicked.(runtime.Error); ok {
		panic(fault)
	}
	err, ok := panicked.(error)
	if !ok {
		panic(panicked)
	}
	return err
}

// recoverLibraryPanic is deferred around calls of the library and converts its panic on a disk error into an error. A
// panic in one of the library's own goroutines, such as on a failed directory sync, can't be recovered. It ends the
// process, and the next process recovers from the stored state.
func recoverLibraryPanic(err *error) {
	if panicked := recover(); panicked != nil {
		*err = libraryError(panicked)
	}
}

// recoverPanic is recoverLibraryPanic for an open store. It also marks the library as failed: it may have panicked while
// holding a lock, so it must not be called again.
func (s *Store) recoverPanic(err *error) {
	if panicked := recover(); panicked != nil {
		s.libraryFailed.Store(true)
		*err = libraryError(panicked)
	}
}

// pebbleLogger implements pebble.Logger. It logs Pebble's errors and discards its informational messages.
type pebbleLogger struct {
	log   *slog.Logger
	fence *fence // of the database
}

// Infof discards the message.
func (pebbleLogger) Infof(string, ...any) {}

// Errorf logs an error.
func (l pebbleLogger) Errorf(format string, args ...any) {
	if !l.fence.isClosed.Load() {
		l.log.Error(fmt.Sprintf(format, args...))
	}
}

// Fatalf logs an error and panics. Pebble expects it to end the process; the store instead recovers the panic, so that
// the appliance continues to serve requests that need no storage. Of a database that was given up it ends the goroutine.
func (l pebbleLogger) Fatalf(format string, args ...any) {
	l.fence.exitIfClosed()
	l.log.Error(fmt.Sprintf(format, args...))
	panic(fmt.Errorf(format, args...))
}
