package cloudevents

import (
	nethttp "net/http"
	"strconv"
	"strings"
	"time"

	"streamcleat/internal/units"
)

// expired is the timeout of a request whose deadline has passed. A timeout of 0 means that the request states none.
const expired = -1

// maxPreferredWait is the maximum wait preference in seconds.
const maxPreferredWait = 1e6

// parseTimeout returns the time in seconds that the client waits: the lesser of its wait preference (RFC 7240) and the time
// left until expirytime, 0 if neither is stated, and expired if it is over.
func parseTimeout(header nethttp.Header, expiry string, wall time.Time) (units.Seconds, *requestError) {
	timeout, failure := parsePreferredWait(header)
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
	if timeout == 0 || units.Seconds(left) < timeout {
		timeout = units.Seconds(left)
	}
	return timeout, nil
}

// parsePreferredWait parses the last wait preference of a request.
func parsePreferredWait(header nethttp.Header) (wait units.Seconds, failure *requestError) {
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
				wait = expired
			}
		}
	}
	return wait, nil
}
