// Package platform is what a front end of the utilities' platform is told: its configuration document, the numbered
// watch events of endpoint discovery, and how it shuts down after a signal. It owns the list of workers that the events
// make and the phase of a shutdown. It has no socket and no clock: the node command calls it, packages downstream and
// upstream below it have the protocol's frames, package eventloop carries the bytes, and package control alone decides
// where a request runs.
package platform
