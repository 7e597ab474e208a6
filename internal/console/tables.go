package console

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"streamcleat/internal/appliance"
	"streamcleat/internal/registry"
)

// WorkerRows returns the table of workers. The first row is the heading.
func WorkerRows(workers []appliance.WorkerStatus) [][]string {
	rows := [][]string{{"WORKER", "STATE", "OUT", "ROOM", "LOAD", "WARM", "COPIES", "LOADING", "KIND"}}
	for i := range workers {
		w := &workers[i]
		state := w.State
		if w.DrainedByCommand {
			state += " (by order)"
		}
		rows = append(rows, []string{
			w.Name,
			state,
			strconv.Itoa(w.InFlight),
			fmt.Sprintf("%.0f", w.ConcurrencyLimit),
			fmt.Sprintf("%.1f", w.Load),
			fmt.Sprintf("%.0f%%", w.WarmUpProgress*100),
			strconv.Itoa(w.Replicas),
			strconv.Itoa(w.PendingLoads),
			w.MachineType,
		})
	}
	return rows
}

// FunctionRows returns the table of functions. The first row is the heading.
func FunctionRows(functions []appliance.FunctionStatus) [][]string {
	rows := [][]string{{"HANDLER", "OUT", "WAITING", "MEDIAN", "LANES", "LOADED ON"}}
	for i := range functions {
		f := &functions[i]
		loadedOn := strings.Join(f.LoadedOn, " ")
		if len(f.LoadingOn) > 0 {
			loadedOn += " (loading on " + strings.Join(f.LoadingOn, " ") + ")"
		}
		rows = append(rows, []string{
			f.Name,
			strconv.Itoa(f.InFlight),
			strconv.Itoa(f.Waiters),
			fmt.Sprintf("%.0f ms", f.MedianLatency),
			strconv.Itoa(f.Concurrency),
			loadedOn,
		})
	}
	return rows
}

// RequestRows returns the table of requests. The first row is the heading.
func RequestRows(requests []appliance.RequestStatus) [][]string {
	rows := [][]string{{"AGO", "OUTCOME", "CAUSE", "TOOK", "TRIES", "FUNCTION", "WORKER", "EVENT"}}
	for i := range requests {
		r := &requests[i]
		outcome, cause, elapsed := r.Outcome, r.Cause, formatSeconds(r.Elapsed)
		if r.Open {
			outcome, cause, elapsed = "open", "", formatSeconds(math.Max(r.TimeLeft, 0))+" left"
		}
		rows = append(rows, []string{formatSeconds(r.Age), outcome, cause, elapsed, strconv.Itoa(r.Attempts), r.Function, r.Worker, r.ID})
	}
	return rows
}

// ScheduleRows returns the table of schedule entries. The first row is the heading.
func ScheduleRows(schedules []appliance.ScheduleStatus, _ time.Time) [][]string {
	rows := [][]string{{"NEXT", "LAST", "HELD", "ZONE", "ENTRY"}}
	for i := range schedules {
		s := &schedules[i]
		held := ""
		if s.Suspended {
			held = "held"
		}
		rows = append(rows, []string{formatMinute(s.NextFiring), formatMinute(s.LastFiring), held, s.Zone, s.Entry})
	}
	return rows
}

// RequestText formats a request with the steps of its trace.
func RequestText(r appliance.RequestStatus) string {
	class := r.Class + ", function " + r.Function
	if r.Tenant != "" {
		class += ", tenant " + r.Tenant
	}
	end := fmt.Sprintf("%s (%s) after %s", r.Outcome, r.Cause, formatSeconds(r.Elapsed))
	if r.Open {
		end = fmt.Sprintf("open; its client waits %s more", formatSeconds(math.Max(r.TimeLeft, 0)))
	}
	rows := [][]string{
		{"event", r.Source + "#" + r.ID},
		{"type", class},
		{"came in", formatSeconds(r.Age) + " ago, at " + r.FrontEnd},
		{"end", end},
	}
	steps := [][]string{}
	for _, step := range r.Steps {
		steps = append(steps, []string{"  " + formatSeconds(float64(step.At)), step.Event, step.Worker, step.Detail})
	}
	return Table(rows) + "\n\n" + Table(steps)
}

// RegistryRows returns the table of function versions with the aliases and rollouts that refer to them. The first row is the
// heading.
func RegistryRows(functions []registry.View) [][]string {
	rows := [][]string{{"FUNCTION", "VERSION", "ALIASES", "LANES", "LOAD", "DIGEST"}}
	for i := range functions {
		f := &functions[i]
		for j := range f.Versions {
			version := &f.Versions[j]
			rows = append(rows, []string{
				f.Function,
				version.Name,
				strings.Join(versionNames(f, version), ", "),
				strconv.Itoa(version.Concurrency),
				formatSeconds(version.LoadTime),
				string(version.Digest),
			})
		}
	}
	return rows
}

// versionNames returns the aliases and rollouts that refer to a version, followed by WITHDRAWN if it is withdrawn.
func versionNames(function *registry.View, version *registry.Version) []string {
	var names []string
	for alias, digest := range function.Aliases {
		if digest == version.Digest {
			names = append(names, alias)
		}
	}
	for _, rollout := range function.Rollouts {
		if rollout.To == version.Digest {
			names = append(names, fmt.Sprintf("%s for %.0f%%", rollout.Alias, rollout.CanaryFraction*100))
		}
	}
	sort.Strings(names)
	if version.Withdrawn {
		names = append(names, "WITHDRAWN")
	}
	return names
}

// AuditRows returns the table of the audit trail of the registry. The first row is the heading.
func AuditRows(entries []registry.Entry) [][]string {
	rows := [][]string{{"WHEN", "WHO", "WHAT", "WHY"}}
	for i := range entries {
		e := &entries[i]
		when := time.UnixMicro(int64(e.At * 1e6)).Local().Format("2006-01-02 15:04:05")
		rows = append(rows, []string{when, e.Actor, changeText(e), e.Reason})
	}
	return rows
}

// changeText describes a change of the registry.
func changeText(e *registry.Entry) string {
	switch {
	case e.Publish != nil:
		return fmt.Sprintf("publish %s:%s %s", e.Publish.Function, e.Publish.Name, e.Publish.Digest)
	case e.AliasUpdate != nil:
		return fmt.Sprintf("alias %s:%s to %s", e.AliasUpdate.Function, e.AliasUpdate.Alias, e.AliasUpdate.Digest)
	case e.Rollout != nil:
		return fmt.Sprintf("rollout %s:%s to %s, %.0f%%", e.Rollout.Function, e.Rollout.Alias, e.Rollout.To, e.Rollout.CanaryFraction*100)
	}
	return "withdraw " + e.Withdraw
}
