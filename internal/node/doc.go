// Package node runs one front end of the utilities' platform. It wires sessions, dispatcher, connection pool and
// discovery watch onto an event loop, derives their limits from the configuration document, and carries out reloads and
// the graceful shutdown. It owns the running front end and its readiness from Start until Serve returns. Its caller is
// the command's node subcommand, which reads the document and receives the signals.
package node
