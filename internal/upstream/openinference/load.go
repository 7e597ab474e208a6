package openinference

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

// LoadRequest encodes a load command of the repository extension; the number of replicas is a load parameter. A command
// for none unloads idle replicas.
func LoadRequest(addr, via string, command dispatch.LoadCommand) []byte {
	if command.Replicas == 0 {
		name, _, _ := strings.Cut(command.Function, "@")
		return encodeRequest("/v2/repository/models/"+url.PathEscape(name)+"/unload", addr, via, nil, nil)
	}
	parameters, name := map[string]any{"copies": command.Replicas}, command.Function
	if b := command.Binding; b.ID != "" {
		parameters["version"], parameters["digest"], name = b.Version, b.Digest, b.Function
	}
	body, _ := json.Marshal(map[string]any{"parameters": parameters}) // strings and an int: it can't fail
	return encodeRequest("/v2/repository/models/"+url.PathEscape(name)+"/load", addr, via,
		[]dispatch.Field{{Name: "Content-Type", Value: "application/json"}}, body)
}

// ParseLoadResponse reads how a load command ended and how many replicas are loaded. Where a digest was asked for,
// replicas of another one, or of none that is proven, don't count.
func ParseLoadResponse(m *http1.Message, digest string) (control.Outcome, int) {
	switch {
	case isSuccess(m.Status) && digest != "" && m.Header.Get(digestField) != digest:
		return control.Failed, 0
	case isSuccess(m.Status):
		return control.Succeeded, loadedReplicas(m.Body)
	case isRejection(m.Status):
		return control.Rejected, 0
	}
	return control.Failed, 0
}

// loadedReplicas reads the number of replicas from the body of a success. The protocol's plain response states only
// that the model is loaded, which is one replica.
func loadedReplicas(body []byte) int {
	var response struct {
		Parameters struct {
			Copies *int `json:"copies"`
		} `json:"parameters"`
	}
	if json.Unmarshal(body, &response) != nil || response.Parameters.Copies == nil {
		return 1
	}
	return max(*response.Parameters.Copies, 0)
}

// Named metrics of a load report.
const (
	metricPrefix  = "named_metrics."
	metricRunning = "running"
	metricWaiting = "waiting"
	maxMetric     = 1e9 // figures from here on are taken for an error of the worker and ignored
)

// parseLoadReport reads an ORCA load report in its TEXT or JSON form. Figures that are missing or malformed are left
// out.
func parseLoadReport(field string) (report control.LoadReport) {
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
