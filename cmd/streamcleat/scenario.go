package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"streamcleat/internal/verification/scenario"
)

// scenarioOptions are the flags of the scenario command.
type scenarioOptions struct {
	file, name, recordFile string
	firstSeed              uint64
	runs                   int
	asJSON, list, verbose  bool
}

// scenarioCommand returns the command that runs fault-injection scenarios on loopback.
func scenarioCommand(name string) *cobra.Command {
	var o scenarioOptions
	cmd := &cobra.Command{
		Use:   name,
		Short: "Run a fault-injection scenario on loopback and check the rules on the recorded traffic",
		Long: "Starts front ends, fake workers, a fake function store and timer clients on loopback, injects the faults of a\n" +
			"script and checks the five rules on the recorded traffic. The exit status is 0 only if all rules held.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.list {
				return listScenarios()
			}
			return runScenarios(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.file, "script", "", "script file, instead of a built-in script")
	flags.StringVar(&o.name, "name", "bad-day", "built-in script")
	flags.BoolVar(&o.list, "list", false, "list the built-in scripts")
	flags.Uint64Var(&o.firstSeed, "seed", 1, "first seed")
	flags.IntVar(&o.runs, "seeds", 1, "number of runs, each with the next seed")
	flags.BoolVar(&o.asJSON, "json", false, "one JSON object for each run")
	flags.StringVar(&o.recordFile, "record", "", "write the recorded traffic to this file as JSON lines")
	flags.BoolVarP(&o.verbose, "verbose", "v", false, "log the front ends at debug level")
	return cmd
}

func listScenarios() error {
	for _, name := range scenario.Scripts() {
		script, err := scenario.Builtin(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-14s %s\n", name, script.Description)
	}
	return nil
}

func runScenarios(ctx context.Context, o scenarioOptions) error {
	script, err := o.script()
	if err != nil {
		return usageError(err)
	}
	log := slog.New(slog.DiscardHandler)
	if o.verbose {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	runs := max(o.runs, 1)
	failed := 0
	for seed := o.firstSeed; seed < o.firstSeed+uint64(runs); seed++ {
		report, records, err := scenario.Run(ctx, script, seed, log)
		if err != nil {
			return err
		}
		if o.recordFile != "" {
			if err := writeRecords(o.recordFile, records); err != nil {
				return err
			}
		}
		if !report.OK() {
			failed++
		}
		if err := o.print(report); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return errors.New("interrupted")
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs violated a rule or failed", failed, runs)
	}
	return nil
}

// script returns the script that the flags select: a file or a built-in script.
func (o scenarioOptions) script() (*scenario.Script, error) {
	if o.file == "" {
		return scenario.Builtin(o.name)
	}
	data, err := os.ReadFile(o.file)
	if err != nil {
		return nil, err
	}
	return scenario.ParseScript(data, o.file)
}

func (o scenarioOptions) print(report *scenario.Report) error {
	if o.asJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	printReport(report)
	return nil
}

func printReport(r *scenario.Report) {
	verdict := "all five rules held"
	if r.RulesBroken > 0 {
		verdict = fmt.Sprintf("%d of five rules BROKEN", r.RulesBroken)
	}
	fmt.Printf("%s, seed %d, %.1f s: %s\n", r.Script, r.Seed, r.Seconds, verdict)
	fmt.Printf("  requests   %d sent: %d succeeded, %d rejected, %d failed, %d invalid, %d cancelled, %d unanswered\n",
		r.Requests, r.Succeeded, r.Rejected, r.Failed, r.Invalid, r.Cancelled, r.Unanswered)
	fmt.Printf("  firings    %.1f%% of %d succeeded in time, %.1f%% in the worst 2 s; %d requests deduplicated\n",
		100*r.InTime, r.Firings, 100*r.WorstInTime, r.Deduplicated)
	fmt.Printf("  attempts   %d, load commands %d, store fetches %d\n", r.Attempts, r.LoadCommands, r.Fetches)
	fmt.Printf("  latency    p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms\n", r.Latency["p50"], r.Latency["p90"],
		r.Latency["p99"], r.Latency["max"])
	var causes []string
	for cause, count := range r.Causes {
		causes = append(causes, fmt.Sprintf("%s %d", cause, count))
	}
	sort.Strings(causes)
	if len(causes) > 0 {
		fmt.Printf("  causes of other outcomes: %s\n", strings.Join(causes, ", "))
	}
	fmt.Printf("  rule 1: %d unanswered, %d duplicate responses, %d attempts after the end; rule 2: %d concurrent attempts, "+
		"%d duplicate executions, %d wrong rejections\n  rule 3: %d sent after drain; rule 4: %d warm-up overloads; "+
		"rule 5: %d excess load commands\n",
		r.Unanswered, r.DuplicateResponses, r.AttemptsAfterEnd, r.ConcurrentAttempts, r.DuplicateExecutions, r.WrongRejections,
		r.SentAfterDrain, r.WarmUpOverloads, r.ExcessLoadCommands)
	for _, finding := range append(r.Violations, r.Failures...) {
		fmt.Println("  !", finding)
	}
}
