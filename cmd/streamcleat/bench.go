package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"streamcleat/drill"
)

func benchCommand() *cobra.Command {
	var conns []int
	var events int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Compare the front end with the same client straight at a stand-in worker, in one run",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := drill.Bench(cmd.Context(), conns, events)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(rows)
			}
			for _, r := range rows {
				fmt.Printf("%3d connections: %.2f of the direct events a second; p50 %.2f times, p99 %.2f times the direct one "+
					"(%.0f against %.0f a second, p50 %.2f against %.2f ms, p99 %.2f against %.2f ms)\n", r.Connections, r.RateRatio,
					r.P50Ratio, r.P99Ratio, r.Front.Rate, r.Direct.Rate, r.Front.P50, r.Direct.P50, r.Front.P99, r.Direct.P99)
			}
			return nil
		},
	}
	cmd.Flags().IntSliceVar(&conns, "connections", []int{1, 64}, "connections at a time")
	cmd.Flags().IntVar(&events, "events", 5000, "events of each measurement")
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	return cmd
}
