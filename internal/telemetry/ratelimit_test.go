package telemetry

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestRateLimited_ReportsDroppedRecords(t *testing.T) {
	var out bytes.Buffer
	handler := RateLimited(slog.NewTextHandler(&out, nil), 2).WithAttrs([]slog.Attr{slog.String("front_end", "n0")})
	start := time.Unix(1_800_000_000, 0)
	for i := range 12 {
		record := slog.NewRecord(start.Add(time.Duration(i)*100*time.Millisecond), slog.LevelWarn, "flood", 0)
		if err := handler.Handle(t.Context(), record); err != nil {
			t.Fatal(err)
		}
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 || !strings.Contains(lines[2], "left_out_before=8") || strings.Contains(lines[3], "left_out") {
		t.Errorf("%q", lines)
	}
}
