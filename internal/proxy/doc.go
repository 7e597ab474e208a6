// Package proxy implements one front end, without sockets and clock.
//
// A [Proxy] owns the client connections with their sessions, the dispatcher, the pool of connections to workers, the
// endpoint list in force, the workers drained by operators, and the attempts and responses that wait for records to become
// durable. Routing decisions are made by package control.
//
// Package eventloop runs a Proxy on real sockets; the simulation runs it on a virtual network and clock. Both report the
// events of connections and timers to it on a single goroutine, and provide the [Host] that it calls out through.
package proxy
