// Package eventloop runs a front end on real sockets and the real clock. It is the only package of the front end that uses
// either.
//
// A Server owns one proxy.Proxy and transfers data between it, clients, workers and the other front ends. The state of the
// proxy is accessed only on the server's event loop, so it needs no locks. The package owns the sockets, the dials in
// progress, the timers and the task queue; it makes no routing decisions. A DiscoveryWatch maintains the connection to the
// discovery service on its own goroutine.
//
// Servers are started by the commands, the node runtime and the appliance.
package eventloop
