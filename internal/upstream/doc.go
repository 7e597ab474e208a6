// Package upstream contains what the worker sides of both protocols share: the endpoint list (Prometheus file service
// discovery), the registries of connections and exchanges from which each protocol's connection pool is built, and the
// conversion of worker start times to the monotonic clock. Its subpackages frames and openinference implement the
// protocols. It owns the connections of a pool and the exchanges open in it. It does no I/O and reads no clock: package
// proxy calls the pools, and package eventloop implements Transport.
package upstream
