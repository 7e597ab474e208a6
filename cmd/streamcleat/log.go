package main

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"streamcleat/internal/telemetry"
)

const (
	// maxQueuedLogRecords is the maximum number of log records that are queued while the reader of standard error is slow.
	maxQueuedLogRecords = 256
	// logCloseTimeout limits how long the process waits, when it exits, until the queued records are written.
	logCloseTimeout = 100 * time.Millisecond
)

// openLog returns an asynchronous writer to standard error. A stalled reader of standard error does not block the process,
// and one that closes the pipe does not terminate it. closeLog waits up to logCloseTimeout until queued records are written.
func openLog() (stderr io.Writer, closeLog func()) {
	signal.Ignore(syscall.SIGPIPE) // a write to a closed pipe then fails instead of terminating the process
	writer := telemetry.NewAsyncWriter(os.Stderr, maxQueuedLogRecords)
	return writer, func() { writer.Close(logCloseTimeout) }
}
