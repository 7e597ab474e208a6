package invariants

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

const rulesText = `{"Effect":{"a":"keyed"},"Remembered":{"a":30},"Work":0.5,"WorkOf":{"f":0.25},"Capacity":{"w":2},"DrainGrace":0.5,` +
	`"ColdShare":0.29,"WarmWithin":4,"FallFactor":2.5,"FallWindow":1.5,"LoadWindow":8,"LoadFree":3,"LoadShare":0.75,"Lag":0.125,"Apart":true,"Grace":0.1}`

// Rules files of users have these keys, in any letter case.
func TestRules_JSONKeys(t *testing.T) {
	want := Rules{
		Semantics: map[string]string{"a": "keyed"}, DeduplicationWindow: map[string]float64{"a": 30}, MeanWork: 0.5,
		FunctionWork: map[string]float64{"f": 0.25}, Capacity: map[string]float64{"w": 2}, DrainGrace: 0.5, InitialCapacityFraction: 0.29, WarmUpTime: 4,
		OverloadFactor: 2.5, OverloadWindow: 1.5, LoadWindow: 8, LoadBurst: 3, LoadsPerRequest: 0.75, SubmissionDelay: 0.125, IndependentFrontEnds: true, ObservationDelay: 0.1,
	}
	for _, text := range []string{rulesText, strings.ToLower(rulesText)} {
		var got Rules
		if err := json.Unmarshal([]byte(text), &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\n%+v, %v", text, got, err)
		}
	}
	if data, err := json.Marshal(want); err != nil || string(data) != rulesText {
		t.Errorf("%s, %v", data, err)
	}
}
