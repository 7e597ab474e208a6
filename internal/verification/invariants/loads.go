package invariants

import "strings"

// roundingTolerance absorbs rounding in a limit that is a sum of products.
const roundingTolerance = 1e-9

// checkLoadCommands checks rule 5, for each front end by itself: load commands within a window stay under a number that
// grows with the requests within it. A front end counts when it decides and the workers when bytes arrive, so the
// window gives way by the grace.
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
				c.violation(&c.verdict.ExcessLoadCommands, "load orders", "%s gave %d within %.1f s until %.3f, %.1f are allowed", r.FrontEnd, n,
					c.rules.LoadWindow, r.At, limit)
			}
		}
	}
}

// addressOf is a front end without the number of its process: "front/2" is the second process of "front", and what was
// asked of the first may reach it.
func addressOf(frontEnd string) string {
	address, _, _ := strings.Cut(frontEnd, "/")
	return address
}

// within drops the times that are older than a span.
func within(times []float64, now, span float64) []float64 {
	for len(times) > 0 && times[0] <= now-span {
		times = times[1:]
	}
	return times
}
