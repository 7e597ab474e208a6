// Package proxy implements one front end without its sockets and its clock.
//
// A [Proxy] owns the client connections with their sessions, the dispatcher, the pool of connections to workers, the
// endpoint list in force, the drains that operators ordered, and the attempts and responses that wait for records to
// become durable. It makes no routing decisions; package control does.
//
// The package eventloop runs a Proxy on real sockets and the simulation on a virtual network and clock. Both call it on
// one goroutine, with the events of connections and timers, and provide the [Host] that it calls back.
package proxy
