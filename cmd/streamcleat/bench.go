package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"streamcleat/internal/verification/scenario"
)

func benchCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "bench", Short: "Measurements, each with its baseline in the same run"}
	cmd.AddCommand(
		loadBenchCommand("front", "The way through a front end beside the same client straight at fake workers", 5000,
			scenario.BenchFrontEnd, formatFrontRow),
		loadBenchCommand("keeping", "What it costs to keep records of at-most-once requests on disk, with and without group commit", 2000,
			scenario.BenchStore, formatKeepingRow),
		recoveryBenchCommand())
	return cmd
}

// loadBenchCommand is a measurement that sends a number of requests over each of several numbers of connections.
func loadBenchCommand[Row any](name, short string, defaultRequests int, measure func(context.Context, []int, int) ([]Row, error),
	format func(Row) string,
) *cobra.Command {
	var connections []int
	var requests int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := measure(cmd.Context(), connections, requests)
			if err != nil {
				return err
			}
			return printRows(asJSON, rows, format)
		},
	}
	cmd.Flags().IntSliceVar(&connections, "connections", []int{1, 64}, "connections at a time")
	cmd.Flags().IntVar(&requests, "events", defaultRequests, "requests of each measurement")
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	return cmd
}

func formatFrontRow(r scenario.FrontEndRow) string {
	return fmt.Sprintf("%3d connections: %.2f of the direct events a second; p50 %.2f times, p99 %.2f times the direct one "+
		"(%.0f against %.0f a second, p50 %.2f against %.2f ms, p99 %.2f against %.2f ms)", r.Connections, r.RateRatio,
		r.P50Ratio, r.P99Ratio, r.FrontEnd.Rate, r.Direct.Rate, r.FrontEnd.P50, r.Direct.P50, r.FrontEnd.P99, r.Direct.P99)
}

func formatKeepingRow(r scenario.StoreRow) string {
	return fmt.Sprintf("%3d connections, %-24s %.2f of the events a second without a store (%.0f), p50 %.2f ms, "+
		"%.2f syncs and %.2f notes an event, heap %.0f MB",
		r.Connections, r.Mode+":", r.RateRatio, r.Rate, r.P50, r.SyncsPerRequest, r.RecordsPerRequest, r.HeapMegabytes)
}

func recoveryBenchCommand() *cobra.Command {
	var sizes []int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "recovery",
		Short: "How long a restart takes by the number of requests kept",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := scenario.BenchRecovery(cmd.Context(), sizes)
			if err != nil {
				return err
			}
			return printRows(asJSON, rows, formatRecoveryRow)
		},
	}
	cmd.Flags().IntSliceVar(&sizes, "events", []int{10_000, 100_000, 1_000_000}, "requests kept")
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	return cmd
}

func formatRecoveryRow(r scenario.RecoveryRow) string {
	return fmt.Sprintf("%8d events, %4d MB: state read in %.2f s, taken up in %.2f s, %.1f us an event", r.Requests, r.Bytes>>20,
		r.OpenTime, r.RestoreTime, r.PerRequest)
}

// printRows prints measurements, as one JSON list or a line for each.
func printRows[Row any](asJSON bool, rows []Row, format func(Row) string) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	for _, row := range rows {
		fmt.Println(format(row))
	}
	return nil
}
