// Package platform holds what a front end needs to know about the utilities' platform: its configuration document, the
// numbered events of endpoint discovery, and the phases of a shutdown. It owns the endpoint list built from the events
// and the phase of a shutdown. It has no socket and no clock: package node reads the document and drives shutdowns,
// package eventloop feeds it the lines of the discovery service.
package platform
