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
	// queuedLogRecords is the maximum number of log records that wait for the reader of standard error.
	queuedLogRecords = 256
	// logCloseTimeout is the maximum time for which the process waits at its end for queued records to be written.
	logCloseTimeout = 100 * time.Millisecond
)

// openLog returns a writer to standard error for a process that serves. A reader that stalls does not block the process,
// and one that closes the pipe does not end it. closeLog writes the queued records.
func openLog() (stderr io.Writer, closeLog func()) {
	signal.Ignore(syscall.SIGPIPE) // the write fails instead
	writer := telemetry.NewAsyncWriter(os.Stderr, queuedLogRecords)
	return writer, func() { writer.Close(logCloseTimeout) }
}
