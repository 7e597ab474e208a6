package eventloop

import (
	"fmt"
	"log/slog"
	"os"
)

// gnetLogger hands gnet's own warnings and errors to the program's log.
type gnetLogger struct{ log *slog.Logger }

// Debugf implements logging.Logger.
func (l gnetLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (l gnetLogger) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (l gnetLogger) Warnf(format string, args ...any) { l.log.Warn(fmt.Sprintf(format, args...)) }

// Errorf implements logging.Logger.
func (l gnetLogger) Errorf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf implements logging.Logger.
func (l gnetLogger) Fatalf(format string, args ...any) {
	l.log.Error(fmt.Sprintf(format, args...))
	os.Exit(1)
}
