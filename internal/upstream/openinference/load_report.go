package openinference

import (
	"encoding/json"
	"strconv"
	"strings"

	"streamcleat/control"
)

// Named metrics of a load report.
const (
	metricPrefix  = "named_metrics."
	metricRunning = "running"
	metricWaiting = "waiting"
	maxMetric     = 1e9 // values from here on are considered faulty and ignored
)

// parseLoadReport parses an ORCA load report in TEXT or JSON format. Missing and malformed metrics are left out.
func parseLoadReport(field string) control.LoadReport {
	var report control.LoadReport
	format, data, _ := strings.Cut(strings.TrimSpace(field), " ")
	switch format {
	case "TEXT":
		for pair := range strings.SplitSeq(data, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if value, err := strconv.ParseFloat(text, 64); err == nil {
				addMetric(&report, strings.TrimPrefix(name, metricPrefix), value)
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
				addMetric(&report, name, value)
			}
		}
	}
	return report
}

// addMetric sets the metric of the given name. Other names are ignored.
func addMetric(report *control.LoadReport, name string, value float64) {
	if !(value < maxMetric) { // NaN too
		return
	}
	switch name {
	case metricRunning:
		report.Running, report.Known = max(value, 0), true
	case metricWaiting:
		report.Waiting, report.Known = max(value, 0), true
	}
}
