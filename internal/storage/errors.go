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

// Errors of this package. They are wrapped with the state folder or the operation they concern.
var (
	// ErrInUse is returned when another process has the store open.
	ErrInUse = errors.New("another process uses this state folder")
	// ErrUnsupportedFormat is returned for a store whose records have another format.
	ErrUnsupportedFormat = errors.New("the store has another form")
	// ErrClosed is returned for a write to a closed store.
	ErrClosed = errors.New("the store is closed")
	// ErrLibraryFailed is returned once the database library has panicked over a failed disk.
	ErrLibraryFailed = errors.New("the store's library gave up on the disk")
)

// isCorruption reports whether an error means that the files of the store are damaged or missing. The library marks
// only some of these errors; the others are known by their text alone.
func isCorruption(err error) bool {
	if pebble.IsCorruptionError(err) || errors.Is(err, os.ErrNotExist) {
		return true
	}
	text := err.Error()
	return strings.Contains(text, "corrupt") || strings.Contains(text, "checksum")
}

// isLocked reports whether an error means that another store has the folder locked. The library returns the error of
// the system call, and for a lock of this process an error that is known by its text alone.
func isLocked(err error) bool {
	if errors.Is(err, unix.EAGAIN) {
		return true
	}
	text := err.Error()
	return errors.Is(err, unix.EACCES) && strings.Contains(text, "LOCK") ||
		strings.Contains(text, "lock held by current process")
}

// libraryError returns the error with which the library panicked. Other panics, and those of the runtime, go on.
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

// recoverLibraryPanic is deferred around calls of the library and turns its panic over a failed disk into an error. A
// panic in a goroutine of the library, as over a failed sync of the folder, can't be recovered: it ends the process,
// and the next one recovers from what was stored.
func recoverLibraryPanic(err *error) {
	if panicked := recover(); panicked != nil {
		*err = libraryError(panicked)
	}
}

// recoverPanic is recoverLibraryPanic for an open store. The library may have panicked with a lock held, so it is not
// called again.
func (s *Store) recoverPanic(err *error) {
	if panicked := recover(); panicked != nil {
		s.libraryFailed.Store(true)
		*err = libraryError(panicked)
	}
}

// pebbleLogger passes the library's errors to the log and drops its routine messages.
type pebbleLogger struct{ log *slog.Logger }

// Infof implements pebble.Logger and discards the message.
func (pebbleLogger) Infof(string, ...any) {}

// Errorf implements pebble.Logger.
func (l pebbleLogger) Errorf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf implements pebble.Logger. It panics where the library expects the process to end: the panic is recovered,
// and the appliance goes on with the requests that need no storage.
func (l pebbleLogger) Fatalf(format string, args ...any) {
	l.log.Error(fmt.Sprintf(format, args...))
	panic(fmt.Errorf(format, args...))
}
