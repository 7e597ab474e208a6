// Package upstream holds what the worker sides of both protocols share: the endpoint list (Prometheus file service
// discovery), the registries of connections and exchanges on which each protocol's pool is built, and the conversion of
// worker start times to the monotonic clock. Packages frames and openinference below it implement the protocols. It owns
// the connections of a pool and the exchanges open in it. It has no socket and no clock: package proxy calls the pools,
// and package eventloop implements Transport.
package upstream
