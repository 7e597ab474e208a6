package eventloop

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Tests that an iteration which lasts too long is logged before it ends, and that others are not.
func TestStallWatch_LogsIterationInProgress(t *testing.T) {
	for name, c := range map[string]struct {
		took   time.Duration
		ended  bool
		logged bool
	}{"short": {time.Millisecond, false, false}, "long": {2 * stallInterval, false, true}, "ended": {2 * stallInterval, true, false}} {
		var log bytes.Buffer
		w := stallWatch{log: slog.New(slog.NewTextHandler(&log, nil))}
		now := time.Now()
		w.begin(now)
		if c.ended {
			w.end()
		}
		w.check(now.Add(c.took))
		if got := strings.Contains(log.String(), "in progress"); got != c.logged {
			t.Errorf("%s: logged %v", name, got)
		}
	}
}
