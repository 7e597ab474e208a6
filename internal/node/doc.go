// Package node is the runtime of one front end of the utilities' platform: it wires the sessions, the dispatcher, the
// pool and the watch on the discovery service onto an event loop, derives their limits from the configuration document,
// and carries out reloads and the shutdown. It owns the running front end from Start until Serve returns.
package node
