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

// scenarioCommand runs fault-injection scenarios.
func scenarioCommand(word string) *cobra.Command {
	var o scenarioOptions
	cmd := &cobra.Command{
		Use:   word,
		Short: "Run a fault-injection scenario on loopback and check the rules on what passed on the sockets",
		Long: word + " starts front ends, fake workers, a fake function store and timer clients on loopback, runs a script of\n" +
			"faults and checks the five rules on what passed on the sockets. It exits 0 only if all of them held.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.list {
				return listScenarios()
			}
			return runScenarios(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.file, "script", "", "script file, in place of one that comes with the program")
	flags.StringVar(&o.name, "name", "bad-day", "script that comes with the program")
	flags.BoolVar(&o.list, "list", false, "list the scripts that come with the program")
	flags.Uint64Var(&o.firstSeed, "seed", 1, "first seed")
	flags.IntVar(&o.runs, "seeds", 1, "number of runs, each with the next seed")
	flags.BoolVar(&o.asJSON, "json", false, "one JSON object for each run")
	flags.StringVar(&o.recordFile, "record", "", "write what passed on the sockets to this file, as JSON lines")
	flags.BoolVarP(&o.verbose, "verbose", "v", false, "log what the front ends do")
	return cmd
}

func listScenarios() error {
	for _, name := range scenario.Scripts() {
		script, err := scenario.Builtin(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-14s %s\n", name, script.About)
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
		if err := o.show(report); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return errors.New("interrupted")
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d days broke a rule or failed", failed, runs)
	}
	return nil
}

// script reads the script that the flags name.
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

func (o scenarioOptions) show(report *scenario.Report) error {
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
	fmt.Printf("  events     %d asked: %d handled, %d deferred, %d dead-lettered, %d refused, %d clients left, %d unanswered\n",
		r.Requests, r.Succeeded, r.Rejected, r.Failed, r.Invalid, r.Cancelled, r.Unanswered)
	fmt.Printf("  service    %.1f%% of %d firings handled in time, %.1f%% in the worst 2 s; %d asks joined another's event\n", 100*r.InTime, r.Firings, 100*r.WorstInTime, r.Deduplicated)
	fmt.Printf("  launches   %d, load orders %d, store fetches %d\n", r.Attempts, r.LoadCommands, r.Fetches)
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
		r.Unanswered, r.DuplicateResponses, r.AttemptsAfterEnd, r.ConcurrentAttempts, r.DuplicateExecutions, r.WrongRejections, r.SentAfterDrain, r.WarmUpOverloads, r.ExcessLoadCommands)
	for _, f := range append(r.Violations, r.Failures...) {
		fmt.Println("  !", f)
	}
}
