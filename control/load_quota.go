package control

import (
	"slices"

	"streamcleat/internal/units"
)

// The load command quota limits how many load commands may reach the workers within a window. A command counts from the
// time of the decision and, once it is written to the connection, from that time instead: dialing the worker may have
// delayed it for most of the window.

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

// countLoadCommand counts a load command as sent at the current time.
func (r *Router) countLoadCommand(worker WorkerID, function FunctionID) {
	if r.deployment.LoadCommandWindow > 0 {
		r.pruneCountedLoadCommands()
		r.countedLoadCommands = append(r.countedLoadCommands, countedLoadCommand{worker, function, r.now})
	}
}

// recountLoadCommand counts a load command again when it is about to be written to the connection, and reports whether the
// quota still permits it.
func (r *Router) recountLoadCommand(worker WorkerID, function FunctionID) bool {
	i := slices.IndexFunc(r.countedLoadCommands, func(c countedLoadCommand) bool {
		return c.worker == worker && c.function == function
	})
	if i >= 0 {
		r.countedLoadCommands = slices.Delete(r.countedLoadCommands, i, i+1)
	}
	if !r.mayCommandLoad() {
		return false
	}
	r.countLoadCommand(worker, function)
	return true
}

// pruneCountedLoadCommands removes the load commands that are no longer within the window. They are in the order of their times.
func (r *Router) pruneCountedLoadCommands() {
	expired := 0
	for expired < len(r.countedLoadCommands) && r.countedLoadCommands[expired].countedAt <= r.now-r.deployment.LoadCommandWindow {
		expired++
	}
	r.countedLoadCommands = r.countedLoadCommands[expired:]
}
