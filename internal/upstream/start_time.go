package upstream

import "streamcleat/internal/units"

// StartTimeConverter converts worker start times from wall-clock time to the monotonic clock. The wall clock may be wrong
// and may be stepped at any time; worker ages must not change with it.
type StartTimeConverter struct {
	firstOffset units.Seconds // monotonic time minus Unix seconds at the first call
	hasOffset   bool
}

// StartedAt converts a start time in Unix seconds to the monotonic clock, given the current readings of both clocks. Call
// it once per start, when that start is first reported. If the wall clock was stepped since the first call, either offset
// may be the correct one, and the later start time is returned: a worker whose age is underestimated only warms up for
// longer, while one whose age is overestimated is overloaded. The result is never after now.
func (c *StartTimeConverter) StartedAt(unixStart, now, wall units.Seconds) units.Seconds {
	offset := c.latestOffset(now, wall)
	return min(unixStart+offset, now)
}

// latestOffset returns the greater of the current offset between the clocks and the offset at the first call.
func (c *StartTimeConverter) latestOffset(now, wall units.Seconds) units.Seconds {
	if !c.hasOffset {
		c.firstOffset, c.hasOffset = now-wall, true
	}
	return max(c.firstOffset, now-wall)
}
