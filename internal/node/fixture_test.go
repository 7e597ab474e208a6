package node

import (
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	"streamcleat/internal/platform"
	"streamcleat/internal/proxy"
	"streamcleat/internal/verification/nodetest"
)

// fixture is a front end with a fake worker and a fake discovery service.
type fixture struct {
	t         *testing.T
	node      *Node
	document  *platform.Document
	worker    *nodetest.Worker
	discovery *nodetest.Discovery
}

// newFixture starts a front end with a limit on file descriptors.
func newFixture(t *testing.T, descriptors int) *fixture {
	t.Helper()
	return newFixtureWith(t, nodetest.NewWorker(t), descriptors, func(text string) string { return text })
}

// newFixtureWith starts a front end with the given worker and a document modified by edit.
func newFixtureWith(t *testing.T, worker *nodetest.Worker, descriptors int, edit func(text string) string) *fixture {
	t.Helper()
	f := &fixture{t: t, worker: worker, discovery: nodetest.NewDiscovery(t)}
	text := edit(nodetest.DocumentText("127.0.0.1:0", f.discovery.Addr(), worker.Addr(), descriptors))
	var err error
	if f.document, err = platform.ReadDocument([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if f.node, err = Start(f.document, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.node.Close()
		if err := f.node.server.Stop(0); err != nil {
			t.Error("stop:", err)
		}
	})
	f.awaitDiscovery()
	return f
}

// awaitDiscovery waits until discovery is available to the front end, which queries its worker before that.
func (f *fixture) awaitDiscovery() {
	f.t.Helper()
	for available := false; !available; time.Sleep(time.Millisecond) {
		if err := f.node.server.Do(func(p *proxy.Proxy) { available = p.DiscoveryAvailable() }); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fixture) dial() *nodetest.Client {
	f.t.Helper()
	return nodetest.Dial(f.t, f.node.server.Addr())
}

// dialWarm returns a client that has received its first response, so that a replica is loaded.
func (f *fixture) dialWarm() *nodetest.Client {
	f.t.Helper()
	client := f.dial()
	client.Send("warm")
	client.Receive()
	return client
}

// stallLoop blocks the event loop until release is called. All data that arrives in between is read in one iteration.
func (f *fixture) stallLoop() (release func()) {
	f.t.Helper()
	stalled, released := make(chan struct{}), make(chan struct{})
	err := f.node.server.Post(func(*proxy.Proxy) {
		close(stalled)
		<-released
	})
	if err != nil {
		f.t.Fatal(err)
	}
	<-stalled
	release = sync.OnceFunc(func() { close(released) })
	f.t.Cleanup(release) // also when the test fails
	return release
}

// serveStopped calls Serve with a closed stop channel.
func (f *fixture) serveStopped(reload chan os.Signal, read func() (*platform.Document, error)) (done chan error) {
	stop := make(chan struct{})
	done = make(chan error, 1)
	close(stop)
	go func() { done <- f.node.Serve(stop, reload, read) }()
	return done
}
