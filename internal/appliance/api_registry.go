package appliance

import (
	"fmt"
	"net/http"
)

// postChange makes a change of the function registry.
func (a *Appliance) postChange(w http.ResponseWriter, r *http.Request) {
	var change Change
	if err := decodeBody(r, maxChangeBytes, "change", &change); err != nil {
		writeReply(w, nil, err)
		return
	}
	if state := a.state(); state != Serving {
		writeReply(w, nil, fmt.Errorf("no change of the registry while the box is %s", state))
		return
	}
	result, err := a.functions.applyChange(change)
	if err == nil {
		a.log.Info("registry changed", "change", result, "actor", change.Actor)
	}
	writeResult(w, result, err)
}
