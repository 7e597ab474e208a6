package cloudevents

import (
	nethttp "net/http"
	"strconv"
	"strings"
	"time"
)

// expired is the timeout in seconds of a request whose time is past. A timeout of 0 is one that the request does not
// state.
const expired = -1

// maxPreferredWait is the longest wait in seconds that a request may prefer.
const maxPreferredWait = 1e6

// readTimeout is how long the client waits, in seconds: the lesser of what Prefer: wait (RFC 7240) and the attribute
// expirytime state, 0 where neither does, and below 0 where that time is past.
func readTimeout(header nethttp.Header, expiry string, wall time.Time) (float64, *requestError) {
	timeout, failure := readPreferredWait(header)
	if failure != nil || expiry == "" {
		return timeout, failure
	}
	expiresAt, err := time.Parse(time.RFC3339Nano, expiry)
	if err != nil {
		return 0, invalidEventf("attribute expirytime: %.40q is not an RFC 3339 time", expiry)
	}
	left := expiresAt.Sub(wall).Seconds()
	if left <= 0 {
		left = expired
	}
	if timeout == 0 || left < timeout {
		timeout = left
	}
	return timeout, nil
}

// readPreferredWait reads the last wait preference of a request.
func readPreferredWait(header nethttp.Header) (wait float64, failure *requestError) {
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
			wait = seconds
			if seconds == 0 {
				wait = expired
			}
		}
	}
	return wait, nil
}
