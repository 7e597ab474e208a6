// Package platform implements the interfaces of the utilities' platform to a front end: its configuration document, the
// numbered events of the discovery service, and the phases of a shutdown. It owns the endpoint list built from the events
// and the phase of a shutdown. It does no I/O and reads no clock: package node reads the document and drives shutdowns, and
// package eventloop passes it the lines of the discovery service.
package platform
