package console

import (
	"fmt"
	"math"
	"strings"
	"text/tabwriter"
	"time"
)

// sparkBars are the heights of a sparkline.
var sparkBars = []rune("▁▂▃▄▅▆▇█")

const (
	columnGap       = 2      // spaces between the columns of a table
	oneSecondShown  = 0.9995 // seconds from which a time is not shown in milliseconds
	secondsShown    = 60     // seconds from which a time is shown in minutes
	kilobytesShown  = 10 << 10
	megabytesShown  = 10 << 20
	bytesInKilobyte = 10 // as a power of two
	bytesInMegabyte = 20 // as a power of two
)

// Spark draws values as one line of bars, the newest last, as many as fit.
func Spark(values []float64, width int) string {
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

// Table aligns rows in columns.
func Table(rows [][]string) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t")) // a strings.Builder never fails to write
	}
	_ = w.Flush() // likewise
	return strings.TrimRight(text.String(), "\n")
}

func formatSeconds(seconds float64) string {
	switch {
	case seconds < oneSecondShown:
		return fmt.Sprintf("%.0f ms", seconds*1000)
	case seconds < secondsShown:
		return fmt.Sprintf("%.1f s", seconds)
	}
	return time.Duration(seconds * float64(time.Second)).Round(time.Second).String()
}

func formatBytes(n uint64) string {
	switch {
	case n < kilobytesShown:
		return fmt.Sprintf("%d B", n)
	case n < megabytesShown:
		return fmt.Sprintf("%d KB", n>>bytesInKilobyte)
	}
	return fmt.Sprintf("%d MB", n>>bytesInMegabyte)
}

// formatMinute returns a time of a schedule, or "-" for none.
func formatMinute(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.Local().Format("01-02 15:04")
}
