package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/internal/appliance"
	"streamcleat/internal/config"
	"streamcleat/internal/console"
)

// operateCommands look at a running box and give it orders. Each screen of the console has one.
func operateCommands() []*cobra.Command {
	return []*cobra.Command{startCommand(), consoleCommand(), statusCommand(),
		listCommand("workers", "Workers as the front ends believe them to be", func() any { return &[]appliance.Worker{} },
			func(v any) string { return console.Table(console.WorkerRows(*v.(*[]appliance.Worker))) }),
		listCommand("handlers", "Functions that were asked for lately, and where they are loaded", func() any { return &[]appliance.FunctionStatus{} },
			func(v any) string { return console.Table(console.HandlerRows(*v.(*[]appliance.FunctionStatus))) }),
		listCommand("events", "Events that are open or ended lately", func() any { return &[]appliance.RequestStatus{} },
			func(v any) string { return console.Table(console.EventRows(*v.(*[]appliance.RequestStatus))) }),
		listCommand("timers", "Timer entries with their last and next firing", func() any { return &[]appliance.Timer{} },
			func(v any) string { return console.Table(console.TimerRows(*v.(*[]appliance.Timer), time.Now())) }),
		explainCommand(),
		orderCommand("drain WORKER", "Send a worker nothing new", nil),
		orderCommand("return WORKER", "Take back a drain: the worker is as the list says", nil),
		orderCommand("unload HANDLER", "Have workers let idle copies of a handler go", nil),
		orderCommand("fire ENTRY", "Fire a timer entry for the present minute", nil),
		orderCommand("hold ENTRY", "Let a timer entry not fire; --release lets it fire again", func(c *cobra.Command, o *appliance.Command) {
			c.Flags().BoolVar(&o.Release, "release", false, "let it fire again")
		}),
		handlerCommand(), stopCommand()}
}

// reach adds the flags by which a box is found and returns what makes a client of them.
func reach(cmd *cobra.Command) func() (*console.Client, error) {
	var socket, file, name string
	cmd.Flags().StringVar(&socket, "socket", "", "the box's console socket")
	cmd.Flags().StringVarP(&file, "config", "c", "", "configuration that names the socket, in place of --socket")
	cmd.Flags().StringVar(&name, "name", fmt.Sprintf("%s-%d", cmd.Name(), os.Getppid()), "name by which other consoles see who gives orders")
	return func() (*console.Client, error) {
		if socket == "" && file != "" {
			c, err := config.Load(file)
			if err != nil {
				return nil, exit{2, fmt.Errorf("%s:\n%w", file, err)}
			}
			if c.Console == nil {
				return nil, exit{2, fmt.Errorf("%s: /console: not set; it names the socket", file)}
			}
			socket = c.Path(c.Console.Socket)
		}
		if socket == "" {
			socket = os.Getenv("STREAMCLEAT_SOCKET")
		}
		if socket == "" {
			return nil, exit{2, errors.New("which box? --socket, --config or STREAMCLEAT_SOCKET tells")}
		}
		return console.NewClient(socket, name), nil
	}
}

func show(asJSON bool, v any, text func() string) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	_, err := fmt.Println(text())
	return err
}

// shown is a command that reads something from the box and prints it, as JSON or as text.
func shown(use, short string, args cobra.PositionalArgs, get func(c *console.Client, args []string) (any, func() string, error)) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: use, Short: short, Args: args}
	client := reach(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		c, err := client()
		if err != nil {
			return err
		}
		v, text, err := get(c, args)
		if err != nil {
			return err
		}
		return show(asJSON, v, text)
	}
	return cmd
}

func statusCommand() *cobra.Command {
	return shown("status", "The box at a glance", cobra.NoArgs, func(c *console.Client, _ []string) (any, func() string, error) {
		var s appliance.Status
		err := c.Get("status", &s)
		return s, func() string { return console.StatusText(s, 80) }, err
	})
}

func listCommand(name, short string, empty func() any, text func(any) string) *cobra.Command {
	return shown(name, short, cobra.NoArgs, func(c *console.Client, _ []string) (any, func() string, error) {
		v := empty()
		err := c.Get(name, v)
		return v, func() string { return text(v) }, err
	})
}

func explainCommand() *cobra.Command {
	cmd := shown("explain ID", "The way of one event: what was believed, each launch, load and wait, and why it ended so", cobra.ExactArgs(1),
		func(c *console.Client, args []string) (any, func() string, error) {
			e, err := c.Explain(args[0])
			return e, func() string { return console.EventText(e) }, err
		})
	cmd.Long = "explain takes an event's id, or source#id."
	return cmd
}

func orderCommand(use, short string, more func(*cobra.Command, *appliance.Command)) *cobra.Command {
	o := &appliance.Command{}
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1)}
	client := reach(cmd)
	if more != nil {
		more(cmd, o)
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		o.Order, o.Target = cmd.Name(), args[0]
		return give(client, *o)
	}
	return cmd
}

func give(client func() (*console.Client, error), o appliance.Command) error {
	c, err := client()
	if err != nil {
		return err
	}
	said, err := c.Order(o)
	if err != nil {
		return err
	}
	fmt.Println(said)
	return nil
}

func stopCommand() *cobra.Command {
	var now, wait bool
	cmd := &cobra.Command{Use: "stop", Short: "Drain the box and stop it; every client gets its answer", Args: cobra.NoArgs}
	client := reach(cmd)
	cmd.Flags().BoolVar(&now, "now", false, "answer what is open at once")
	cmd.Flags().BoolVar(&wait, "wait", false, "return when the box has stopped")
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := give(client, appliance.Command{Order: "stop", Now: now}); err != nil || !wait {
			return err
		}
		c, err := client()
		if err != nil {
			return err
		}
		for {
			var s appliance.Status
			var gone *console.Unreached
			if err := c.Get("status", &s); errors.As(err, &gone) {
				fmt.Println("stopped")
				return nil
			} else if err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return cmd
}

func consoleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "console", Short: "The terminal console of a running box; leaving it leaves the box as it is", Args: cobra.NoArgs}
	client := reach(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		c, err := client()
		if err != nil {
			return err
		}
		return console.Run(cmd.Context(), c, os.Stdin, os.Stdout)
	}
	return cmd
}

// startCommand starts a box that goes on when the terminal closes.
func startCommand() *cobra.Command {
	var logFile string
	cmd := &cobra.Command{Use: "start CONFIG", Short: "Start a box that goes on when the terminal closes", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := load(args)
			if err != nil {
				return err
			}
			if c.Console == nil {
				return exit{2, fmt.Errorf("%s: /console: not set; a box that is started needs a console's socket", args[0])}
			}
			client := console.NewClient(c.Path(c.Console.Socket), "start")
			var s appliance.Status
			if client.Get("status", &s) == nil {
				return fmt.Errorf("box %s runs already and is %s", s.Name, s.State)
			}
			if logFile == "" {
				logFile = c.Path(c.Console.Socket) + ".log"
			}
			log, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
			if err != nil {
				return err
			}
			defer log.Close()
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path, err := filepath.Abs(args[0])
			if err != nil {
				return err
			}
			box := exec.Command(self, "serve", path)
			box.Stdout, box.Stderr = log, log
			box.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
			if err := box.Start(); err != nil {
				return err
			}
			ended := make(chan error, 1)
			go func() { ended <- box.Wait() }()
			for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				select {
				case err := <-ended:
					return fmt.Errorf("the box ended at once (%v); %s tells why", err, logFile)
				default:
				}
				if client.Get("status", &s) == nil && s.State == "serving" {
					fmt.Printf("box %s serves on %v, process %d, log in %s\n", s.Name, s.FrontEnds, box.Process.Pid, logFile)
					return nil
				}
			}
			return fmt.Errorf("the box does not serve after 30 s and is left running as process %d; %s tells more", box.Process.Pid, logFile)
		}}
	cmd.Flags().StringVar(&logFile, "log", "", "file for the box's log (the socket's name with .log)")
	return cmd
}
