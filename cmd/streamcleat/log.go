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
	// queuedLogRecords is how many log records wait for whoever reads standard error.
	queuedLogRecords = 256
	// logCloseTimeout is how long the end of the process waits for the last of them.
	logCloseTimeout = 100 * time.Millisecond
)

// openLog is standard error for a process that serves: a reader that stalls holds nothing up, and one that goes away
// does not end the process. The function it returns writes what still waits.
func openLog() (stderr io.Writer, closeLog func()) {
	signal.Ignore(syscall.SIGPIPE) // the write fails instead
	writer := telemetry.NewAsyncWriter(os.Stderr, queuedLogRecords)
	return writer, func() { writer.Close(logCloseTimeout) }
}
