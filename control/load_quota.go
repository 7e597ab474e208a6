package control

import (
	"slices"

	"streamcleat/internal/units"
)

// The quota on load commands: how many of them may reach the workers within a window. A command counts from its decision
// on, and once more from when its bytes leave, as a dial may have held it up for most of the window.

// countedLoadCommand is a load command that counts towards the quota.
type countedLoadCommand struct {
	worker    WorkerID
	function  FunctionID
	countedAt units.Seconds
}

// mayCommandLoad reports whether the deployment and its quota permit another load command.
func (r *Router) mayCommandLoad() bool {
	window := r.deployment.LoadCommandWindow
	if !r.deployment.LoadCommandsAllowed || window <= 0 {
		return r.deployment.LoadCommandsAllowed
	}
	r.requestTimes = r.pruneTimes(r.requestTimes, window)
	r.pruneCountedLoadCommands()
	requests, commands := float64(len(r.requestTimes)), float64(len(r.countedLoadCommands)+1)
	return commands <= r.deployment.LoadCommandAllowance+r.deployment.LoadCommandsPerRequest*requests
}

// countLoadCommand counts a load command that is sent now.
func (r *Router) countLoadCommand(worker WorkerID, function FunctionID) {
	if r.deployment.LoadCommandWindow > 0 {
		r.pruneCountedLoadCommands()
		r.countedLoadCommands = append(r.countedLoadCommands, countedLoadCommand{worker, function, r.now})
	}
}

// recountLoadCommand counts a load command anew as its bytes leave, and reports whether the quota still permits it.
func (r *Router) recountLoadCommand(worker WorkerID, function FunctionID) bool {
	i := slices.IndexFunc(r.countedLoadCommands, func(c countedLoadCommand) bool { return c.worker == worker && c.function == function })
	if i >= 0 {
		r.countedLoadCommands = slices.Delete(r.countedLoadCommands, i, i+1)
	}
	if !r.mayCommandLoad() {
		return false
	}
	r.countLoadCommand(worker, function)
	return true
}

// pruneCountedLoadCommands removes the load commands that are older than the window.
func (r *Router) pruneCountedLoadCommands() {
	r.countedLoadCommands = slices.DeleteFunc(r.countedLoadCommands, func(c countedLoadCommand) bool {
		return c.countedAt <= r.now-r.deployment.LoadCommandWindow
	})
}
