// Command streamcleat is a gateway that routes calls to workers which load functions on demand.
//
// The package parses flags, calls the packages that implement the commands, and sets the exit status. It holds no state. Each
// file has the commands of one concern: serve.go runs an appliance and check.go checks its configuration, start.go and
// admin.go start and operate an appliance, registry.go and the files named registry_ manage versions of functions,
// scenario.go, simulate.go, soak.go, verify.go, fake.go and bench.go test and measure, and node.go runs a front end of the
// utilities' platform, which is configured by the platform's document.
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
		_, _ = fmt.Fprintln(stderr, "streamcleat:", err) // the asynchronous writer never returns an error
		closeLog()
	}
	return exitStatus(err)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "streamcleat",
		Short: "A gateway that routes calls to workers which load functions on demand",
		Long: "streamcleat takes requests (CloudEvents over HTTP, cron-style timers) and routes each to a worker that holds a\n" +
			"loaded replica of its function, or has one loaded. Each request gets exactly one final response.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), schemaCommand(), nodeCommand())
	root.AddCommand(applianceCommands()...)
	root.AddCommand(handlerCommand())
	root.AddCommand(fakeCommand("fake"), scenarioCommand("scenario"), simulateCommand(), verifyCommand("verify"), benchCommand(),
		soakCommand())
	root.AddCommand(deprecated(fakeCommand("standin"), "fake"), deprecated(scenarioCommand("drill"), "scenario"),
		deprecated(verifyCommand("referee"), "verify"), deprecated(suspendCommand("hold"), "suspend"))
	return root
}
