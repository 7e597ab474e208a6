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

// Sentinel errors, which are wrapped with the state folder or the operation.
var (
	// ErrInUse is returned by OpenStore if the state folder is locked by another store.
	ErrInUse = errors.New("state folder in use by another process")
	// ErrUnsupportedFormat is returned by OpenStore for a store that was written in another format.
	ErrUnsupportedFormat = errors.New("unsupported store format")
	// ErrClosed is returned for a write to a closed store.
	ErrClosed = errors.New("store closed")
	// ErrEngineFailed is returned after Pebble, the storage engine, has panicked on a disk error.
	ErrEngineFailed = errors.New("storage engine failed on a disk error")
)

// isCorruption reports whether err means that files of the store are corrupt or missing. Pebble marks only some of these
// errors as corruption; the others can be recognized only by their text.
func isCorruption(err error) bool {
	if pebble.IsCorruptionError(err) || errors.Is(err, os.ErrNotExist) {
		return true
	}
	text := err.Error()
	return strings.Contains(text, "corrupt") || strings.Contains(text, "checksum")
}

// isLocked reports whether err means that another store holds the lock of the folder. The file system returns the error of
// the system call or, if the store is in this process, an error that can be recognized only by its text.
func isLocked(err error) bool {
	if errors.Is(err, unix.EAGAIN) {
		return true
	}
	text := err.Error()
	return errors.Is(err, unix.EACCES) && strings.Contains(text, "LOCK") ||
		strings.Contains(text, "lock held by current process")
}

// enginePanicError returns the error with which Pebble panicked. It panics again with a runtime error, which is a bug and
// no disk error, or with a value that is not an error.
func enginePanicError(panicked any) error {
	if runtimeErr, ok := panicked.(runtime.Error); ok {
		panic(runtimeErr)
	}
	err, ok := panicked.(error)
	if !ok {
		panic(panicked)
	}
	return err
}

// recoverEnginePanic is deferred around calls to Pebble and converts a panic on a disk error into an error. A panic in
// one of Pebble's own goroutines, such as after a failed directory sync, can't be recovered: it crashes the process, and
// the next process recovers from the stored state.
func recoverEnginePanic(err *error) {
	if panicked := recover(); panicked != nil {
		*err = enginePanicError(panicked)
	}
}

// recoverPanic is recoverEnginePanic for an open store. It also marks the database as failed: Pebble may have panicked
// while holding a lock, so the database must not be used again.
func (s *Store) recoverPanic(err *error) {
	if panicked := recover(); panicked != nil {
		s.engineFailed.Store(true)
		*err = enginePanicError(panicked)
	}
}

// pebbleLogger implements pebble.Logger. It logs errors and discards informational messages.
type pebbleLogger struct {
	log   *slog.Logger
	fence *fence // of the database
}

// Infof implements pebble.Logger.
func (pebbleLogger) Infof(string, ...any) {}

// Errorf logs an error, unless the database was discarded.
func (l pebbleLogger) Errorf(format string, args ...any) {
	if !l.fence.active.Load() {
		l.log.Error(fmt.Sprintf(format, args...))
	}
}

// Fatalf logs an error and panics. Pebble expects it to exit the process; the store instead recovers the panic, so that
// the appliance continues to serve requests that need no storage. If the database was discarded, Fatalf only ends the
// calling goroutine.
func (l pebbleLogger) Fatalf(format string, args ...any) {
	l.fence.exitIfActive()
	l.log.Error(fmt.Sprintf(format, args...))
	panic(fmt.Errorf(format, args...))
}
