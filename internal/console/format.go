package console

import (
	"fmt"
	"math"
	"strings"
	"text/tabwriter"
	"time"
)

// sparkBars are the characters of a sparkline, from the lowest bar to the highest.
var sparkBars = []rune("▁▂▃▄▅▆▇█")

const (
	columnGap     = 2      // spaces between the columns of a table
	minSeconds    = 0.9995 // durations below it are shown in milliseconds; from it on they would round to 1000 ms
	minMinutes    = 60     // durations in seconds below it are shown in seconds, others with minutes
	minKilobytes  = 10 << 10
	minMegabytes  = 10 << 20
	kilobyteShift = 10
	megabyteShift = 20
)

// Sparkline returns a sparkline of the last values, at most width of them.
func Sparkline(values []float64, width int) string {
	if len(values) > width {
		values = values[len(values)-width:]
	}
	highest := 0.0
	for _, v := range values {
		highest = math.Max(highest, v)
	}
	var line strings.Builder
	for _, v := range values {
		height := 0
		if highest > 0 {
			height = int(math.Round(v / highest * float64(len(sparkBars)-1)))
		}
		line.WriteRune(sparkBars[height])
	}
	return line.String()
}

// Table formats rows as aligned columns.
func Table(rows [][]string) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t")) // a strings.Builder never returns an error
	}
	_ = w.Flush() // as above
	return strings.TrimRight(text.String(), "\n")
}

// formatSeconds formats a duration in seconds.
func formatSeconds(seconds float64) string {
	switch {
	case seconds < minSeconds:
		return fmt.Sprintf("%.0f ms", seconds*1000)
	case seconds < minMinutes:
		return fmt.Sprintf("%.1f s", seconds)
	}
	return time.Duration(seconds * float64(time.Second)).Round(time.Second).String()
}

// formatBytes formats a size in bytes.
func formatBytes(n uint64) string {
	switch {
	case n < minKilobytes:
		return fmt.Sprintf("%d B", n)
	case n < minMegabytes:
		return fmt.Sprintf("%d KB", n>>kilobyteShift)
	}
	return fmt.Sprintf("%d MB", n>>megabyteShift)
}

// formatMinute formats a date and time with a resolution of one minute, or nil as "-".
func formatMinute(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.Local().Format("01-02 15:04")
}
