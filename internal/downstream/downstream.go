// Package downstream defines the interface shared by the client sides of both protocols. Its subpackages cloudevents and
// frames implement the protocols; package proxy handles their requests.
package downstream

import "streamcleat/internal/dispatch"

// RequestHandler handles the requests that a client session decodes.
type RequestHandler interface {
	// Submit starts a request. The handler passes the final response to the session's Respond with the same slot, possibly
	// before Submit returns.
	Submit(slot uint64, request dispatch.Request)
	// Cancel cancels an open request whose client no longer waits for the response.
	Cancel(slot uint64)
}
