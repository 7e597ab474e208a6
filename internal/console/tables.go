package console

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"streamcleat/internal/appliance"
	registry "streamcleat/internal/registry"
)

// bars are the heights of a sparkline.
var bars = []rune("▁▂▃▄▅▆▇█")

// Spark draws figures as one line of bars, the newest last, as many as fit.
func Spark(figures []float64, width int) string {
	if len(figures) > width {
		figures = figures[len(figures)-width:]
	}
	top := 0.0
	for _, v := range figures {
		top = math.Max(top, v)
	}
	var b strings.Builder
	for _, v := range figures {
		at := 0
		if top > 0 {
			at = int(math.Round(v / top * float64(len(bars)-1)))
		}
		b.WriteRune(bars[at])
	}
	return b.String()
}

func table(rows [][]string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	w.Flush()
	return strings.TrimRight(b.String(), "\n")
}

func span(s float64) string {
	switch {
	case s < 0.9995:
		return fmt.Sprintf("%.0f ms", s*1000)
	case s < 60:
		return fmt.Sprintf("%.1f s", s)
	}
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}

func size(n uint64) string {
	switch {
	case n < 10<<10:
		return fmt.Sprintf("%d B", n)
	case n < 10<<20:
		return fmt.Sprintf("%d KB", n>>10)
	}
	return fmt.Sprintf("%d MB", n>>20)
}

// StatusText shows the box at a glance.
func StatusText(s appliance.Status, width int) string {
	state := s.State
	if s.State == "draining" {
		state += fmt.Sprintf(" (%.0f s left)", s.DrainTimeLeft)
	}
	if s.Reason != "" {
		state += ", by " + s.Reason
	}
	var rate, bad []float64
	for _, x := range s.Seconds {
		rate = append(rate, float64(x.Succeeded+x.Rejected+x.Failed))
		bad = append(bad, float64(x.Rejected+x.Failed))
	}
	last := func(f []float64) string {
		if len(f) == 0 {
			return "0"
		}
		return fmt.Sprintf("%.0f", f[len(f)-1])
	}
	var workers []string
	for _, k := range sorted(s.Workers) {
		workers = append(workers, fmt.Sprintf("%d %s", s.Workers[k], k))
	}
	if len(workers) == 0 {
		workers = []string{"none"}
	}
	rows := [][]string{
		{"state", state},
		{"up", span(s.Uptime) + ", front ends " + strings.Join(s.FrontEnds, ", ")},
		{"events", fmt.Sprintf("%d open, %d out at workers, %d clients", s.Open, s.InFlight, s.Clients)},
		{"ended", fmt.Sprintf("%d handled, %d deferred, %d dead-lettered; %d joined or repeated", s.Totals["handled"], s.Totals["deferred"],
			s.Totals["dead_lettered"], s.Totals["joined"]+s.Totals["from_kept"])},
		{"latency", fmt.Sprintf("p50 %.0f ms, p90 %.0f ms, p99 %.0f ms", s.Latency["p50"], s.Latency["p90"], s.Latency["p99"])},
		{"a second", fmt.Sprintf("%4s %s", last(rate), Spark(rate, max(width-20, 10)))},
		{"not handled", fmt.Sprintf("%4s %s", last(bad), Spark(bad, max(width-20, 10)))},
		{"workers", strings.Join(workers, ", ")},
		{"handlers", fmt.Sprint(s.FunctionCount)},
	}
	if st := s.Store; st != nil {
		text := fmt.Sprintf("%s, %d notes in %d writes, %d read back", size(st.Bytes), st.Records, st.Commits, st.RecoveredRecords)
		if st.Error != "" {
			text = "FAILED: " + st.Error
		}
		if st.QuarantinePath != "" {
			text += "; an older one is set aside in " + st.QuarantinePath
		}
		rows = append(rows, []string{"state on disk", text})
	}
	if s.ActiveConsole != "" {
		rows = append(rows, []string{"orders", fmt.Sprintf("given by console %s, %s ago", s.ActiveConsole, span(s.ActiveConsoleIdle))})
	}
	for _, c := range s.Tasks {
		text := fmt.Sprintf("%d rounds, %s used, next in %s", c.Rounds, span(c.TimeUsed), span(math.Max(c.Due, 0)))
		if c.LastError != "" {
			text = fmt.Sprintf("failed %d times: %s", c.Failures, c.LastError)
		}
		rows = append(rows, []string{c.Name, text})
	}
	return table(rows)
}

func sorted(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// WorkerRows, HandlerRows, EventRows and TimerRows are the tables, the heading first.
func WorkerRows(list []appliance.Worker) [][]string {
	rows := [][]string{{"WORKER", "STATE", "OUT", "ROOM", "LOAD", "WARM", "COPIES", "LOADING", "KIND"}}
	for _, w := range list {
		state := w.State
		if w.DrainedByCommand {
			state += " (by order)"
		}
		rows = append(rows, []string{w.Name, state, fmt.Sprint(w.InFlight), fmt.Sprintf("%.0f", w.ConcurrencyLimit), fmt.Sprintf("%.1f", w.Load),
			fmt.Sprintf("%.0f%%", w.WarmUpProgress*100), fmt.Sprint(w.Replicas), fmt.Sprint(w.PendingLoads), w.MachineType})
	}
	return rows
}

func HandlerRows(list []appliance.FunctionStatus) [][]string {
	rows := [][]string{{"HANDLER", "OUT", "WAITING", "MEDIAN", "LANES", "LOADED ON"}}
	for _, h := range list {
		on := strings.Join(h.LoadedOn, " ")
		if len(h.LoadingOn) > 0 {
			on += " (loading on " + strings.Join(h.LoadingOn, " ") + ")"
		}
		rows = append(rows, []string{h.Name, fmt.Sprint(h.InFlight), fmt.Sprint(h.Waiters),
			fmt.Sprintf("%.0f ms", h.MedianLatency), fmt.Sprint(h.Concurrency), on})
	}
	return rows
}

func EventRows(list []appliance.RequestStatus) [][]string {
	rows := [][]string{{"AGO", "OUTCOME", "CAUSE", "TOOK", "TRIES", "FUNCTION", "WORKER", "EVENT"}}
	for _, e := range list {
		r := []string{span(e.Age), e.Outcome, e.Cause, span(e.Elapsed), fmt.Sprint(e.Attempts), e.Function, e.Worker, e.ID}
		if e.Open {
			r[1], r[2], r[3] = "open", "", span(math.Max(e.TimeLeft, 0))+" left"
		}
		rows = append(rows, r)
	}
	return rows
}

func TimerRows(list []appliance.Timer, now time.Time) [][]string {
	rows := [][]string{{"NEXT", "LAST", "HELD", "ZONE", "ENTRY"}}
	at := func(t *time.Time) string {
		if t == nil {
			return "-"
		}
		return t.Local().Format("01-02 15:04")
	}
	for _, t := range list {
		held := ""
		if t.Suspended {
			held = "held"
		}
		rows = append(rows, []string{at(t.NextFiring), at(t.LastFiring), held, t.Zone, t.Entry})
	}
	return rows
}

// Table lines rows up.
func Table(rows [][]string) string { return table(rows) }

// EventText shows the way of one event.
func EventText(e appliance.RequestStatus) string {
	end := fmt.Sprintf("%s (%s) after %s", e.Outcome, e.Cause, span(e.Elapsed))
	if e.Open {
		end = fmt.Sprintf("open; its client waits %s more", span(math.Max(e.TimeLeft, 0)))
	}
	rows := [][]string{{"event", e.Source + "#" + e.ID}, {"type", e.Class + ", function " + e.Function}, {"came in", span(e.Age) + " ago, at " + e.FrontEnd},
		{"end", end}}
	if e.Tenant != "" {
		rows[1][1] += ", tenant " + e.Tenant
	}
	steps := [][]string{}
	for _, s := range e.Steps {
		steps = append(steps, []string{"  " + span(s.At), s.What, s.Worker, s.Detail})
	}
	return table(rows) + "\n\n" + table(steps)
}

// RegistryRows lists versions with the aliases and rollouts that name them.
func RegistryRows(list []registry.View) [][]string {
	rows := [][]string{{"FUNCTION", "VERSION", "ALIASES", "LANES", "LOAD", "DIGEST"}}
	for _, f := range list {
		for _, v := range f.Versions {
			var names []string
			for a, d := range f.Aliases {
				if d == v.Digest {
					names = append(names, a)
				}
			}
			for _, ro := range f.Rollouts {
				if ro.To == v.Digest {
					names = append(names, fmt.Sprintf("%s for %.0f%%", ro.Alias, ro.Share*100))
				}
			}
			sort.Strings(names)
			if v.Withdrawn {
				names = append(names, "WITHDRAWN")
			}
			rows = append(rows, []string{f.Function, v.Name, strings.Join(names, ", "), fmt.Sprint(v.Concurrency), span(v.LoadTime), string(v.Digest)})
		}
	}
	return rows
}

// TrailRows lists who changed what when.
func TrailRows(list []registry.Entry) [][]string {
	rows := [][]string{{"WHEN", "WHO", "WHAT", "WHY"}}
	for _, e := range list {
		what := "withdraw " + e.Withdraw
		switch {
		case e.Publish != nil:
			what = fmt.Sprintf("publish %s:%s %s", e.Publish.Function, e.Publish.Name, e.Publish.Digest)
		case e.Move != nil:
			what = fmt.Sprintf("alias %s:%s to %s", e.Move.Function, e.Move.Alias, e.Move.Digest)
		case e.Rollout != nil:
			what = fmt.Sprintf("rollout %s:%s to %s, %.0f%%", e.Rollout.Function, e.Rollout.Alias, e.Rollout.To, e.Rollout.Share*100)
		}
		rows = append(rows, []string{time.UnixMicro(int64(e.At * 1e6)).Local().Format("2006-01-02 15:04:05"), e.Actor, what, e.Reason})
	}
	return rows
}
