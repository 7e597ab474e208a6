package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/internal/appliance"
	"streamcleat/internal/console"
)

const (
	startTimeout      = 30 * time.Second // includes the time to restore the stored state
	startPollInterval = 50 * time.Millisecond
)

// startCommand returns the command that starts an appliance in the background and waits until it serves.
func startCommand() *cobra.Command {
	var logFile string
	cmd := &cobra.Command{
		Use:   "start CONFIG",
		Short: "Start an appliance in the background; it continues when the terminal closes",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return startAppliance(args[0], logFile)
		},
	}
	cmd.Flags().StringVar(&logFile, "log", "", "log file of the appliance; by default the socket's name with .log")
	return cmd
}

func startAppliance(configFile, logFile string) error {
	c, err := loadConfig(configFile)
	if err != nil {
		return err
	}
	if c.Console == nil {
		return usageError(fmt.Errorf("%s: /console: not set, start needs a console socket", configFile))
	}
	socket := c.Path(c.Console.Socket)
	client := console.NewClient(socket, "start")
	var status appliance.Status
	if client.Get("status", &status) == nil {
		return fmt.Errorf("appliance %s is already running and %s", status.Name, status.State)
	}
	if logFile == "" {
		logFile = socket + ".log"
	}
	process, err := startDetached(configFile, logFile)
	if err != nil {
		return err
	}
	return waitUntilServing(client, process, logFile)
}

// startDetached starts the command serve in a new session, so that it continues when the terminal closes.
func startDetached(configFile, logFile string) (*exec.Cmd, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, err
	}
	defer closeReader(log) // the appliance has its own descriptor of the file
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	path, err := filepath.Abs(configFile)
	if err != nil {
		return nil, err
	}
	process := exec.Command(executable, "serve", path)
	process.Stdout = log
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	return process, process.Start()
}

// waitUntilServing waits until the appliance serves. It fails if the appliance exits first or does not serve within
// startTimeout.
func waitUntilServing(client *console.Client, process *exec.Cmd, logFile string) error {
	exited := make(chan error, 1)
	go func() { exited <- process.Wait() }()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(startPollInterval) {
		select {
		case err := <-exited:
			return earlyExitError{cause: err, logFile: logFile}
		default:
		}
		var status appliance.Status
		if client.Get("status", &status) == nil && status.State == "serving" {
			fmt.Printf("appliance %s serves on %v, process %d, log %s\n", status.Name, status.FrontEnds, process.Process.Pid, logFile)
			return nil
		}
	}
	return fmt.Errorf("appliance is not serving after %.0f s, process %d left running, log %s",
		startTimeout.Seconds(), process.Process.Pid, logFile)
}

// earlyExitError reports that the appliance exited before it served. The cause is nil if the exit status was 0.
type earlyExitError struct {
	cause   error
	logFile string
}

// Error returns a message with the cause and the path of the log file.
func (e earlyExitError) Error() string {
	return fmt.Sprintf("appliance exited before serving (%v), log %s", e.cause, e.logFile)
}

// Unwrap returns the cause.
func (e earlyExitError) Unwrap() error { return e.cause }
