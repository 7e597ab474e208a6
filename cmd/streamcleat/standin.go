package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/internal/config"
	"streamcleat/internal/fakes"
	"streamcleat/internal/schedule"
)

func standinCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in as a process of its own"}
	cmd.AddCommand(standinWorkers(), standinTimers())
	return cmd
}

func standinWorkers() *cobra.Command {
	var n, functions, cores int
	var list, address string
	var seed uint64
	var onEvent bool
	cmd := &cobra.Command{
		Use:   "worker",
		Short: "Run stand-in workers and write the list that names them",
		Long: "worker runs stand-in workers that speak the Open Inference Protocol. POST /standin/fault at a worker makes\n" +
			`something go wrong: {"kind":"hang","for":3}, further kinds are lose, errors, slow, stall, reset, cut, late-reports.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if n < 1 || n > 200 || functions < 1 {
				return exit{2, fmt.Errorf("--count must be 1 to 200 and --functions at least 1")}
			}
			store := fakes.NewStore(n, 4*n)
			catalogue := fakes.Catalogue(functions, 0.04, seed)
			var all []*fakes.Worker
			for i := range n {
				addr := "127.0.0.1:0"
				if address != "" && n == 1 {
					addr = address
				}
				w, err := fakes.NewWorker(fakes.Spec{Name: fmt.Sprintf("wk-%02d", i), Addr: addr, Kind: "std", Cores: cores,
					Speed: 1, Memory: 8000, Queue: 64, LoadsAtOnce: 4, Keep: 9, ColdShare: 0.29, WarmWithin: 16, FallFactor: 2.5,
					FallWindow: 1.5, LoadsOnEvent: onEvent, MeanWork: 0.04, Functions: catalogue, Store: store,
					Drops: fakes.NewMemory(60), Keyed: map[string]bool{"till-entry": true}, Seed: seed + uint64(i)})
				if err != nil {
					return err
				}
				defer w.Close()
				all = append(all, w)
				fmt.Printf("worker %s listens on %s\n", w.Name(), w.Addr())
			}
			if list != "" {
				if _, err := fakes.NewList(list, nil, all); err != nil {
					return err
				}
			}
			<-cmd.Context().Done()
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&n, "count", 4, "workers")
	f.IntVar(&functions, "functions", 40, "functions that they know: shop-000 and so on")
	f.IntVar(&cores, "cores", 2, "cores of each")
	f.StringVar(&list, "list", "workers.json", "file for the list of workers")
	f.StringVar(&address, "address", "", "host:port, for one worker")
	f.Uint64Var(&seed, "seed", 1, "seed of the functions' figures")
	f.BoolVar(&onEvent, "load-on-event", false, "load a function that an event lacks; else answer 404")
	return cmd
}

func standinTimers() *cobra.Command {
	var crontab, source string
	var fronts []string
	var repeat int
	var once bool
	cmd := &cobra.Command{
		Use:   "timers",
		Short: "Fire a crontab's events at front ends over HTTP",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			entries, err := readCrontab(crontab)
			if err != nil {
				return err
			}
			c := &schedule.Client{Source: source, FrontEnds: fronts, MaxRetries: repeat, DefaultTimeout: 4 * time.Second,
				Log:  config.Default().Logger(os.Stderr),
				HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
			if once { // every entry now, for the minute that it last was due
				failed := 0
				for i := range entries {
					now := time.Now().Truncate(time.Minute)
					f := schedule.Firing{Entry: &entries[i], Due: now, ID: schedule.FiringID(&entries[i], now)}
					o := c.Fire(context.WithoutCancel(cmd.Context()), f)
					fmt.Printf("%s status %d after %.0f ms\n", f.ID, o.Status, o.Latency.Seconds()*1000)
					if o.Status != http.StatusOK {
						failed++
					}
				}
				if failed > 0 {
					return fmt.Errorf("%d of %d firings were not handled", failed, len(entries))
				}
				return nil
			}
			c.Run(cmd.Context(), schedule.NewPlan(entries, time.Now()), time.Now, time.Until)
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&crontab, "crontab", "crontab", "crontab file")
	f.StringVar(&source, "source", "/timers/streamcleat", "CloudEvents source, the same for all clients of one crontab")
	f.StringSliceVar(&fronts, "front", []string{"127.0.0.1:8080"}, "front ends, host:port")
	f.IntVar(&repeat, "repeat", 2, "further tries after a deferral")
	f.BoolVar(&once, "now", false, "fire every entry once, for the present minute, and end")
	return cmd
}
