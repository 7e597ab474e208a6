package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"streamcleat/internal/appliance"
	"streamcleat/internal/config"
	"streamcleat/internal/schedule"
)

func serveCommand() *cobra.Command {
	var listen []string
	cmd := &cobra.Command{
		Use:   "serve [CONFIG]",
		Short: "Run the front ends until a signal stops them",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := load(args)
			if err != nil {
				return err
			}
			if len(listen) > 0 {
				c.Listen = listen
			}
			return serve(cmd.Context(), c)
		},
	}
	cmd.Flags().StringSliceVar(&listen, "listen", nil, "host:port in place of the configuration's; one front end for each")
	return cmd
}

func load(args []string) (*config.Config, error) {
	if len(args) == 0 {
		return config.Default(), nil
	}
	c, err := config.Load(args[0])
	if err != nil {
		return nil, exit{2, fmt.Errorf("%s:\n%w", args[0], err)}
	}
	return c, nil
}

func serve(ctx context.Context, c *config.Config) error {
	hurry := make(chan struct{})
	go func() { // the first signal ends ctx; a second one shortens the stop
		<-ctx.Done()
		again := make(chan os.Signal, 1)
		signal.Notify(again, os.Interrupt, syscall.SIGTERM)
		<-again
		close(hurry)
	}()
	return appliance.Run(ctx, c, c.Logger(os.Stderr), hurry, func(addrs []string) {
		for _, a := range addrs {
			fmt.Printf("front end listens on %s\n", a)
		}
	})
}

func readCrontab(path string) ([]schedule.Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, exit{2, fmt.Errorf("crontab: %w", err)}
	}
	defer file.Close()
	entries, err := schedule.Parse(file, path)
	if err != nil {
		return nil, exit{2, err}
	}
	return entries, nil
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check CONFIG",
		Short: "Check a configuration as a whole; exit 2 names every fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := load(args)
			if err != nil {
				return err
			}
			entries := 0
			if c.Timers != nil {
				list, err := readCrontab(c.Path(c.Timers.Crontab))
				if err != nil {
					return err
				}
				entries = len(list)
			}
			fmt.Printf("%s: %d front ends, %d event types, %d timer entries\n", args[0], len(c.Listen), len(c.RequestClasses), entries)
			return nil
		},
	}
}

func schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of the configuration",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := os.Stdout.Write(config.Schema)
			return err
		},
	}
}
