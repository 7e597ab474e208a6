package appliance

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	consoleDialTimeout = time.Second // for probing an existing socket
	defaultSocketMode  = os.FileMode(0o600)
)

// openConsoleSocket serves the admin API on the console's socket. It removes a stale socket left by a killed process,
// and returns an error if another process is listening on it.
func (a *Appliance) openConsoleSocket() error {
	settings := a.config.Console
	if settings == nil {
		return nil
	}
	path := a.config.Path(settings.Socket)
	if err := removeStaleSocket(path); err != nil {
		return err
	}
	mode, err := socketMode(settings.Mode)
	if err != nil {
		return err
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("console socket: %w", err)
	}
	if err := os.Chmod(path, mode); err != nil {
		_ = listener.Close() // the chmod error is the one to report
		return fmt.Errorf("console socket: %w", err)
	}
	server := &http.Server{Handler: a.apiHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go a.serveHTTP(server, listener)
	a.closeConsole = server.Close
	return nil
}

// removeStaleSocket removes a socket on which no process listens. It returns an error if a process accepts connections
// there, or if the file is not a socket.
func removeStaleSocket(path string) error {
	if conn, err := net.DialTimeout("unix", path, consoleDialTimeout); err == nil {
		_ = conn.Close() // opened only to probe for a listener
		return fmt.Errorf("console socket %s: already in use by another process", path)
	}
	// Lstat errors are ignored: either there is no file, or net.Listen reports why the path is unusable.
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return fmt.Errorf("console socket %s: not a socket", path)
		}
		_ = os.Remove(path) // if this fails, Listen reports the address as in use
	}
	return nil
}

// socketMode parses the socket's permissions, which the configuration gives in octal.
func socketMode(text string) (os.FileMode, error) {
	if text == "" {
		return defaultSocketMode, nil
	}
	mode, err := strconv.ParseUint(text, 8, 32)
	if err != nil {
		return 0, fmt.Errorf("console socket mode %q: %w", text, err)
	}
	return os.FileMode(mode), nil
}

func (a *Appliance) closeConsoleSocket() {
	if a.closeConsole != nil {
		_ = a.closeConsole() // the process is about to exit
	}
}
