package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"streamcleat/internal/config"
	"streamcleat/internal/schedule"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check CONFIG",
		Short: "Check a configuration and report every fault; exit status 2 if there is one",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := loadConfig(args[0])
			if err != nil {
				return err
			}
			entries := 0
			if c.Schedules != nil {
				list, err := readCrontab(c.Path(c.Schedules.Crontab))
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

func readCrontab(path string) ([]schedule.Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usageError(fmt.Errorf("crontab: %w", err))
	}
	defer closeReader(file)
	entries, err := schedule.Parse(file, path)
	if err != nil {
		return nil, usageError(err)
	}
	return entries, nil
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
