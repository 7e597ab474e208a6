package openinference

import (
	"streamcleat/internal/http1"
	"streamcleat/internal/upstream"
)

// exchange is an attempt or load command.
type exchange struct {
	upstream.Exchange
	digest     string      // requested by a load command
	connection *connection // nil if there was none for it
}

// connection is a connection to a worker. It carries one exchange at a time.
type connection struct {
	upstream.Connection
	exchange *exchange // in flight, or waiting for the dial
	queued   bool      // listed in Pool.timeouts
	framer   *http1.Framer
}
