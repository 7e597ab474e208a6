package invariants

import "strings"

// roundingTolerance absorbs rounding errors in a limit that is a sum of products.
const roundingTolerance = 1e-9

// checkLoadCommands checks rule 5 for each front end: the number of load commands within LoadWindow is at most LoadBurst plus
// LoadsPerRequest for each request within it. A front end counts a command when it decides to send it, but the record has
// the time at which the command reached the worker. The window is therefore shortened for commands and extended for requests
// by ObservationDelay.
func (c *checker) checkLoadCommands(records []Record) {
	commands, requests := map[string][]float64{}, map[string][]float64{}
	for _, r := range records {
		switch r.Kind {
		case RequestSent:
			name := frontEndName(r.FrontEnd)
			requests[name] = append(requests[name], r.At)
		case LoadCommanded:
			c.verdict.LoadCommands++
			if r.Replicas == 0 || c.rules.LoadWindow == 0 {
				continue
			}
			commands[r.FrontEnd] = withinWindow(append(commands[r.FrontEnd], r.At), r.At, c.rules.LoadWindow-c.rules.ObservationDelay)
			name := frontEndName(r.FrontEnd)
			requests[name] = withinWindow(requests[name], r.At, c.rules.LoadWindow+c.rules.ObservationDelay+c.rules.SubmissionDelay)
			limit := c.rules.LoadBurst + c.rules.LoadsPerRequest*float64(len(requests[name]))
			if n := len(commands[r.FrontEnd]); float64(n) > limit+roundingTolerance {
				c.violation(&c.verdict.ExcessLoadCommands, "load commands", "%s sent %d within the %.1f s before %.3f, limit %.1f", r.FrontEnd, n,
					c.rules.LoadWindow, r.At, limit)
			}
		default: // not part of this check
		}
	}
}

// frontEndName returns the name of a front end without the number of its process: "front/2" is the second process of
// "front". Requests are counted by this name because requests sent to the first process may reach the second.
func frontEndName(frontEnd string) string {
	name, _, _ := strings.Cut(frontEnd, "/")
	return name
}

// withinWindow returns the times, which are in ascending order, that are less than window before now.
func withinWindow(times []float64, now, window float64) []float64 {
	for len(times) > 0 && times[0] <= now-window {
		times = times[1:]
	}
	return times
}
