package netloop

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	followDial  = 500 * time.Millisecond // a connection that is not up by then is tried again
	followPause = 100 * time.Millisecond // before the next try
	lineMost    = 4 << 20                // bytes of one line
)

// Follower keeps up a connection to a service that tells its news line by line.
type Follower struct {
	silent time.Duration
	hello  func() []byte
	line   func([]byte) error
	log    *slog.Logger
	ctx    context.Context
	stop   context.CancelFunc

	mu   sync.Mutex
	addr string
	conn net.Conn
}

// Follow connects to a service and connects anew whenever that ends, says nothing for as long as silent, or line
// returns an error. hello is what a connection begins with. Both functions are called on one goroutine of its own, so
// that news never waits behind other traffic.
func Follow(addr string, silent time.Duration, hello func() []byte, line func([]byte) error, log *slog.Logger) *Follower {
	f := &Follower{silent: silent, hello: hello, line: line, log: log, addr: addr}
	f.ctx, f.stop = context.WithCancel(context.Background())
	go f.run()
	return f
}

// Move goes over to another address at once.
func (f *Follower) Move(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr == addr {
		return
	}
	f.addr = addr
	if f.conn != nil {
		f.conn.Close()
	}
}

// Close ends it.
func (f *Follower) Close() {
	f.stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		f.conn.Close()
	}
}

func (f *Follower) run() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		addr := f.addr
		f.mu.Unlock()
		err := f.follow(addr)
		if f.ctx.Err() != nil {
			return
		}
		f.log.Info("connection for news ended; it is asked again", "address", addr, "error", err)
		f.mu.Lock()
		moved := f.addr != addr
		f.mu.Unlock()
		if !moved {
			time.Sleep(followPause)
		}
	}
}

func (f *Follower) follow(addr string) error {
	c, err := (&net.Dialer{Timeout: followDial}).DialContext(f.ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	f.mu.Lock()
	stale := f.addr != addr || f.ctx.Err() != nil // moved or closed meanwhile, by somebody who saw no connection
	f.conn = c
	f.mu.Unlock()
	if stale {
		return nil
	}
	c.SetDeadline(time.Now().Add(f.silent))
	if _, err := c.Write(f.hello()); err != nil {
		return err
	}
	in := bufio.NewScanner(c)
	in.Buffer(nil, lineMost)
	for in.Scan() { // a last line that was cut off is taken too, and fails as a broken one
		if err := f.line(in.Bytes()); err != nil {
			return err
		}
		c.SetDeadline(time.Now().Add(f.silent))
	}
	return in.Err()
}
