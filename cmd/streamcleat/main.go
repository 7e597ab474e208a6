// Command streamcleat is a gateway that runs calls on workers which load functions on demand.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// exit is an error with the status that the process ends with. An error without one ends it with 1.
type exit struct {
	code int
	err  error
}

func (e exit) Error() string { return e.err.Error() }
func (e exit) Unwrap() error { return e.err }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:   "streamcleat",
		Short: "A gateway that runs calls on workers which load functions on demand",
		Long: "streamcleat takes events (CloudEvents over HTTP, cron-style timers) and hands each to a worker that holds a\n" +
			"loaded copy of its function, or has one loaded. Each event gets exactly one final answer.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), schemaCommand(), standinCommand(), drillCommand(), simCommand(), refereeCommand(),
		benchCommand(), nodeCommand())
	root.AddCommand(operateCommands()...)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "streamcleat:", err)
		code := 1
		var e exit
		if errors.As(err, &e) {
			code = e.code
		}
		os.Exit(code)
	}
}
