package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/config"
	"streamcleat/gateway"
	"streamcleat/netloop"
	"streamcleat/timers"
)

func serveCommand() *cobra.Command {
	var listen []string
	cmd := &cobra.Command{
		Use:   "serve [CONFIG]",
		Short: "Run the front ends until a signal stops them",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := load(args)
			if err != nil {
				return err
			}
			if len(listen) > 0 {
				c.Listen = listen
			}
			return serve(cmd.Context(), c)
		},
	}
	cmd.Flags().StringSliceVar(&listen, "listen", nil, "host:port in place of the configuration's; one front end for each")
	return cmd
}

func load(args []string) (*config.Config, error) {
	if len(args) == 0 {
		return config.Default(), nil
	}
	c, err := config.Load(args[0])
	if err != nil {
		return nil, exit{2, fmt.Errorf("%s:\n%w", args[0], err)}
	}
	return c, nil
}

func serve(ctx context.Context, c *config.Config) error {
	log := c.Logger(os.Stderr)
	if c.Workers.File == "" {
		log.Warn("no list of workers is configured (workers.file): every event will be deferred")
	}
	var fronts []*netloop.Server
	stop := func() (errs error) {
		within := time.Duration(c.StopWithin * float64(time.Second))
		ended := make(chan error, len(fronts))
		for _, f := range fronts {
			go func() { ended <- f.Stop(within) }()
		}
		for range fronts {
			errs = errors.Join(errs, <-ended)
		}
		return errs
	}
	for i, addr := range c.Listen {
		name := c.Name
		if len(c.Listen) > 1 {
			name = fmt.Sprintf("%s-%d", c.Name, i)
		}
		set := netloop.Settings{Name: name, Listen: addr, WorkersFile: c.Path(c.Workers.File), Core: c.Core(rand.Uint64()),
			Pool: c.Pool(name), Front: c.Front(), MostConns: c.Limits.Connections, Log: log}
		if p := c.Peers; p != nil {
			set.PeerListen, set.Cluster, set.Peers = p.Listen[i], p.Cluster, append(set.Peers, p.Others...)
			for k, other := range p.Listen {
				if k != i {
					set.Peers = append(set.Peers, other)
				}
			}
		}
		f, err := netloop.Start(set)
		if err != nil {
			return errors.Join(err, stop())
		}
		fronts = append(fronts, f)
		fmt.Printf("front end %s listens on %s\n", name, f.Addr())
	}
	if c.Timers != nil {
		if err := fireInside(ctx, c, fronts); err != nil {
			return errors.Join(err, stop())
		}
	}
	<-ctx.Done()
	log.Info("stopping", "within", c.StopWithin)
	return stop()
}

// fireInside runs the configuration's own crontab. Its firings go to the front end that timer clients of the same
// crontab would ask, so that a minute fired by both is one event.
func fireInside(ctx context.Context, c *config.Config, fronts []*netloop.Server) error {
	path := c.Path(c.Timers.Crontab)
	entries, err := readCrontab(path)
	if err != nil {
		return err
	}
	source := c.Timers.Source
	if source == "" {
		source = "/timers/" + c.Name
	}
	byAddr := map[string]*netloop.Server{}
	var addrs []string
	for _, f := range fronts {
		byAddr[f.Addr()] = f
		addrs = append(addrs, f.Addr())
	}
	plan := timers.NewPlan(entries, time.Now())
	go func() {
		for {
			for _, f := range plan.Due(time.Now()) {
				byAddr[timers.Ranked(addrs, f.ID)[0]].Take(ask(source, f), func(gateway.Answer) {})
			}
			pause := time.Minute // the clock may be set meanwhile
			if next, ok := plan.Next(); ok {
				pause = min(max(time.Until(next), time.Millisecond), pause)
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
	}()
	return nil
}

func ask(source string, f timers.Firing) gateway.Ask {
	e := f.Entry
	fields := []gateway.Field{{Name: "ce-specversion", Value: "1.0"}, {Name: "ce-source", Value: source},
		{Name: "ce-id", Value: f.ID}, {Name: "ce-type", Value: e.Type}, {Name: "ce-function", Value: e.Function},
		{Name: "ce-time", Value: f.Due.UTC().Format(time.RFC3339)}}
	if e.Tenant != "" {
		fields = append(fields, gateway.Field{Name: "ce-tenant", Value: e.Tenant})
	}
	if len(e.Data) > 0 {
		fields = append(fields, gateway.Field{Name: "Content-Type", Value: "application/json"})
	}
	return gateway.Ask{Identity: gateway.Identity{Source: source, ID: f.ID}, Type: e.Type, Tenant: e.Tenant,
		Function: e.Function, Wait: e.Wait.Seconds(), Fields: fields, Body: e.Data}
}

func readCrontab(path string) ([]timers.Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, exit{2, fmt.Errorf("crontab: %w", err)}
	}
	defer file.Close()
	entries, err := timers.Parse(file, path)
	if err != nil {
		return nil, exit{2, err}
	}
	return entries, nil
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check CONFIG",
		Short: "Check a configuration as a whole; exit 2 names every fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := load(args)
			if err != nil {
				return err
			}
			entries := 0
			if c.Timers != nil {
				list, err := readCrontab(c.Path(c.Timers.Crontab))
				if err != nil {
					return err
				}
				entries = len(list)
			}
			fmt.Printf("%s: %d front ends, %d event types, %d timer entries\n", args[0], len(c.Listen), len(c.EventTypes), entries)
			return nil
		},
	}
}

func schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of the configuration",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := os.Stdout.Write(config.Schema)
			return err
		},
	}
}
