// Package nodetest provides the counterparts of a front end of the utilities' platform for tests: a fake worker, a fake
// discovery service, a client that speaks the platform's frames, and the text of a configuration document. Everything
// listens on loopback and is closed with the test that started it. The package owns no state beyond a test. Its callers
// are the tests of internal/node, which run a front end in the test's process, and those of cmd/streamcleat, which run it
// as a process.
package nodetest
