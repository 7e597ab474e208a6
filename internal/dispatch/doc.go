// Package dispatch manages the lifecycle of requests in one front end.
//
// A [Dispatcher] owns the open requests with the waiters for their responses, the attempts in flight, the pending load
// commands, the timers, the cache of final responses and the traces. It joins a duplicate to the request that is already
// open, replays cached responses and gives each waiter exactly one final response. Its router, from package
// control, decides which worker runs an attempt and when a request is rejected.
//
// The package uses no sockets, no system clock and no source of randomness. Its callers (the proxy, the simulation and the
// scenarios) pass the current time with each event; the Dispatcher calls back through [Effects]. A Dispatcher is
// confined to one goroutine.
package dispatch
