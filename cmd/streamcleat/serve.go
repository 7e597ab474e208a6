package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"streamcleat/internal/appliance"
	"streamcleat/internal/config"
	"streamcleat/internal/telemetry"
)

func serveCommand() *cobra.Command {
	var listen []string
	cmd := &cobra.Command{
		Use:   "serve [CONFIG]",
		Short: "Run the front ends until a signal stops them",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c := config.Default()
			if len(args) > 0 {
				var err error
				if c, err = loadConfig(args[0]); err != nil {
					return err
				}
			}
			if len(listen) > 0 {
				c.Listen = listen
			}
			return serve(cmd.Context(), c)
		},
	}
	cmd.Flags().StringSliceVar(&listen, "listen", nil, "host:port of each front end, instead of the configuration's")
	return cmd
}

func loadConfig(path string) (*config.Config, error) {
	c, err := config.Load(path)
	if err != nil {
		return nil, usageError(fmt.Errorf("%s:\n%w", path, err))
	}
	return c, nil
}

// maxServeLogRate is the maximum number of log records per second. It keeps an error that is logged for every request from
// filling the disk.
const maxServeLogRate = 100

// serve runs the appliance until ctx is cancelled and its graceful shutdown is complete. A second signal shortens the shutdown.
func serve(ctx context.Context, c *config.Config) error {
	abort := make(chan struct{})
	go func() {
		<-ctx.Done()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		<-signals
		close(abort)
	}()
	stderr, closeLog := openLog()
	defer closeLog()
	log := slog.New(telemetry.RateLimited(c.Logger(stderr).Handler(), maxServeLogRate))
	return appliance.Run(ctx, c, log, abort, func(addresses []string) {
		for _, address := range addresses {
			fmt.Printf("front end listens on %s\n", address)
		}
	})
}
