package openinference

import (
	"encoding/json"
	"strconv"
	"strings"

	"streamcleat/control"
)

// Named metrics of a load report, and the limit of their values.
const (
	namedMetricPrefix = "named_metrics."
	metricRunning     = "running"
	metricWaiting     = "waiting"
	maxMetricValue    = 1e9 // values of at least this are considered invalid and ignored
)

// parseLoadReport parses an ORCA load report in TEXT or JSON format. Missing and malformed metrics are omitted.
func parseLoadReport(field string) control.LoadReport {
	var report control.LoadReport
	format, data, _ := strings.Cut(strings.TrimSpace(field), " ")
	switch format {
	case "TEXT":
		for pair := range strings.SplitSeq(data, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if value, err := strconv.ParseFloat(text, 64); err == nil {
				setMetric(&report, strings.TrimPrefix(name, namedMetricPrefix), value)
			}
		}
	case "JSON":
		var metrics struct {
			Named map[string]float64 `json:"named_metrics"`
		}
		if json.Unmarshal([]byte(data), &metrics) != nil {
			return report
		}
		for _, name := range []string{metricRunning, metricWaiting} {
			if value, ok := metrics.Named[name]; ok {
				setMetric(&report, name, value)
			}
		}
	}
	return report
}

// setMetric sets the metric of the given name in a report. Unknown names and invalid values are ignored.
func setMetric(report *control.LoadReport, name string, value float64) {
	if !(value < maxMetricValue) { // also true for NaN
		return
	}
	switch name {
	case metricRunning:
		report.Running, report.Known = max(value, 0), true
	case metricWaiting:
		report.Waiting, report.Known = max(value, 0), true
	}
}
