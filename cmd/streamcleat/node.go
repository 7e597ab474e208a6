package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"streamcleat/internal/node"
	"streamcleat/internal/platform"
	"streamcleat/internal/telemetry"
)

const (
	// documentVariable names the platform's configuration document.
	documentVariable = "RELAY_CONFIG"
	// nodeLogRate is the most log records a second, unless a flag says otherwise.
	nodeLogRate = 20
)

func nodeCommand() *cobra.Command {
	level, rate := slog.LevelWarn, nodeLogRate
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run one front end of the platform, as the document that RELAY_CONFIG names tells",
		Long: "Runs one front end in the foreground. SIGHUP reads the document again and goes over to its journal service;\n" +
			"SIGTERM takes events for as long as they may still come, answers all that is open and ends with status 0.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			stderr, closeLog := openLog()
			defer closeLog()
			handler := slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level})
			return runNode(cmd.Context(), slog.New(telemetry.RateLimited(handler, rate)))
		},
	}
	cmd.Flags().TextVar(&level, "log", level, "least level that is logged: debug, info (also events that were not handled), warn, error")
	cmd.Flags().IntVar(&rate, "log-rate", rate, "most log records a second")
	return cmd
}

// readDocument reads the document that the environment names.
func readDocument() (*platform.Document, error) {
	path := os.Getenv(documentVariable)
	if path == "" {
		return nil, usageError(errors.New(documentVariable + " is not set: it names the platform's configuration document"))
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError(err)
	}
	document, err := platform.ReadDocument(data)
	if err != nil {
		return nil, usageError(fmt.Errorf("%s:\n%w", path, err))
	}
	return document, nil
}

// runNode runs one front end until ctx ends.
func runNode(ctx context.Context, log *slog.Logger) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before the document is read: a signal must not end the process
	document, err := readDocument()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(node.Threads)
	debug.SetMemoryLimit(node.MemoryLimit(document))
	frontEnd, err := node.Start(document, log)
	if err != nil {
		return err
	}
	defer frontEnd.Close()
	return frontEnd.Serve(ctx.Done(), reload, readDocument)
}
