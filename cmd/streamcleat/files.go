package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"streamcleat/internal/verification/invariants"
)

// closeReader closes a file that was only read.
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
		_ = file.Close() // the failed write is reported
		return fmt.Errorf("%s: %w", path, err)
	}
	return file.Close()
}

// indentedJSON returns an encoder that writes indented JSON to standard output.
func indentedJSON() *json.Encoder {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder
}

// require marks flags that have no default as required.
func require(cmd *cobra.Command, flags ...string) {
	for _, flag := range flags {
		if err := cmd.MarkFlagRequired(flag); err != nil {
			panic(err) // the flag is not defined, which is a bug
		}
	}
}
