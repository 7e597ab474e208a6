package console

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"streamcleat/internal/appliance"
)

const (
	sparkMargin   = 20 // columns reserved for the text left of a sparkline
	minSparkWidth = 10
)

// StatusText formats the status of an appliance for a terminal of the given width.
func StatusText(s appliance.Status, width int) string {
	var ended, notSucceeded []float64
	for _, second := range s.Seconds {
		ended = append(ended, float64(second.Succeeded+second.Rejected+second.Failed))
		notSucceeded = append(notSucceeded, float64(second.Rejected+second.Failed))
	}
	rows := [][]string{
		{"state", stateText(&s)},
		{"up", formatSeconds(s.Uptime) + ", front ends " + strings.Join(s.FrontEnds, ", ")},
		{"events", fmt.Sprintf("%d open, %d out at workers, %d clients", s.Open, s.InFlight, s.Clients)},
		{"ended", fmt.Sprintf("%d handled, %d deferred, %d dead-lettered; %d joined or repeated", s.Totals["handled"], s.Totals["deferred"],
			s.Totals["dead_lettered"], s.Totals["joined"]+s.Totals["from_kept"])},
		{"latency", fmt.Sprintf("p50 %.0f ms, p90 %.0f ms, p99 %.0f ms", s.Latency["p50"], s.Latency["p90"], s.Latency["p99"])},
		{"a second", rateText(ended, width)},
		{"not handled", rateText(notSucceeded, width)},
		{"workers", workerCounts(s.Workers)},
		{"handlers", strconv.Itoa(s.FunctionCount)},
	}
	if s.Store != nil {
		rows = append(rows, []string{"state on disk", storeText(s.Store)})
	}
	if s.ActiveConsole != "" {
		rows = append(rows, []string{"orders", fmt.Sprintf("given by console %s, %s ago", s.ActiveConsole, formatSeconds(s.ActiveConsoleIdle))})
	}
	for i := range s.Tasks {
		rows = append(rows, []string{s.Tasks[i].Name, taskText(&s.Tasks[i])})
	}
	return Table(rows)
}

// stateText describes the lifecycle state and its reason.
func stateText(s *appliance.Status) string {
	text := s.State
	if s.State == appliance.Draining.String() {
		text += fmt.Sprintf(" (%.0f s left)", s.DrainTimeLeft)
	}
	if s.Reason != "" {
		text += ", by " + s.Reason
	}
	return text
}

// rateText returns the last value and a sparkline of the values.
func rateText(values []float64, width int) string {
	last := "0"
	if len(values) > 0 {
		last = fmt.Sprintf("%.0f", values[len(values)-1])
	}
	return fmt.Sprintf("%4s %s", last, Sparkline(values, max(width-sparkMargin, minSparkWidth)))
}

// workerCounts returns the number of workers in each state as text.
func workerCounts(byState map[string]int) string {
	var counts []string
	for _, state := range slices.Sorted(maps.Keys(byState)) {
		counts = append(counts, fmt.Sprintf("%d %s", byState[state], state))
	}
	if len(counts) == 0 {
		return "none"
	}
	return strings.Join(counts, ", ")
}

// storeText describes the durable store.
func storeText(s *appliance.StoreStatus) string {
	text := fmt.Sprintf("%s, %d notes in %d writes, %d read back", formatBytes(s.Bytes), s.Records, s.Commits, s.RecoveredRecords)
	if s.Error != "" {
		text = "FAILED: " + s.Error
	}
	if s.QuarantinePath != "" {
		text += "; an older one is set aside in " + s.QuarantinePath
	}
	return text
}

// taskText describes a background task.
func taskText(t *appliance.TaskStatus) string {
	if t.LastError != "" {
		return fmt.Sprintf("failed %d times: %s", t.Failures, t.LastError)
	}
	return fmt.Sprintf("%d rounds, %s used, next in %s", t.Rounds, formatSeconds(t.TimeUsed), formatSeconds(math.Max(t.Due, 0)))
}
