// Package dispatch manages the lifecycle of requests in one front end.
//
// It owns what is open: requests and the waiters for their responses, attempts in flight, pending load commands, timers
// and the cache of final responses. It joins a duplicate to the request that is already open, replays cached responses
// and gives each waiter exactly one final response. Which worker an attempt goes to is decided by package control,
// which a [Dispatcher] hosts; nothing here decides it.
//
// The package has no sockets, no clock and no randomness of its own. The proxy, the simulation and the scenarios call a
// Dispatcher with the current time and with what arrived; the Dispatcher calls back through [Effects]. One goroutine
// owns a Dispatcher.
package dispatch
