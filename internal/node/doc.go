// Package node runs one front end of the platform. It connects sessions, dispatcher, connection pool and discovery watch
// to an event loop, derives their limits from the configuration document, and performs reloads and the graceful shutdown.
// It owns the running front end and its readiness from Start until Serve returns. It is called by the subcommand node,
// which reads the document and receives the signals.
package node
