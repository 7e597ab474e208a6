package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"streamcleat/internal/console"
	"streamcleat/internal/invariants"
	"streamcleat/internal/simulation"
)

// simCommand runs the program in simulated worlds.
func simCommand() *cobra.Command {
	var n, from uint64
	var name string
	var asJSON bool
	var at int
	cmd := &cobra.Command{Use: "sim", Short: "Run the program on a virtual clock, with faults from seeds, and check every rule", Args: cobra.NoArgs}
	cmd.Flags().Uint64Var(&n, "seeds", 100, "how many seeds")
	cmd.Flags().Uint64Var(&from, "from", 0, "first seed")
	cmd.Flags().StringVar(&name, "profile", "day", "sizes and kinds of fault: see sim profiles")
	cmd.Flags().BoolVar(&asJSON, "json", false, "a report of each seed as a JSON line")
	cmd.Flags().IntVar(&at, "at-once", runtime.GOMAXPROCS(0), "seeds at a time")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if at < 1 || n < 1 {
			return exit{2, fmt.Errorf("--seeds and --at-once must be above 0")}
		}
		sum := simulation.NewSummary(name)
		enc := json.NewEncoder(os.Stdout)
		err := simulation.Sweep(cmd.Context(), name, from, n, at, func(r *simulation.Report) {
			sum.Add(r)
			if asJSON {
				enc.Encode(r)
			} else if !r.OK() {
				fmt.Printf("seed %d: %s\n", r.Seed, strings.Join(r.Broke, "\n    "))
			}
		})
		if err != nil {
			return err
		}
		if !asJSON {
			fmt.Print(sum)
		}
		if sum.Broken > 0 {
			return exit{1, fmt.Errorf("%d of %d seeds broke something", sum.Broken, sum.Seeds)}
		}
		return nil
	}
	cmd.AddCommand(simReplay(), simShrink(), simProfiles(), simExplore())
	return cmd
}

// scripted is the script of a seed, or of a file.
func scripted(profile, arg string) (*simulation.Script, error) {
	if seed, err := strconv.ParseUint(arg, 10, 64); err == nil {
		s, err := simulation.Generate(profile, seed)
		if err != nil {
			return nil, exit{2, err}
		}
		return s, nil
	}
	data, err := os.ReadFile(arg)
	if err != nil {
		return nil, err
	}
	s, err := simulation.ReadScript(data)
	if err != nil {
		return nil, exit{2, fmt.Errorf("%s: %w", arg, err)}
	}
	return s, nil
}

func simReplay() *cobra.Command {
	var profile, tape string
	var trace, show bool
	var times int
	cmd := &cobra.Command{Use: "replay SEED|FILE", Short: "Run one seed or script again; the digest of its trace proves that it was the same", Args: cobra.ExactArgs(1)}
	cmd.Flags().StringVar(&profile, "profile", "day", "profile of the seed")
	cmd.Flags().BoolVar(&trace, "trace", false, "print every step")
	cmd.Flags().BoolVar(&show, "script", false, "print the script and run nothing")
	cmd.Flags().StringVar(&tape, "tape", "", "file for what the referee saw, JSON lines")
	cmd.Flags().IntVar(&times, "times", 2, "run it so often and compare the digests")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		s, err := scripted(profile, args[0])
		if err != nil {
			return err
		}
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if show {
			return enc.Encode(s)
		}
		var told func(string)
		if trace {
			out := bufio.NewWriter(os.Stdout)
			defer out.Flush()
			told = func(line string) { fmt.Fprintln(out, line) }
		}
		digest, broke := "", false
		for i := range max(times, 1) {
			r, records, err := simulation.Play(s, told)
			if err != nil {
				return err
			}
			told = nil
			if digest != "" && r.Digest != digest {
				return exit{1, fmt.Errorf("run %d took another way: %s, before %s", i+1, r.Digest, digest)}
			}
			if digest = r.Digest; i > 0 {
				continue
			}
			if err := enc.Encode(r); err != nil {
				return err
			}
			if tape != "" {
				f, err := os.Create(tape)
				if err != nil {
					return err
				}
				if err := invariants.Write(f, records); err != nil {
					return err
				}
				if err := f.Close(); err != nil {
					return err
				}
			}
			broke = !r.OK()
		}
		if broke {
			return exit{1, errors.New("the script broke something")}
		}
		return nil
	}
	return cmd
}

func simShrink() *cobra.Command {
	var profile, out string
	cmd := &cobra.Command{Use: "shrink SEED|FILE", Short: "Cut a script that breaks something to a small one that still does", Args: cobra.ExactArgs(1)}
	cmd.Flags().StringVar(&profile, "profile", "day", "profile of the seed")
	cmd.Flags().StringVarP(&out, "output", "o", "", "file for the small script; standard output otherwise")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		s, err := scripted(profile, args[0])
		if err != nil {
			return err
		}
		small, r, runs, err := simulation.Shrink(s)
		if err != nil {
			return err
		}
		data, err := json.MarshalIndent(small, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%d faults of %d are left after %d runs; it breaks: %s\n", len(small.Faults), len(s.Faults), runs, strings.Join(r.Broke, "; "))
		if out == "" {
			fmt.Println(string(data))
			return nil
		}
		return os.WriteFile(out, append(data, '\n'), 0o644)
	}
	return cmd
}

func simProfiles() *cobra.Command {
	return &cobra.Command{Use: "profiles", Short: "What profiles there are", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		rows := [][]string{{"PROFILE", "ABOUT"}}
		names, abouts := simulation.Profiles()
		for i := range names {
			rows = append(rows, []string{names[i], abouts[i]})
		}
		fmt.Print(console.Table(rows))
		return nil
	}}
}

func simExplore() *cobra.Command {
	var depth, most int
	cmd := &cobra.Command{Use: "explore", Short: "Go every order of a small world to a depth, and check rules 1 to 3", Args: cobra.NoArgs}
	cmd.Flags().IntVar(&depth, "depth", 6, "moves")
	cmd.Flags().IntVar(&most, "states", 2_000_000, "worlds after which it ends")
	cmd.RunE = func(*cobra.Command, []string) error {
		if depth < 1 || most < 1 {
			return exit{2, fmt.Errorf("--depth and --states must be above 0")}
		}
		x := simulation.Explore(depth, most)
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(x); err != nil {
			return err
		}
		if len(x.Broke) > 0 {
			return exit{1, fmt.Errorf("%d ways broke a rule", len(x.Broke))}
		}
		return nil
	}
	return cmd
}
