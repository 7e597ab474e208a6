package main

import (
	"fmt"
	"io"
	"os"

	"streamcleat/internal/verification/invariants"
)

// closeReader closes a file or listener to which this process has written nothing.
func closeReader(file io.Closer) {
	_ = file.Close() // nothing was written, so no data can be lost
}

// writeRecords writes the records of a run to a file as JSON lines.
func writeRecords(path string, records []invariants.Record) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := invariants.Write(file, records); err != nil {
		_ = file.Close() // the write error is returned instead
		return fmt.Errorf("%s: %w", path, err)
	}
	return file.Close()
}
