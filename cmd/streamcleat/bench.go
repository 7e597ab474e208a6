package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"streamcleat/internal/verification/scenario"
)

func benchCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "bench", Short: "Measure performance, each time beside a baseline in the same run"}
	cmd.AddCommand(
		loadBenchCommand("front", "Compare requests through a front end with the same client directly at fake workers", 5000,
			scenario.BenchFrontEnd, formatFrontEndRow),
		loadBenchCommand("keeping", "Measure the cost of storing records of at-most-once requests, with and without group commit", 2000,
			scenario.BenchStore, formatStoreRow),
		recoveryBenchCommand())
	return cmd
}

// loadBenchCommand returns a command that runs a benchmark with a fixed number of requests at several connection counts.
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
	cmd.Flags().IntSliceVar(&connections, "connections", []int{1, 64}, "numbers of concurrent connections")
	cmd.Flags().IntVar(&requests, "events", defaultRequests, "number of requests of each measurement")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func formatFrontEndRow(r scenario.FrontEndRow) string {
	return fmt.Sprintf("%3d connections: %.2f of the direct request rate, %.2f times the direct p50, %.2f times the direct p99 "+
		"(%.0f and %.0f requests/s, p50 %.2f and %.2f ms, p99 %.2f and %.2f ms)", r.Connections, r.RateRatio,
		r.P50Ratio, r.P99Ratio, r.FrontEnd.Rate, r.Direct.Rate, r.FrontEnd.P50, r.Direct.P50, r.FrontEnd.P99, r.Direct.P99)
}

func formatStoreRow(r scenario.StoreRow) string {
	return fmt.Sprintf("%3d connections, %-24s %.2f of the request rate without a store (%.0f requests/s), p50 %.2f ms, "+
		"%.2f syncs and %.2f records per request, heap %.0f MB",
		r.Connections, r.Mode+":", r.RateRatio, r.Rate, r.P50, r.SyncsPerRequest, r.RecordsPerRequest, r.HeapMegabytes)
}

func recoveryBenchCommand() *cobra.Command {
	var sizes []int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "recovery",
		Short: "Measure the duration of a restart by the number of stored requests",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := scenario.BenchRecovery(cmd.Context(), sizes)
			if err != nil {
				return err
			}
			return printRows(asJSON, rows, formatRecoveryRow)
		},
	}
	cmd.Flags().IntSliceVar(&sizes, "events", []int{10_000, 100_000, 1_000_000}, "numbers of stored requests")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func formatRecoveryRow(r scenario.RecoveryRow) string {
	return fmt.Sprintf("%8d requests, %4d MB: state read in %.2f s, restored in %.2f s, %.1f us per request", r.Requests, r.Bytes>>20,
		r.OpenTime, r.RestoreTime, r.PerRequest)
}
