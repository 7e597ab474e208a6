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
	// watchDialTimeout is the timeout of one attempt to connect to the discovery service.
	watchDialTimeout = 500 * time.Millisecond
	// maxLineBytes is the maximum length of one watch event.
	maxLineBytes = 4 << 20
)

// Exponential backoff with full jitter: hundreds of watchers that lose one service together must not reconnect at the
// same time, nor stay away for long.
const (
	initialBackoff   = 100 * time.Millisecond
	maxBackoff       = 800 * time.Millisecond
	backoffDoublings = 3 // from initialBackoff to maxBackoff
)

// backoff returns a random delay before the next connection attempt. Its upper bound doubles with each failure.
func backoff(failures int) time.Duration {
	bound := maxBackoff
	if failures < backoffDoublings {
		bound = initialBackoff << failures
	}
	return rand.N(bound)
}

// DiscoveryWatch keeps a connection to a discovery service, which sends its watch events line by line.
type DiscoveryWatch struct {
	silenceTimeout time.Duration
	request        func() []byte
	onLine         func([]byte) error
	log            *slog.Logger
	cancel         context.CancelFunc
	stopped        chan struct{}

	mu         sync.Mutex
	addr       string
	cancelAddr context.CancelFunc // ends the dial, connection or backoff of the current address; nil before the first
}

// StartDiscoveryWatch connects to a service, and reconnects whenever the connection closes, is silent for silenceTimeout,
// or onLine returns an error. Each connection starts by sending what request returns. Both functions are called on the
// watch's own goroutine, so that watch events never queue behind other traffic.
func StartDiscoveryWatch(addr string, silenceTimeout time.Duration, request func() []byte, onLine func([]byte) error, log *slog.Logger) *DiscoveryWatch {
	w := &DiscoveryWatch{silenceTimeout: silenceTimeout, request: request, onLine: onLine, log: log, addr: addr, stopped: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.run(ctx)
	return w
}

// SetAddress switches to another address at once, even during a dial or a backoff. Once it has returned, no line from the
// old address is processed.
func (w *DiscoveryWatch) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addr == addr {
		return
	}
	w.addr = addr
	if w.cancelAddr != nil {
		w.cancelAddr()
	}
}

// Close stops the watch and waits until neither of its functions runs. They must not call it.
func (w *DiscoveryWatch) Close() {
	w.cancel()
	<-w.stopped
}

func (w *DiscoveryWatch) run(ctx context.Context) {
	defer close(w.stopped)
	failures := 0
	for ctx.Err() == nil {
		failures = w.connect(ctx, failures)
	}
}

// currentAddress returns the address and a context that ends when SetAddress replaces it.
func (w *DiscoveryWatch) currentAddress(ctx context.Context) (string, context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	addrCtx, cancel := context.WithCancel(ctx)
	w.cancelAddr = cancel
	return w.addr, addrCtx
}

// connect watches the current address until its connection closes, then backs off. It takes the number of consecutive
// failures and returns the new number.
func (w *DiscoveryWatch) connect(ctx context.Context, failures int) int {
	addr, addrCtx := w.currentAddress(ctx)
	defer w.releaseAddress()
	progress, err := w.watchAddr(addrCtx, addr)
	if ctx.Err() != nil {
		return failures
	}
	w.log.Info("discovery watch closed, reconnecting", "address", addr, "error", err)
	if progress || addrCtx.Err() != nil {
		failures = 0
	}
	if addrCtx.Err() != nil {
		return failures
	}
	select {
	case <-time.After(backoff(failures)):
	case <-addrCtx.Done():
	}
	return failures + 1
}

// releaseAddress frees the context of currentAddress.
func (w *DiscoveryWatch) releaseAddress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelAddr()
}

// watchAddr watches one address until its connection closes, and reports whether any line was processed.
func (w *DiscoveryWatch) watchAddr(ctx context.Context, addr string) (progress bool, err error) {
	conn, err := (&net.Dialer{Timeout: watchDialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	closeConn := func() { _ = conn.Close() } // may be called more than once; all writes have completed
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
	for lines.Scan() { // a truncated last line is processed too, and rejected as malformed
		if err := w.processLine(ctx, lines.Bytes()); err != nil {
			return progress, err
		}
		progress = true
		if err := w.extendDeadline(conn); err != nil {
			return progress, err
		}
	}
	return progress, lines.Err()
}

// extendDeadline sets the deadline of the connection to silenceTimeout from now.
func (w *DiscoveryWatch) extendDeadline(conn net.Conn) error {
	return conn.SetDeadline(time.Now().Add(w.silenceTimeout))
}

// processLine passes a line on unless its address was replaced: lines that are still buffered must not take effect after
// SetAddress.
func (w *DiscoveryWatch) processLine(ctx context.Context, line []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	return w.onLine(line)
}
