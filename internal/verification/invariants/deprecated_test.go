package invariants

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

// A recording of an earlier build is read like a current one, and is written with the current kinds.
func TestRead_DeprecatedKinds(t *testing.T) {
	const old = `{"at":1,"kind":"asked"}
{"at":2,"kind":"answered"}
{"at":3,"kind":"left"}
{"at":4,"kind":"lost"}
{"at":5,"kind":"launched"}
{"at":6,"kind":"ran"}
{"at":7,"kind":"ended"}
{"at":8,"kind":"ordered"}
{"at":9,"kind":"told"}
{"at":10,"kind":"down"}
{"at":11,"kind":"born","born":2}
`
	want := []Record{
		{At: 1, Kind: RequestSent},
		{At: 2, Kind: ResponseReceived},
		{At: 3, Kind: ClientCancelled},
		{At: 4, Kind: ConnectionLost},
		{At: 5, Kind: AttemptStarted},
		{At: 6, Kind: Executed},
		{At: 7, Kind: AttemptEnded},
		{At: 8, Kind: LoadCommanded},
		{At: 9, Kind: EndpointUpdated},
		{At: 10, Kind: WorkerOverloaded},
		{At: 11, Kind: WorkerStarted, StartedAt: 2},
	}
	if len(deprecatedKinds) != len(want) {
		t.Fatalf("there are %d deprecated kinds, but %d are tested", len(deprecatedKinds), len(want))
	}
	records, err := Read(strings.NewReader(old))
	if err != nil || !reflect.DeepEqual(records, want) {
		t.Fatalf("read %+v, %v", records, err)
	}
	var written bytes.Buffer
	if err := Write(&written, records); err != nil {
		t.Fatal(err)
	}
	for kind := range deprecatedKinds {
		if strings.Contains(written.String(), `"kind":"`+string(kind)+`"`) {
			t.Errorf("deprecated kind %q was written", kind)
		}
	}
	if again, err := Read(&written); err != nil || !reflect.DeepEqual(again, want) {
		t.Fatalf("read again: %+v, %v", again, err)
	}
}
