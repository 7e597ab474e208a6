// Command streamcleat is a gateway that routes calls to workers which load functions on demand.
//
// The package wires sub-commands to the packages that do the work; it holds no state of its own. Each file has the
// commands of one concern: serve.go and check.go run and check a configuration, admin.go and start.go operate a running
// appliance, registry.go and its siblings manage versions of functions, scenario.go, simulate.go, verify.go, fake.go and
// bench.go serve tests and measurements, node.go runs a front end of the utilities' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit status.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := rootCommand().ExecuteContext(ctx)
	if err != nil {
		stderr, closeLog := openLog()
		_, _ = fmt.Fprintln(stderr, "streamcleat:", err) // it never fails
		closeLog()
	}
	return exitStatus(err)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "streamcleat",
		Short: "A gateway that routes calls to workers which load functions on demand",
		Long: "streamcleat takes requests (CloudEvents over HTTP, cron-style timers) and routes each to a worker that holds a\n" +
			"loaded replica of its function, or has one loaded. Each request gets exactly one final answer.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), schemaCommand(), nodeCommand())
	root.AddCommand(boxCommands()...)
	root.AddCommand(handlerCommand())
	root.AddCommand(fakeCommand("fake"), scenarioCommand("scenario"), simulateCommand(), verifyCommand("verify"), benchCommand(),
		soakCommand())
	root.AddCommand(deprecated(fakeCommand("standin"), "fake"), deprecated(scenarioCommand("drill"), "scenario"),
		deprecated(verifyCommand("referee"), "verify"), deprecated(suspendCommand("hold"), "suspend"))
	return root
}
