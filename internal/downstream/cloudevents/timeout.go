package cloudevents

import (
	nethttp "net/http"
	"strconv"
	"strings"
	"time"

	"streamcleat/internal/units"
)

// timeoutExpired is the timeout of a request whose deadline has passed. A timeout of 0 means that the request states no timeout.
const timeoutExpired = -1

// maxPreferredWait is the maximum value of the wait preference in seconds.
const maxPreferredWait = 1e6

// parseTimeout returns the timeout of a request: the lesser of the client's wait preference (RFC 7240) and the time left
// until expirytime. It returns 0 if neither is stated, and timeoutExpired if no time is left.
func parseTimeout(header nethttp.Header, expiry string, wallTime time.Time) (units.Seconds, *requestError) {
	timeout, requestErr := parsePreferredWait(header)
	if requestErr != nil || expiry == "" {
		return timeout, requestErr
	}
	expiresAt, err := time.Parse(time.RFC3339Nano, expiry)
	if err != nil {
		return 0, invalidEventf("attribute expirytime: %.40q is not an RFC 3339 time", expiry)
	}
	left := expiresAt.Sub(wallTime).Seconds()
	if left <= 0 {
		left = timeoutExpired
	}
	if timeout == 0 || units.Seconds(left) < timeout {
		timeout = units.Seconds(left)
	}
	return timeout, nil
}

// parsePreferredWait returns the last wait preference of a request, 0 if there is none, and timeoutExpired for a wait of 0.
func parsePreferredWait(header nethttp.Header) (wait units.Seconds, requestErr *requestError) {
	for _, line := range header.Values("Prefer") {
		for preference := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(preference, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "wait") {
				continue
			}
			value, _, _ = strings.Cut(value, ";")
			seconds, err := strconv.ParseFloat(strings.Trim(strings.TrimSpace(value), `"`), 64)
			if err != nil || seconds < 0 || seconds > maxPreferredWait {
				return 0, requestErrorf(nethttp.StatusBadRequest, problemInvalidPreference,
					"Prefer: wait=%.20q is not a number of seconds", value)
			}
			wait = units.Seconds(seconds)
			if seconds == 0 {
				wait = timeoutExpired
			}
		}
	}
	return wait, nil
}
