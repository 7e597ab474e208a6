// Package eventloop runs a front end on real sockets and the real clock. No other package of the front end uses either.
//
// A Server owns one proxy.Proxy and carries bytes between it, clients, workers and the other front ends. All state of the
// proxy is used on the server's event loop only, so none of it is locked. The package owns the sockets, the dials in
// progress, the timers and the task queue; it makes no routing decision. A DiscoveryWatch keeps the connection to the
// discovery service on a goroutine of its own.
//
// Commands, the node runtime and the appliance start servers.
package eventloop
