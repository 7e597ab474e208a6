package schedule

import "time"

// Parameters of the exponential backoff between the attempts of a rejected firing.
const (
	retryBackoffInitial  = 250 * time.Millisecond
	retryBackoffMax      = 5 * time.Second
	maxRetryBackoffShift = 10 // avoids an overflow of the shift; retryBackoffMax is reached long before
)

// NextRetry returns the time to wait before the next attempt of a rejected firing. attempts is the number of attempts so
// far, at least 1, and retryAfter the minimum wait that the rejection asks for. NextRetry returns false if the deadline
// would pass during the wait. An attempt in flight at the deadline is not canceled.
func NextRetry(deadline, now time.Time, attempts int, retryAfter time.Duration) (time.Duration, bool) {
	backoff := min(retryBackoffInitial<<min(attempts-1, maxRetryBackoffShift), retryBackoffMax)
	wait := max(backoff, retryAfter)
	return wait, now.Add(wait).Before(deadline)
}
