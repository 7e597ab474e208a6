package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/internal/appliance"
	"streamcleat/internal/console"
)

// Orders on the console's socket; the command of an order has the same word, except for suspend.
const (
	orderDrain   = "drain"
	orderReturn  = "return"
	orderUnload  = "unload"
	orderFire    = "fire"
	orderSuspend = "hold"
	orderStop    = "stop"
)

const stopPollInterval = 100 * time.Millisecond

// boxCommands look at a running appliance and give it orders. Each screen of the console has one.
func boxCommands() []*cobra.Command {
	return []*cobra.Command{
		startCommand(),
		consoleCommand(),
		statusCommand(),
		listCommand("workers", "Workers as the front ends believe them to be", console.WorkerRows),
		listCommand("handlers", "Functions that were requested lately, and where they are loaded", console.FunctionRows),
		listCommand("events", "Requests that are open or ended lately", console.RequestRows),
		listCommand("timers", "Timer entries with their last and next firing", func(list []appliance.ScheduleStatus) [][]string {
			return console.ScheduleRows(list, time.Now())
		}),
		explainCommand(),
		orderCommand("drain WORKER", "Send a worker no new requests", orderDrain),
		orderCommand("return WORKER", "Take back a drain: the worker is as the endpoint list says", orderReturn),
		orderCommand("unload HANDLER", "Have workers unload idle replicas of a handler", orderUnload),
		orderCommand("fire ENTRY", "Fire a timer entry for the present minute", orderFire),
		suspendCommand("suspend"),
		stopCommand(),
	}
}

// clientFlags adds the flags by which an appliance is found and returns a function that makes a client of them.
func clientFlags(cmd *cobra.Command) func() (*console.Client, error) {
	var socket, file, name string
	flags := cmd.Flags()
	flags.StringVar(&socket, "socket", "", "the appliance's console socket")
	flags.StringVarP(&file, "config", "c", "", "configuration that names the socket, in place of --socket")
	flags.StringVar(&name, "name", fmt.Sprintf("%s-%d", cmd.Name(), os.Getppid()), "name by which other consoles see who gives orders")
	return func() (*console.Client, error) {
		path, err := socketPath(socket, file)
		if err != nil {
			return nil, err
		}
		return console.NewClient(path, name), nil
	}
}

// socketPath finds the console's socket by flag, by the configuration or by the environment, in this order.
func socketPath(socket, configFile string) (string, error) {
	if socket == "" && configFile != "" {
		c, err := loadConfig(configFile)
		if err != nil {
			return "", err
		}
		if c.Console == nil {
			return "", usageError(fmt.Errorf("%s: /console: not set; it names the socket", configFile))
		}
		socket = c.Path(c.Console.Socket)
	}
	if socket == "" {
		socket = os.Getenv("STREAMCLEAT_SOCKET")
	}
	if socket == "" {
		return "", usageError(errors.New("which box? --socket, --config or STREAMCLEAT_SOCKET tells"))
	}
	return socket, nil
}

// printValue writes a value to standard output, as JSON or as text.
func printValue(asJSON bool, value any, text func() string) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(value)
	}
	_, err := fmt.Println(text())
	return err
}

// query reads something from an appliance; it returns the value and its text for people.
type query func(c *console.Client, args []string) (value any, text func() string, err error)

// queryCommand is a command that reads something from the appliance and prints it.
func queryCommand(use, short string, args cobra.PositionalArgs, read query) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: use, Short: short, Args: args}
	client := clientFlags(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		c, err := client()
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
	return queryCommand("status", "The appliance at a glance", cobra.NoArgs, func(c *console.Client, _ []string) (any, func() string, error) {
		var status appliance.Status
		err := c.Get("status", &status)
		return status, func() string { return console.StatusText(status, columns) }, err
	})
}

// listCommand prints the list that the appliance has under the command's name.
func listCommand[T any](name, short string, rows func([]T) [][]string) *cobra.Command {
	return queryCommand(name, short, cobra.NoArgs, func(c *console.Client, _ []string) (any, func() string, error) {
		list := []T{}
		err := c.Get(name, &list)
		return list, func() string { return console.Table(rows(list)) }, err
	})
}

func explainCommand() *cobra.Command {
	cmd := queryCommand("explain ID", "The trace of one request: replicas known, each attempt, load and wait, and why it ended so", cobra.ExactArgs(1),
		func(c *console.Client, args []string) (any, func() string, error) {
			request, err := c.Explain(args[0])
			return request, func() string { return console.RequestText(request) }, err
		})
	cmd.Long = "explain takes an event's id, or source#id."
	return cmd
}

// orderCommand gives the appliance an order whose target is the argument.
func orderCommand(use, short, order string) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1)}
	client := clientFlags(cmd)
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		return sendOrder(client, appliance.Command{Name: order, Target: args[0]})
	}
	return cmd
}

// suspendCommand keeps a timer entry from firing, or lets it fire again.
func suspendCommand(word string) *cobra.Command {
	var release bool
	cmd := &cobra.Command{Use: word + " ENTRY", Short: "Suspend a timer entry; --release lets it fire again", Args: cobra.ExactArgs(1)}
	client := clientFlags(cmd)
	cmd.Flags().BoolVar(&release, "release", false, "let it fire again")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		return sendOrder(client, appliance.Command{Name: orderSuspend, Target: args[0], Resume: release})
	}
	return cmd
}

// sendOrder sends an order and prints the appliance's answer.
func sendOrder(client func() (*console.Client, error), order appliance.Command) error {
	c, err := client()
	if err != nil {
		return err
	}
	answer, err := c.Execute(order)
	if err != nil {
		return err
	}
	fmt.Println(answer)
	return nil
}

func stopCommand() *cobra.Command {
	var immediate, wait bool
	cmd := &cobra.Command{Use: "stop", Short: "Drain the appliance and stop it; every client gets its answer", Args: cobra.NoArgs}
	client := clientFlags(cmd)
	cmd.Flags().BoolVar(&immediate, "now", false, "answer what is open at once")
	cmd.Flags().BoolVar(&wait, "wait", false, "return when the appliance has stopped")
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := sendOrder(client, appliance.Command{Name: orderStop, Immediate: immediate}); err != nil || !wait {
			return err
		}
		c, err := client()
		if err != nil {
			return err
		}
		return waitUntilStopped(c)
	}
	return cmd
}

// waitUntilStopped polls the appliance until its socket is gone.
func waitUntilStopped(c *console.Client) error {
	for {
		var status appliance.Status
		var unreached *console.UnreachableError
		err := c.Get("status", &status)
		switch {
		case errors.As(err, &unreached):
			fmt.Println("stopped")
			return nil
		case err != nil:
			return err
		}
		time.Sleep(stopPollInterval)
	}
}

func consoleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "console", Short: "The terminal console of a running appliance; leaving it leaves the appliance as it is", Args: cobra.NoArgs}
	client := clientFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		c, err := client()
		if err != nil {
			return err
		}
		return console.Run(cmd.Context(), c, os.Stdin, os.Stdout)
	}
	return cmd
}
