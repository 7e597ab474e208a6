// Package nodetest provides what tests of a front end of the utilities' platform need around it: a fake worker, a fake
// discovery service, a client that speaks the platform's frames, and the text of a configuration document. All of them
// listen on loopback and are closed when the test that started them ends. The package keeps no state beyond a test, except
// for the count of request IDs. Its callers are the tests of internal/node, which run a front end in the test's process,
// and those of cmd/streamcleat, which run it as a separate process.
package nodetest
