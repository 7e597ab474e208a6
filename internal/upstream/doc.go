// Package upstream is the worker side of the gateway: the Open Inference Protocol v2 over HTTP/1.1 with its repository
// extension, load reports (ORCA) and Server-Timing in responses, the endpoint list (Prometheus file service
// discovery), and the pool of connections to workers. It owns the state of those connections and of the exchanges on
// them; the registries of both also serve the pool of the platform's protocol. It has no socket and no clock: package
// proxy calls it, and package eventloop carries its bytes.
package upstream
