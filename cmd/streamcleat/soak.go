package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/internal/verification/invariants"
	"streamcleat/internal/verification/soak"
)

// errSoakViolations reports that the checks of at least one run found a violation.
var errSoakViolations = errors.New("a rule was violated; the report of the run lists the violations")

// soakOptions are the flags of soak.
type soakOptions struct {
	settings   soak.Settings
	runs       int
	recordFile string
	asJSON     bool
	verbose    bool
}

// soakCommand returns the command that runs front ends as separate processes and injects random faults.
func soakCommand() *cobra.Command {
	var o soakOptions
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run front ends as processes under overlapping faults and check the rules on the recorded traffic",
		Long: "Starts front ends of the platform as processes on loopback, with fake workers, a fake discovery service and clients,\n" +
			"injects overlapping faults drawn from a seed (restarts, kills, reloads, pauses, misbehaving workers, discovery, clients\n" +
			"and log readers) and checks the rules. In a build with the tag faults, system calls of the front ends fail too.\n" +
			"The exit status is 0 only if no rule was violated and nothing failed.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runSoak(cmd.Context(), &o) },
	}
	flags := cmd.Flags()
	flags.Uint64Var(&o.settings.Seed, "seed", 1, "first seed")
	flags.IntVar(&o.runs, "seeds", 1, "number of runs, each with the next seed")
	flags.IntVar(&o.settings.FrontEnds, "front-ends", 24, "number of front ends")
	flags.IntVar(&o.settings.Workers, "workers", 12, "number of workers at the start")
	flags.DurationVar(&o.settings.Duration, "duration", 20*time.Second, "duration of the load in each run")
	flags.Float64Var(&o.settings.FaultRate, "fault-rate", 0.001, "fraction of system calls that fail, in a build with the tag faults")
	flags.BoolVar(&o.asJSON, "json", false, "one JSON object for each run")
	flags.StringVar(&o.recordFile, "record", "", "write the recorded traffic of the last run to this file as JSON lines")
	flags.StringVar(&o.settings.LogFolder, "logs", "", "write the log of each process to this folder")
	flags.BoolVar(&o.settings.Outages, "outages", false, "inject outages of discovery of up to 20 s, with faults of workers and front ends beside them")
	flags.BoolVar(&o.settings.ColdReturns, "cold-returns", false, "with --outages: workers that return cold at their addresses, at front ends without a connection")
	flags.BoolVar(&o.settings.Floods, "floods", false, "add clients that send at full speed, and crowds of slow connections, to the faults")
	flags.BoolVar(&o.settings.LoadQuota, "load-quota", false, "limit the load commands of the front ends")
	flags.IntVar(&o.settings.MemoryMB, "memory", 0, "memory limit of a front end in MB (0: the default)")
	flags.IntVar(&o.settings.ConnectionsPerFrontEnd, "connections", 0, "concurrent connections of clients to each front end (0: the default)")
	flags.DurationVar(&o.settings.RequestTimeout, "timeout", 0, "timeout that clients state (0: the default)")
	flags.BoolVarP(&o.verbose, "verbose", "v", false, "print each fault as it is injected")
	return cmd
}

func runSoak(ctx context.Context, o *soakOptions) error {
	var err error
	if o.settings.Program, err = os.Executable(); err != nil {
		return err
	}
	if o.verbose {
		o.settings.Log = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	}
	violated := false
	firstSeed := o.settings.Seed
	for run := range o.runs {
		o.settings.Seed = firstSeed + uint64(run)
		result, records, err := soak.Run(ctx, o.settings)
		if err != nil {
			return err
		}
		if err := o.report(result, records); err != nil {
			return err
		}
		violated = violated || result.Broken()
	}
	if violated {
		return errSoakViolations
	}
	return nil
}

// report prints a result and, if --record is set, writes the recorded traffic.
func (o *soakOptions) report(result *soak.Result, records []invariants.Record) error {
	if o.recordFile != "" {
		if err := writeRecords(o.recordFile, records); err != nil {
			return err
		}
	}
	if o.asJSON {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	_, err := fmt.Print(result)
	return err
}
