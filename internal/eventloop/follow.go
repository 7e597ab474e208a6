package eventloop

import (
	"bufio"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	followDial = 500 * time.Millisecond // a connection that is not up by then is tried again
	lineMost   = 4 << 20                // bytes of one line
	// Pauses between tries are drawn evenly from 0 up to a bound that doubles (exponential backoff with full jitter):
	// hundreds of watchers that lose one service together must not come back together, nor stay away for long.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// backoff is the pause before the next try, after so many tries that brought nothing.
func backoff(failed int) time.Duration {
	bound := retryMost
	if failed < 3 {
		bound = retryFirst << failed
	}
	return rand.N(bound)
}

// DiscoveryWatch keeps up a watch: a connection to a service that tells its news line by line.
type DiscoveryWatch struct {
	silent time.Duration
	hello  func() []byte
	line   func([]byte) error
	log    *slog.Logger
	ctx    context.Context // of the follower
	stop   context.CancelFunc

	mu    sync.Mutex
	addr  string
	leave context.CancelFunc // ends the dial, connection or pause of the address that was moved from
	watch context.Context    // of the address in force
}

// Watch connects to a service and connects anew whenever that ends, says nothing for as long as silent, or line
// returns an error. hello is what a connection begins with. Both functions are called on one goroutine of its own, so
// that news never waits behind other traffic.
func Watch(addr string, silent time.Duration, hello func() []byte, line func([]byte) error, log *slog.Logger) *DiscoveryWatch {
	f := &DiscoveryWatch{silent: silent, hello: hello, line: line, log: log, addr: addr}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.watch, f.leave = context.WithCancel(f.ctx)
	go f.run()
	return f
}

// Move goes over to another address at once, also from within a dial or a pause. Nothing that the old address tells
// is taken once Move has returned.
func (f *DiscoveryWatch) Move(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr == addr {
		return
	}
	f.addr = addr
	f.leave()
	f.watch, f.leave = context.WithCancel(f.ctx)
}

// Close ends it.
func (f *DiscoveryWatch) Close() { f.stop() }

func (f *DiscoveryWatch) run() {
	failed := 0
	for f.ctx.Err() == nil {
		f.mu.Lock()
		addr, watch := f.addr, f.watch
		f.mu.Unlock()
		told, err := f.follow(watch, addr)
		if f.ctx.Err() != nil {
			return
		}
		f.log.Info("watch ended; it is asked again", "address", addr, "error", err)
		if told || watch.Err() != nil {
			failed = 0
		}
		if watch.Err() == nil {
			select {
			case <-time.After(backoff(failed)):
			case <-watch.Done():
			}
			failed++
		}
	}
}

// follow watches one address until its connection ends, and tells whether any line was taken.
func (f *DiscoveryWatch) follow(watch context.Context, addr string) (told bool, err error) {
	c, err := (&net.Dialer{Timeout: followDial}).DialContext(watch, "tcp", addr)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(watch, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(f.silent))
	if _, err := c.Write(f.hello()); err != nil {
		return false, err
	}
	in := bufio.NewScanner(c)
	in.Buffer(nil, lineMost)
	for in.Scan() { // a last line that was cut off is taken too, and fails as a broken one
		if err := f.take(watch, in.Bytes()); err != nil {
			return told, err
		}
		told = true
		c.SetDeadline(time.Now().Add(f.silent))
	}
	return told, in.Err()
}

// take hands a line on, unless its watch was moved away from: what lies read in a buffer must not act after the move.
func (f *DiscoveryWatch) take(watch context.Context, line []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := watch.Err(); err != nil {
		return err
	}
	return f.line(line)
}
