// Package downstream holds what the client sides of both protocols share. Packages cloudevents and frames below it
// implement the protocols; package proxy handles their requests.
package downstream

import "streamcleat/internal/dispatch"

// RequestHandler handles the requests that a client's session decodes.
type RequestHandler interface {
	// Submit starts a request. Its response is passed to the session's Respond with the same slot, possibly before Submit
	// returns.
	Submit(slot uint64, request dispatch.Request)
	// Cancel ends a request whose client no longer waits.
	Cancel(slot uint64)
}
