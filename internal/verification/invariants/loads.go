package invariants

import "strings"

// roundingTolerance absorbs rounding errors in a limit that is a sum of products.
const roundingTolerance = 1e-9

// checkLoadCommands checks rule 5 for each front end: the number of load commands within a window is limited in
// proportion to the requests within it. A front end counts commands when it decides, a worker when they arrive, so the
// window is shortened for commands and extended for requests by ObservationDelay.
func (c *checker) checkLoadCommands(records []Record) {
	commands, requests := map[string][]float64{}, map[string][]float64{}
	for _, r := range records {
		switch r.Kind {
		case RequestSent:
			address := addressOf(r.FrontEnd)
			requests[address] = append(requests[address], r.At)
		case LoadCommanded:
			c.verdict.LoadCommands++
			if r.Replicas == 0 || c.rules.LoadWindow == 0 {
				continue
			}
			commands[r.FrontEnd] = within(append(commands[r.FrontEnd], r.At), r.At, c.rules.LoadWindow-c.rules.ObservationDelay)
			address := addressOf(r.FrontEnd)
			requests[address] = within(requests[address], r.At, c.rules.LoadWindow+c.rules.ObservationDelay+c.rules.SubmissionDelay)
			limit := c.rules.LoadBurst + c.rules.LoadsPerRequest*float64(len(requests[address]))
			if n := len(commands[r.FrontEnd]); float64(n) > limit+roundingTolerance {
				c.violation(&c.verdict.ExcessLoadCommands, "load commands", "%s sent %d within %.1f s until %.3f, limit %.1f", r.FrontEnd, n,
					c.rules.LoadWindow, r.At, limit)
			}
		default: // not part of this check
		}
	}
}

// addressOf returns the name of a front end without the number of its process: "front/2" is the second process of
// "front". Requests sent to the first process may reach the second.
func addressOf(frontEnd string) string {
	address, _, _ := strings.Cut(frontEnd, "/")
	return address
}

// within returns the times that are not older than span.
func within(times []float64, now, span float64) []float64 {
	for len(times) > 0 && times[0] <= now-span {
		times = times[1:]
	}
	return times
}
