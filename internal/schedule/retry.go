package schedule

import "time"

// Backoff between the attempts of a firing that was rejected: doubled each time, up to the maximum.
const (
	retryBackoffInitial    = 250 * time.Millisecond
	retryBackoffMax        = 5 * time.Second
	maxRetryBackoffDoubled = 10 // keeps the shift within a Duration; the maximum is reached long before
)

// NextRetry returns the pause before a rejected firing is sent once more, after so many attempts; it is at least
// retryAfter, which the rejection named. It returns false where the deadline would pass meanwhile. An attempt that is
// under way at the deadline goes on.
func NextRetry(deadline, now time.Time, attempts int, retryAfter time.Duration) (time.Duration, bool) {
	backoff := min(retryBackoffInitial<<min(attempts-1, maxRetryBackoffDoubled), retryBackoffMax)
	pause := max(backoff, retryAfter)
	return pause, now.Add(pause).Before(deadline)
}
