package upstream

import "streamcleat/internal/units"

// StartTimeConverter converts worker start times from wall-clock time to the monotonic clock. The wall clock may be wrong and
// may be stepped at any moment; worker ages must not change with it.
type StartTimeConverter struct {
	firstOffset units.Seconds // monotonic time minus Unix seconds at the first call
	known       bool
}

// StartedAt converts a start time in Unix seconds to the monotonic clock, given both clocks' present readings. Call it
// once per start, when that start is first reported. If the wall clock was stepped since the first call, either offset
// may be the right one, and the later start time is returned: a worker believed too young only warms up for longer,
// while one believed too old is overloaded. The result is never after now.
func (c *StartTimeConverter) StartedAt(stated, now, wall units.Seconds) units.Seconds {
	offset := c.latestOffset(now, wall)
	return min(stated+offset, now)
}

// latestOffset returns the greater of the present offset between the clocks and that of the first call.
func (c *StartTimeConverter) latestOffset(now, wall units.Seconds) units.Seconds {
	if !c.known {
		c.firstOffset, c.known = now-wall, true
	}
	return max(c.firstOffset, now-wall)
}
