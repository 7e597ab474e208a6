package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/internal/config"
	"streamcleat/internal/schedule"
	"streamcleat/internal/verification/fakes"
)

// fakeCommand returns the command that runs test fakes as separate processes.
func fakeCommand(name string) *cobra.Command {
	cmd := &cobra.Command{Use: name, Short: "Run fake workers or a fake timer client as a process"}
	cmd.AddCommand(fakeWorkerCommand(), fakeTimersCommand())
	return cmd
}

// maxFakeWorkers is the maximum number of fake workers in one process.
const maxFakeWorkers = 200

// fakeWorkerOptions are the flags of fake worker.
type fakeWorkerOptions struct {
	count, functions, cores int
	listFile, address       string
	seed                    uint64
	loadOnRequest           bool
}

func fakeWorkerCommand() *cobra.Command {
	var o fakeWorkerOptions
	cmd := &cobra.Command{
		Use:   "worker",
		Short: "Run fake workers and write the endpoint list that names them",
		Long: "Runs fake workers that speak the Open Inference Protocol. POST /standin/fault at a worker injects a fault, as in\n" +
			`{"kind":"hang","for":3}; the other kinds are lose, errors, slow, suspend, reset, truncate and late-reports.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runFakeWorkers(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&o.count, "count", 4, "number of workers")
	flags.IntVar(&o.functions, "functions", 40, "number of functions that can be loaded: shop-000, shop-001, ...")
	flags.IntVar(&o.cores, "cores", 2, "cores of each worker")
	flags.StringVar(&o.listFile, "list", "workers.json", "file to write the endpoint list to")
	flags.StringVar(&o.address, "address", "", "host:port to listen on, with --count 1")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the functions' load times and sizes")
	flags.BoolVar(&o.loadOnRequest, "load-on-event", false, "load a function that is requested and not loaded, instead of replying 404")
	return cmd
}

// runFakeWorkers runs the workers until ctx is cancelled.
func runFakeWorkers(ctx context.Context, o fakeWorkerOptions) error {
	if o.count < 1 || o.count > maxFakeWorkers || o.functions < 1 {
		return usageError(fmt.Errorf("--count must be 1 to %d and --functions at least 1", maxFakeWorkers))
	}
	store := fakes.NewStore(o.count, 4*o.count)
	catalogue := fakes.Catalogue(o.functions, 0.04, o.seed)
	var workers []*fakes.Worker
	for i := range o.count {
		workerConfig := o.workerConfig(i)
		workerConfig.Functions = catalogue
		workerConfig.Store = store
		worker, err := fakes.NewWorker(workerConfig)
		if err != nil {
			return err
		}
		defer worker.Close()
		workers = append(workers, worker)
		fmt.Printf("worker %s listens on %s\n", worker.Name(), worker.Addr())
	}
	if o.listFile != "" {
		if _, err := fakes.NewEndpointList(o.listFile, nil, workers); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// workerConfig returns the configuration of one worker without the functions and the store, which all workers share.
func (o fakeWorkerOptions) workerConfig(index int) fakes.WorkerConfig {
	address := "127.0.0.1:0"
	if o.address != "" && o.count == 1 {
		address = o.address
	}
	return fakes.WorkerConfig{
		Name:                    fmt.Sprintf("wk-%02d", index),
		Addr:                    address,
		MachineType:             "std",
		Cores:                   o.cores,
		Speed:                   1,
		Memory:                  8000,
		QueueLimit:              64,
		MaxConcurrentLoads:      4,
		IdleReplicaLifetime:     9,
		InitialCapacityFraction: 0.29,
		WarmUpTime:              16,
		OverloadFactor:          2.5,
		OverloadWindow:          1.5,
		LoadsOnRequest:          o.loadOnRequest,
		MeanWork:                0.04,
		Deduplicator:            fakes.NewDeduplicator(60),
		IdempotentByKeyClasses:  map[string]bool{"till-entry": true},
		Seed:                    o.seed + uint64(index),
	}
}

// fakeTimersOptions are the flags of fake timers.
type fakeTimersOptions struct {
	crontab, source string
	frontEnds       []string
	maxRetries      int
	once            bool
}

func fakeTimersCommand() *cobra.Command {
	var o fakeTimersOptions
	cmd := &cobra.Command{
		Use:   "timers",
		Short: "Fire the entries of a crontab at front ends over HTTP",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runFakeTimers(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.crontab, "crontab", "crontab", "crontab file")
	flags.StringVar(&o.source, "source", "/timers/streamcleat", "CloudEvents source; all clients of one crontab must use the same")
	flags.StringSliceVar(&o.frontEnds, "front", []string{"127.0.0.1:8080"}, "front ends as host:port")
	flags.IntVar(&o.maxRetries, "repeat", 2, "maximum number of retries after a rejection with Retry-After")
	flags.BoolVar(&o.once, "now", false, "fire every entry once for the present minute, and exit")
	return cmd
}

func runFakeTimers(ctx context.Context, o fakeTimersOptions) error {
	entries, err := readCrontab(o.crontab)
	if err != nil {
		return err
	}
	client := &schedule.Client{
		Source:         o.source,
		FrontEnds:      o.frontEnds,
		MaxRetries:     o.maxRetries,
		DefaultTimeout: 4 * time.Second,
		Log:            config.Default().Logger(os.Stderr),
		HTTP:           &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if o.once {
		return fireOnce(ctx, client, entries)
	}
	client.Run(ctx, schedule.NewPlan(entries, time.Now()), time.Now, time.Until)
	return nil
}

// fireOnce fires the entries one after another, each for the current minute, and fails if any response is not 200.
func fireOnce(ctx context.Context, client *schedule.Client, entries []schedule.Entry) error {
	failed := 0
	for i := range entries {
		minute := time.Now().Truncate(time.Minute)
		firing := schedule.Firing{Entry: &entries[i], Due: minute, ID: schedule.FiringID(&entries[i], minute)}
		result := client.Fire(context.WithoutCancel(ctx), firing)
		fmt.Printf("%s status %d after %.0f ms\n", firing.ID, result.Status, result.Latency.Seconds()*1000)
		if result.Status != http.StatusOK {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d firings failed", failed, len(entries))
	}
	return nil
}
