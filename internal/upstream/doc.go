// Package upstream holds what the worker sides of both protocols share: the endpoint list (Prometheus file service
// discovery), the registries of connections and of exchanges that each protocol's pool is built on, and the conversion
// of workers' start times to the monotonic clock. Packages openinference and frames below it implement the protocols.
// It has no socket and no clock.
package upstream
