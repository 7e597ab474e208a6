package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"streamcleat/internal/console"
	"streamcleat/internal/verification/simulation"
)

const defaultProfile = "day"

// sweepOptions are the flags of sim.
type sweepOptions struct {
	seeds, firstSeed uint64
	profile          string
	asJSON           bool
	parallel         int
}

// simulateCommand returns the command that runs the program in a simulated environment with a virtual clock.
func simulateCommand() *cobra.Command {
	var o sweepOptions
	cmd := &cobra.Command{
		Use:   "sim",
		Short: "Simulate the program on a virtual clock with faults drawn from seeds, and check every rule",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return sweep(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&o.seeds, "seeds", 100, "number of seeds")
	flags.Uint64Var(&o.firstSeed, "from", 0, "first seed")
	flags.StringVar(&o.profile, "profile", defaultProfile, "sizes and fault kinds: see sim profiles")
	flags.BoolVar(&o.asJSON, "json", false, "print the report of each seed as a JSON line")
	flags.IntVar(&o.parallel, "at-once", runtime.GOMAXPROCS(0), "number of concurrent seeds")
	cmd.AddCommand(replayCommand(), shrinkCommand(), profilesCommand(), exploreCommand())
	return cmd
}

func sweep(ctx context.Context, o sweepOptions) error {
	if o.parallel < 1 || o.seeds < 1 {
		return usageError(errors.New("--seeds and --at-once must be above 0"))
	}
	summary := simulation.NewSummary(o.profile)
	encoder := json.NewEncoder(os.Stdout)
	var writeErr error
	err := simulation.Sweep(ctx, o.profile, o.firstSeed, o.seeds, o.parallel, func(r *simulation.Report) {
		summary.Add(r)
		if o.asJSON {
			writeErr = errors.Join(writeErr, encoder.Encode(r))
		} else if !r.OK() {
			fmt.Printf("seed %d: %s\n", r.Seed, strings.Join(r.Findings, "\n    "))
		}
	})
	if err := errors.Join(err, writeErr); err != nil {
		return err
	}
	if !o.asJSON {
		fmt.Print(summary)
	}
	if summary.Broken > 0 {
		return fmt.Errorf("%d of %d seeds have findings", summary.Broken, summary.Seeds)
	}
	return nil
}

// readScript returns the script that the argument denotes: generated from a seed if it is a number, otherwise read from a file.
func readScript(profile, arg string) (*simulation.Script, error) {
	if seed, err := strconv.ParseUint(arg, 10, 64); err == nil {
		script, err := simulation.Generate(profile, seed)
		if err != nil {
			return nil, usageError(err)
		}
		return script, nil
	}
	data, err := os.ReadFile(arg)
	if err != nil {
		return nil, err
	}
	script, err := simulation.ReadScript(data)
	if err != nil {
		return nil, usageError(fmt.Errorf("%s: %w", arg, err))
	}
	return script, nil
}

// replayOptions are the flags of sim replay.
type replayOptions struct {
	profile, recordFile string
	trace, printScript  bool
	runs                int
}

func replayCommand() *cobra.Command {
	var o replayOptions
	cmd := &cobra.Command{
		Use:   "replay SEED|FILE",
		Short: "Replay a seed or a script and compare the digests of the traces",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			script, err := readScript(o.profile, args[0])
			if err != nil {
				return err
			}
			if o.printScript {
				return indentedJSON().Encode(script)
			}
			return replay(script, o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.profile, "profile", defaultProfile, "profile of the seed")
	flags.BoolVar(&o.trace, "trace", false, "print each step")
	flags.BoolVar(&o.printScript, "script", false, "print the script without running it")
	flags.StringVar(&o.recordFile, "tape", "", "file for the traffic between clients, front ends and workers, as JSON lines")
	flags.IntVar(&o.runs, "times", 2, "number of runs whose digests are compared")
	return cmd
}

// replay runs a script several times, prints the report of the first run, and fails if the trace of another run has a
// different digest.
func replay(script *simulation.Script, o replayOptions) (err error) {
	var onStep func(string)
	if o.trace {
		trace := bufio.NewWriter(os.Stdout)
		defer func() { err = errors.Join(err, trace.Flush()) }()
		onStep = func(line string) {
			_, _ = trace.WriteString(line + "\n") // Flush returns the error of a failed write
		}
	}
	firstReport, records, err := simulation.Play(script, onStep)
	if err != nil {
		return err
	}
	if err := indentedJSON().Encode(firstReport); err != nil {
		return err
	}
	if o.recordFile != "" {
		if err := writeRecords(o.recordFile, records); err != nil {
			return err
		}
	}
	for run := 2; run <= o.runs; run++ {
		report, _, err := simulation.Play(script, nil)
		if err != nil {
			return err
		}
		if report.Digest != firstReport.Digest {
			return fmt.Errorf("run %d diverged: its trace has digest %s, that of the first run %s", run, report.Digest, firstReport.Digest)
		}
	}
	if !firstReport.OK() {
		return errors.New("the script has findings: see the report")
	}
	return nil
}

func shrinkCommand() *cobra.Command {
	var profile, output string
	cmd := &cobra.Command{
		Use:   "shrink SEED|FILE",
		Short: "Shrink a script that has findings to a small one that still has",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			script, err := readScript(profile, args[0])
			if err != nil {
				return err
			}
			return shrink(script, output)
		},
	}
	cmd.Flags().StringVar(&profile, "profile", defaultProfile, "profile of the seed")
	cmd.Flags().StringVarP(&output, "output", "o", "", "file for the small script; standard output by default")
	return cmd
}

func shrink(script *simulation.Script, output string) error {
	shrunk, report, runs, err := simulation.Shrink(script)
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(shrunk, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%d of %d faults left after %d runs; findings: %s\n", len(shrunk.Faults), len(script.Faults), runs,
		strings.Join(report.Findings, "; "))
	if output == "" {
		fmt.Println(string(data))
		return nil
	}
	return os.WriteFile(output, append(data, '\n'), 0o644)
}

func profilesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "profiles",
		Short: "List the profiles",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			rows := [][]string{{"PROFILE", "DESCRIPTION"}}
			names, descriptions := simulation.Profiles()
			for i := range names {
				rows = append(rows, []string{names[i], descriptions[i]})
			}
			fmt.Print(console.Table(rows))
			return nil
		},
	}
}

func exploreCommand() *cobra.Command {
	var depth, maxStates int
	cmd := &cobra.Command{
		Use:   "explore",
		Short: "Explore every order of messages in a small environment up to a depth, and check rules 1 to 3",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return explore(depth, maxStates)
		},
	}
	cmd.Flags().IntVar(&depth, "depth", 6, "maximum number of steps")
	cmd.Flags().IntVar(&maxStates, "states", 2_000_000, "number of states after which the exploration ends")
	return cmd
}

func explore(depth, maxStates int) error {
	if depth < 1 || maxStates < 1 {
		return usageError(errors.New("--depth and --states must be above 0"))
	}
	result := simulation.Explore(depth, maxStates)
	if err := indentedJSON().Encode(result); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return fmt.Errorf("%d paths violate a rule", len(result.Violations))
	}
	return nil
}
