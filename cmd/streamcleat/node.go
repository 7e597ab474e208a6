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
	// documentVariable is the environment variable that holds the path of the platform's configuration document.
	documentVariable = "RELAY_CONFIG"
	// defaultNodeLogRate is the default maximum number of log records per second.
	defaultNodeLogRate = 20
)

func nodeCommand() *cobra.Command {
	level, rate := slog.LevelInfo, defaultNodeLogRate
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run one front end of the platform with the configuration document at RELAY_CONFIG",
		Long: "Runs one front end in the foreground. SIGHUP reloads the document and switches to its discovery service. SIGTERM\n" +
			"shuts down gracefully: requests are accepted while they may still arrive, all are answered, and the status is 0.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			stderr, closeLog := openLog()
			defer closeLog()
			handler := slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level})
			return runNode(cmd.Context(), slog.New(telemetry.RateLimited(handler, rate)))
		},
	}
	cmd.Flags().TextVar(&level, "log", level, "minimum level to log: debug, info (includes requests that did not succeed), warn or error")
	cmd.Flags().IntVar(&rate, "log-rate", rate, "maximum number of log records per second")
	return cmd
}

// readDocument reads and parses the configuration document at the path in documentVariable.
func readDocument() (*platform.Document, error) {
	path := os.Getenv(documentVariable)
	if path == "" {
		return nil, usageError(errors.New(documentVariable + " is not set: it must hold the path of the platform's configuration document"))
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

// runNode runs one front end until ctx is cancelled and its graceful shutdown is complete. SIGHUP reloads the document.
func runNode(ctx context.Context, log *slog.Logger) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before the document is read: SIGHUP terminates a process that does not handle it
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
