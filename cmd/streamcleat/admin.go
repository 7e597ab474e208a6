package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/internal/appliance"
	"streamcleat/internal/console"
)

// Values of appliance.Command.Name on the console socket.
const (
	actionDrain   = "drain"
	actionReturn  = "return"
	actionUnload  = "unload"
	actionFire    = "fire"
	actionSuspend = "hold"
	actionStop    = "stop"
)

const stopPollInterval = 100 * time.Millisecond

// applianceCommands returns the commands that start an appliance, show its state and control it. Each screen of the console
// has a command that prints its data.
func applianceCommands() []*cobra.Command {
	return []*cobra.Command{
		startCommand(),
		consoleCommand(),
		statusCommand(),
		listCommand("workers", "List the workers with their state at the front ends", console.WorkerRows),
		listCommand("handlers", "List recently requested functions and the workers on which they are loaded", console.FunctionRows),
		listCommand("events", "List open and recently ended requests", console.RequestRows),
		listCommand("timers", "List timer entries with their last and next firing", func(list []appliance.ScheduleStatus) [][]string {
			return console.ScheduleRows(list, time.Now())
		}),
		explainCommand(),
		actionCommand("drain WORKER", "Send a worker no new requests", actionDrain),
		actionCommand("return WORKER", "Undo a drain: the worker's state is that of the endpoint list", actionReturn),
		actionCommand("unload HANDLER", "Unload idle replicas of a function", actionUnload),
		actionCommand("fire ENTRY", "Fire a timer entry for the present minute", actionFire),
		suspendCommand("suspend"),
		stopCommand(),
	}
}

// queryFunc reads a value from an appliance and returns it with a function that formats it as text.
type queryFunc func(c *console.Client, args []string) (value any, text func() string, err error)

// queryCommand returns a command that reads a value from the appliance and prints it.
func queryCommand(use, short string, args cobra.PositionalArgs, read queryFunc) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: use, Short: short, Args: args}
	newClient := clientFlags(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		c, err := newClient()
		if err != nil {
			return err
		}
		value, text, err := read(c, args)
		if err != nil {
			return err
		}
		return printValue(asJSON, value, text)
	}
	return cmd
}

func statusCommand() *cobra.Command {
	const columns = 80
	return queryCommand("status", "Show the appliance's state and counters", cobra.NoArgs, func(c *console.Client, _ []string) (any, func() string, error) {
		var status appliance.Status
		err := c.Get("status", &status)
		return status, func() string { return console.StatusText(status, columns) }, err
	})
}

// listCommand returns a command that prints the list that the appliance serves under the command's name.
func listCommand[T any](name, short string, formatRows func([]T) [][]string) *cobra.Command {
	return queryCommand(name, short, cobra.NoArgs, func(c *console.Client, _ []string) (any, func() string, error) {
		list := []T{}
		err := c.Get(name, &list)
		return list, func() string { return console.Table(formatRows(list)) }, err
	})
}

func explainCommand() *cobra.Command {
	cmd := queryCommand("explain ID", "Show the trace of a request: known replicas, attempts, loads, waits and the cause of its outcome", cobra.ExactArgs(1),
		func(c *console.Client, args []string) (any, func() string, error) {
			request, err := c.Explain(args[0])
			return request, func() string { return console.RequestText(request) }, err
		})
	cmd.Long = "ID is the id of the event, or source#id."
	return cmd
}

// actionCommand returns a command that sends the appliance an action with the argument as its target.
func actionCommand(use, short, action string) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1)}
	newClient := clientFlags(cmd)
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		return execute(newClient, appliance.Command{Name: action, Target: args[0]})
	}
	return cmd
}

// suspendCommand returns the command that suspends a timer entry or resumes it.
func suspendCommand(name string) *cobra.Command {
	var release bool
	cmd := &cobra.Command{Use: name + " ENTRY", Short: "Suspend a timer entry; --release resumes it", Args: cobra.ExactArgs(1)}
	newClient := clientFlags(cmd)
	cmd.Flags().BoolVar(&release, "release", false, "resume the entry")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		return execute(newClient, appliance.Command{Name: actionSuspend, Target: args[0], Resume: release})
	}
	return cmd
}

// execute sends a command to the appliance and prints the reply.
func execute(newClient func() (*console.Client, error), command appliance.Command) error {
	c, err := newClient()
	if err != nil {
		return err
	}
	reply, err := c.Execute(command)
	if err != nil {
		return err
	}
	fmt.Println(reply)
	return nil
}

func stopCommand() *cobra.Command {
	var immediate, wait bool
	cmd := &cobra.Command{Use: "stop", Short: "Shut the appliance down gracefully; every client gets its response", Args: cobra.NoArgs}
	newClient := clientFlags(cmd)
	cmd.Flags().BoolVar(&immediate, "now", false, "answer open requests at once")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the appliance has stopped")
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := execute(newClient, appliance.Command{Name: actionStop, Immediate: immediate}); err != nil || !wait {
			return err
		}
		c, err := newClient()
		if err != nil {
			return err
		}
		return waitUntilStopped(c)
	}
	return cmd
}

// waitUntilStopped polls the appliance until its console socket is unreachable.
func waitUntilStopped(c *console.Client) error {
	for {
		var status appliance.Status
		var unreachable *console.UnreachableError
		err := c.Get("status", &status)
		switch {
		case errors.As(err, &unreachable):
			fmt.Println("stopped")
			return nil
		case err != nil:
			return err
		}
		time.Sleep(stopPollInterval)
	}
}

func consoleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "console", Short: "Open the terminal console of a running appliance; closing it does not stop the appliance", Args: cobra.NoArgs}
	newClient := clientFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		c, err := newClient()
		if err != nil {
			return err
		}
		return console.Run(cmd.Context(), c, os.Stdin, os.Stdout)
	}
	return cmd
}
