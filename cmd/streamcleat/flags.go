package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"streamcleat/internal/console"
)

// clientFlags adds the flags that select an appliance and returns a function that creates a console client from them.
func clientFlags(cmd *cobra.Command) func() (*console.Client, error) {
	var socket, file, name string
	flags := cmd.Flags()
	flags.StringVar(&socket, "socket", "", "console socket of the appliance")
	flags.StringVarP(&file, "config", "c", "", "configuration that names the socket, instead of --socket")
	flags.StringVar(&name, "name", fmt.Sprintf("%s-%d", cmd.Name(), os.Getppid()), "name under which other consoles see this one's commands")
	return func() (*console.Client, error) {
		path, err := socketPath(socket, file)
		if err != nil {
			return nil, err
		}
		return console.NewClient(path, name), nil
	}
}

// socketPath returns the path of the console socket: from the flag, else from the configuration, else from the environment.
func socketPath(socket, configFile string) (string, error) {
	if socket == "" && configFile != "" {
		c, err := loadConfig(configFile)
		if err != nil {
			return "", err
		}
		if c.Console == nil {
			return "", usageError(fmt.Errorf("%s: /console: not set, no socket to connect to", configFile))
		}
		socket = c.Path(c.Console.Socket)
	}
	if socket == "" {
		socket = os.Getenv("STREAMCLEAT_SOCKET")
	}
	if socket == "" {
		return "", usageError(errors.New("no appliance selected: set --socket, --config or STREAMCLEAT_SOCKET"))
	}
	return socket, nil
}

// requireFlags marks flags as required.
func requireFlags(cmd *cobra.Command, flags ...string) {
	for _, flag := range flags {
		if err := cmd.MarkFlagRequired(flag); err != nil {
			panic(err) // the flag is not defined: a programming error
		}
	}
}
