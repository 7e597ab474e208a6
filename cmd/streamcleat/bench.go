package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"streamcleat/internal/scenario"
)

func benchCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "bench", Short: "Measurements, each with its baseline in the same run"}
	cmd.AddCommand(benchFront(), benchKeeping(), benchRecovery())
	return cmd
}

// rows prints measurements, as JSON or a line for each.
func rows[T any](asJSON bool, list []T, line func(T) string) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(list)
	}
	for _, r := range list {
		fmt.Println(line(r))
	}
	return nil
}

func benchFront() *cobra.Command {
	var conns []int
	var events int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "front",
		Short: "The way through a front end beside the same client straight at stand-in workers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := scenario.Bench(cmd.Context(), conns, events)
			if err != nil {
				return err
			}
			return rows(asJSON, list, func(r scenario.BenchRow) string {
				return fmt.Sprintf("%3d connections: %.2f of the direct events a second; p50 %.2f times, p99 %.2f times the direct one "+
					"(%.0f against %.0f a second, p50 %.2f against %.2f ms, p99 %.2f against %.2f ms)", r.Connections, r.RateRatio,
					r.P50Ratio, r.P99Ratio, r.Front.Rate, r.Direct.Rate, r.Front.P50, r.Direct.P50, r.Front.P99, r.Direct.P99)
			})
		},
	}
	cmd.Flags().IntSliceVar(&conns, "connections", []int{1, 64}, "connections at a time")
	cmd.Flags().IntVar(&events, "events", 5000, "events of each measurement")
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	return cmd
}

func benchKeeping() *cobra.Command {
	var conns []int
	var events int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "keeping",
		Short: "What it costs to keep notes of at-most-once events on disk, with and without group commit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := scenario.BenchKeeping(cmd.Context(), conns, events)
			if err != nil {
				return err
			}
			return rows(asJSON, list, func(r scenario.KeepRow) string {
				return fmt.Sprintf("%3d connections, %-24s %.2f of the events a second without a store (%.0f), p50 %.2f ms, %.2f syncs and %.2f notes an event, heap %.0f MB",
					r.Connections, r.Way+":", r.RateRatio, r.Rate, r.P50, r.SyncsAnEvent, r.NotesAnEvent, r.HeapMegabytes)
			})
		},
	}
	cmd.Flags().IntSliceVar(&conns, "connections", []int{1, 64}, "connections at a time")
	cmd.Flags().IntVar(&events, "events", 2000, "events of each measurement")
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	return cmd
}

func benchRecovery() *cobra.Command {
	var sizes []int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "recovery",
		Short: "How long a restart takes with so many events kept",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := scenario.BenchRecovery(cmd.Context(), sizes)
			if err != nil {
				return err
			}
			return rows(asJSON, list, func(r scenario.RecoveryRow) string {
				return fmt.Sprintf("%8d events, %4d MB: state read in %.2f s, taken up in %.2f s, %.1f us an event", r.Events, r.Bytes>>20,
					r.Open, r.Restore, r.PerEvent)
			})
		},
	}
	cmd.Flags().IntSliceVar(&sizes, "events", []int{10_000, 100_000, 1_000_000}, "events kept")
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	return cmd
}
