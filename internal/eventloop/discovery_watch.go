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
	watchDialTimeout = 500 * time.Millisecond // a connection that is not up by then is tried again
	maxLineBytes     = 4 << 20                // of one line of a service
	// Pauses between tries are drawn evenly from 0 up to a bound that doubles (exponential backoff with full jitter):
	// hundreds of watchers that lose one service together must not come back together, nor stay away for long.
	firstRetryBound = 100 * time.Millisecond
	maxRetryBound   = 800 * time.Millisecond
	doublings       = 3 // of firstRetryBound until it is maxRetryBound
)

// backoff is the pause before the next try, after so many tries that brought nothing.
func backoff(failed int) time.Duration {
	bound := maxRetryBound
	if failed < doublings {
		bound = firstRetryBound << failed
	}
	return rand.N(bound)
}

// DiscoveryWatch keeps up a watch: a connection to a discovery service that sends its updates line by line.
type DiscoveryWatch struct {
	silenceTimeout time.Duration
	request        func() []byte
	onLine         func([]byte) error
	log            *slog.Logger
	ctx            context.Context // of the whole watch
	cancel         context.CancelFunc
	stopped        chan struct{}

	mu         sync.Mutex
	addr       string
	addrCtx    context.Context    // of the address in force
	cancelAddr context.CancelFunc // ends its dial, connection or pause
}

// StartDiscoveryWatch connects to a service and connects again whenever that ends, sends nothing for silenceTimeout, or onLine
// returns an error. request is what a connection begins with. Both functions are called on one goroutine of the watch's
// own, so that updates never wait behind other traffic.
func StartDiscoveryWatch(addr string, silenceTimeout time.Duration, request func() []byte, onLine func([]byte) error, log *slog.Logger) *DiscoveryWatch {
	w := &DiscoveryWatch{silenceTimeout: silenceTimeout, request: request, onLine: onLine, log: log, addr: addr, stopped: make(chan struct{})}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.addrCtx, w.cancelAddr = context.WithCancel(w.ctx)
	go w.run()
	return w
}

// SetAddress goes over to another address at once, also from within a dial or a pause. Nothing that the old address sends
// is taken once SetAddress has returned.
func (w *DiscoveryWatch) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addr == addr {
		return
	}
	w.addr = addr
	w.cancelAddr()
	w.addrCtx, w.cancelAddr = context.WithCancel(w.ctx)
}

// Close ends the watch; neither of its functions is called any more once it has returned. They must not call it.
func (w *DiscoveryWatch) Close() {
	w.cancel()
	<-w.stopped
}

func (w *DiscoveryWatch) run() {
	defer close(w.stopped)
	failed := 0
	for w.ctx.Err() == nil {
		w.mu.Lock()
		addr, addrCtx := w.addr, w.addrCtx
		w.mu.Unlock()
		progress, err := w.watchAddr(addrCtx, addr)
		if w.ctx.Err() != nil {
			return
		}
		w.log.Info("watch ended; it is asked again", "address", addr, "error", err)
		if progress || addrCtx.Err() != nil {
			failed = 0
		}
		if addrCtx.Err() == nil {
			select {
			case <-time.After(backoff(failed)):
			case <-addrCtx.Done():
			}
			failed++
		}
	}
}

// watchAddr watches one address until its connection ends, and tells whether any line was taken.
func (w *DiscoveryWatch) watchAddr(ctx context.Context, addr string) (progress bool, err error) {
	conn, err := (&net.Dialer{Timeout: watchDialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	closeConn := func() { _ = conn.Close() } // it may be closed twice, and all that was written has been sent
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	if err := w.extendDeadline(conn); err != nil {
		return false, err
	}
	if _, err := conn.Write(w.request()); err != nil {
		return false, err
	}
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() { // a last line that was cut off is taken too, and fails as a broken one
		if err := w.takeLine(ctx, lines.Bytes()); err != nil {
			return progress, err
		}
		progress = true
		if err := w.extendDeadline(conn); err != nil {
			return progress, err
		}
	}
	return progress, lines.Err()
}

// extendDeadline lets the connection be silent for silenceTimeout from now on.
func (w *DiscoveryWatch) extendDeadline(conn net.Conn) error {
	return conn.SetDeadline(time.Now().Add(w.silenceTimeout))
}

// takeLine hands a line on, unless its address was left: what lies read in a buffer must not act after a move.
func (w *DiscoveryWatch) takeLine(ctx context.Context, line []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	return w.onLine(line)
}
