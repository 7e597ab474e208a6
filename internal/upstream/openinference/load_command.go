package openinference

import (
	"encoding/json"
	"net/url"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

// LoadRequest encodes a load command as a request of the model repository extension, with the number of replicas as a load
// parameter. A command for 0 replicas unloads the idle replicas.
func LoadRequest(addr, via string, command dispatch.LoadCommand) []byte {
	if command.Replicas == 0 {
		name, _, _ := strings.Cut(command.Function, "@")
		return encodeRequest("/v2/repository/models/"+url.PathEscape(name)+"/unload", addr, via, nil, nil)
	}
	parameters, name := map[string]any{"copies": command.Replicas}, command.Function
	if b := command.Binding; b.ID != "" {
		parameters["version"], parameters["digest"], name = b.Version, b.Digest, b.Function
	}
	body, _ := json.Marshal(map[string]any{"parameters": parameters}) // strings and an int never fail
	return encodeRequest("/v2/repository/models/"+url.PathEscape(name)+"/load", addr, via,
		[]dispatch.Field{{Name: "Content-Type", Value: "application/json"}}, body)
}

// ParseLoadResponse returns the outcome of a load command and the number of loaded replicas. If the command requested a
// digest, a successful response without that digest counts as a failure.
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

// loadedReplicas returns the number of replicas that the body of a successful response states. A response without this
// parameter, which the protocol does not define, means one replica.
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
