package upstream

// StartClock turns the starts of workers, which are stated as times of day, into times of the monotonic clock. The time
// of day may be wrong, and may be stepped at any moment; spans since a start must not change with it.
type StartClock struct {
	firstOffset float64 // from Unix seconds to the monotonic clock, when it was first asked
	known       bool
}

// StartedAt is a stated start on the monotonic clock, by that clock's time and the time of day of now. It is to be asked
// once, when the start is first heard of. Where the time of day was stepped since the first question it can't be told
// which of the two readings is right, and the later start is taken: a worker that is believed too young only warms up for
// longer, one that is believed too old is overloaded. No start lies in the future.
func (c *StartClock) StartedAt(stated, now, wall float64) float64 {
	offset := c.latestOffset(now, wall)
	return min(stated+offset, now)
}

// latestOffset is the greater one of the offsets between the clocks now and at the first question.
func (c *StartClock) latestOffset(now, wall float64) float64 {
	if !c.known {
		c.firstOffset, c.known = now-wall, true
	}
	return max(c.firstOffset, now-wall)
}
