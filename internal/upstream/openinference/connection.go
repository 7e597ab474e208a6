package openinference

import (
	"streamcleat/internal/http1"
	"streamcleat/internal/upstream"
)

// exchange is an attempt or load command and its response.
type exchange struct {
	upstream.Exchange
	digest     string      // digest that a load command requests
	connection *connection // connection assigned to the exchange, or nil
}

// connection is a connection to a worker. It carries one exchange at a time.
type connection struct {
	upstream.Connection
	exchange   *exchange // in flight, or waiting for the dial; nil if there is none
	inTimeouts bool      // listed in Pool.timeouts
	framer     *http1.Framer
}
