package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"streamcleat/internal/invariants"
	"streamcleat/internal/scenario"
)

func drillCommand() *cobra.Command {
	var file, name, record string
	var seed uint64
	var seeds int
	var asJSON, list, verbose bool
	cmd := &cobra.Command{
		Use:   "drill",
		Short: "Play a scripted bad day on loopback and judge the rules from what passed on the sockets",
		Long: "drill starts front ends, stand-in workers, a stand-in function store and timer clients on loopback, plays a\n" +
			"script and lets the referee judge what passed on the sockets. It exits 0 only if all five rules held.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if list {
				for _, n := range scenario.Scripts() {
					s, err := scenario.Builtin(n)
					if err != nil {
						return err
					}
					fmt.Printf("%-14s %s\n", n, s.About)
				}
				return nil
			}
			var script *scenario.Script
			var err error
			if file != "" {
				var data []byte
				if data, err = os.ReadFile(file); err == nil {
					script, err = scenario.ParseScript(data, file)
				}
			} else {
				script, err = scenario.Builtin(name)
			}
			if err != nil {
				return exit{2, err}
			}
			log := slog.New(slog.DiscardHandler)
			if verbose {
				log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
			}
			failed := 0
			for s := seed; s < seed+uint64(max(seeds, 1)); s++ {
				report, records, err := scenario.Run(cmd.Context(), script, s, log)
				if err != nil {
					return err
				}
				if record != "" {
					if err := writeRecords(record, records); err != nil {
						return err
					}
				}
				if !report.OK() {
					failed++
				}
				if asJSON {
					if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
						return err
					}
				} else {
					printReport(report)
				}
				if cmd.Context().Err() != nil {
					return errors.New("interrupted")
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d days broke a rule or failed", failed, max(seeds, 1))
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "script", "", "script file, in place of one that comes with the program")
	cmd.Flags().StringVar(&name, "name", "bad-day", "script that comes with the program")
	cmd.Flags().BoolVar(&list, "list", false, "list the scripts that come with the program")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of days, each with the next seed")
	cmd.Flags().BoolVar(&asJSON, "json", false, "one JSON object for each day")
	cmd.Flags().StringVar(&record, "record", "", "write what passed on the sockets to this file, as JSON lines")
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "log what the front ends do")
	return cmd
}

func writeRecords(path string, records []invariants.Record) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := invariants.Write(f, records); err != nil {
		f.Close()
		return fmt.Errorf("%s: %w", path, err)
	}
	return f.Close()
}

func printReport(r *scenario.Report) {
	verdict := "all five rules held"
	if r.Broken > 0 {
		verdict = fmt.Sprintf("%d of five rules BROKEN", r.Broken)
	}
	fmt.Printf("%s, seed %d, %.1f s: %s\n", r.Script, r.Seed, r.Seconds, verdict)
	fmt.Printf("  events     %d asked: %d handled, %d deferred, %d dead-lettered, %d refused, %d clients left, %d unanswered\n",
		r.Events, r.Handled, r.Deferred, r.DeadLettered, r.Refused, r.Left, r.Unanswered)
	fmt.Printf("  service    %.1f%% of %d firings handled in time, %.1f%% in the worst 2 s; %d asks joined another's event\n", 100*r.InTime, r.Firings, 100*r.Worst, r.Joined)
	fmt.Printf("  launches   %d, load orders %d, store fetches %d\n", r.Launches, r.Orders, r.Fetches)
	fmt.Printf("  latency    p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms\n", r.Latency["p50"], r.Latency["p90"],
		r.Latency["p99"], r.Latency["max"])
	var causes []string
	for c, n := range r.Causes {
		causes = append(causes, fmt.Sprintf("%s %d", c, n))
	}
	sort.Strings(causes)
	if len(causes) > 0 {
		fmt.Printf("  not handled: %s\n", strings.Join(causes, ", "))
	}
	fmt.Printf("  rule 1 %d unanswered, %d answered twice, %d sent after the end; rule 2 %d launches at once, %d ran twice, "+
		"%d bad deferrals\n  rule 3 %d after drain; rule 4 %d cold pushes; rule 5 %d load floods\n",
		r.Unanswered, r.Twice, r.AfterEnd, r.AtOnce, r.RanTwice, r.BadDeferral, r.AfterDrain, r.ColdPushed, r.Flooded)
	for _, f := range append(r.Faults, r.Failures...) {
		fmt.Println("  !", f)
	}
}

func refereeCommand() *cobra.Command {
	var rulesFile string
	cmd := &cobra.Command{
		Use:   "referee RECORD",
		Short: "Judge a record of what passed on the sockets by rules from a JSON file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var rules invariants.Rules
			data, err := os.ReadFile(rulesFile)
			if err == nil {
				err = json.Unmarshal(data, &rules)
			}
			if err != nil {
				return exit{2, fmt.Errorf("rules: %w", err)}
			}
			f, err := os.Open(args[0])
			if err != nil {
				return exit{2, err}
			}
			defer f.Close()
			records, err := invariants.Read(f)
			if err != nil {
				return exit{2, fmt.Errorf("%s: %w", args[0], err)}
			}
			v := invariants.Judge(rules, records)
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", "  ")
			if err := enc.Encode(v); err != nil {
				return err
			}
			if v.Broken > 0 {
				return fmt.Errorf("%d of five rules broken", v.Broken)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&rulesFile, "rules", "", "figures of the rules, JSON")
	cmd.MarkFlagRequired("rules")
	return cmd
}
