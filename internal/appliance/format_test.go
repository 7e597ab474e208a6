package appliance

import (
	"encoding/json"
	"testing"
)

// Consoles and scripts read these keys from the admin API and from status --json.
func TestStatus_SecondsKeepJSONKeys(t *testing.T) {
	data, err := json.Marshal(Status{Seconds: []secondCounts{{Succeeded: 1, Rejected: 2, Failed: 3, Late: 4}}}.Seconds)
	if want := `[{"Handled":1,"Deferred":2,"DeadLettered":3,"Late":4}]`; err != nil || string(data) != want {
		t.Errorf("%s, %v", data, err)
	}
}
