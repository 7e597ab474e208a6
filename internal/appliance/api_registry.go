package appliance

import "fmt"

// executeChange makes a change of the function registry and returns a description of it for the console. Changes are
// accepted only in state Serving.
func (a *Appliance) executeChange(change Change) (string, error) {
	if state := a.state(); state != Serving {
		return "", fmt.Errorf("registry changes are not allowed while the appliance is %s", state)
	}
	result, err := a.functions.applyChange(change)
	if err == nil {
		a.log.Info("registry changed", "change", result, "actor", change.Actor)
	}
	return result, err
}
