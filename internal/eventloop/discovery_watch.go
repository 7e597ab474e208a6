package eventloop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"streamcleat/internal/units"
)

const (
	// watchDialTimeout limits one attempt to connect to the discovery service.
	watchDialTimeout = 500 * time.Millisecond
	// maxLineBytes is the maximum length of one line, which holds one watch event.
	maxLineBytes = 4 << 20
)

// Reconnects use exponential backoff with full jitter: hundreds of watches that lose the connection to one service at the
// same moment must not all reconnect at once, but must not stay disconnected for long either.
const (
	initialBackoff   = 100 * time.Millisecond
	maxBackoff       = 800 * time.Millisecond
	backoffDoublings = 3 // number of doublings from initialBackoff to maxBackoff
)

// backoff returns a random delay before the next connection attempt. The upper bound of the delay doubles with each
// consecutive failure, up to maxBackoff.
func backoff(failures int) time.Duration {
	bound := maxBackoff
	if failures < backoffDoublings {
		bound = initialBackoff << failures
	}
	return rand.N(bound)
}

// WatchHandler processes the lines that a discovery service sends. Its methods are called on the watch's own goroutine, so
// that watch events never queue behind other traffic. They must not call methods of the watch.
type WatchHandler interface {
	// ResumeRequest returns the request that is sent first on each new connection.
	ResumeRequest() []byte
	// OnLine processes a line. The watch has received everything that the service sent before asOf. An error closes the
	// connection. A line that is not useful does not extend the silence timeout.
	OnLine(line []byte, asOf units.Seconds) (useful bool, err error)
	// OnUnavailable is called when a connection attempt fails or the connection closes, with the reason. It is not called
	// when SetAddress replaces the address.
	OnUnavailable(reason error)
}

// DiscoveryWatch keeps a connection to a discovery service open and passes the watch events that it receives, one a line, to
// a handler.
type DiscoveryWatch struct {
	silenceTimeout time.Duration
	handler        WatchHandler
	log            *slog.Logger
	cancel         context.CancelFunc
	stopped        chan struct{}

	mu         sync.Mutex
	addr       string
	cancelAddr context.CancelFunc // cancels the dial, connection or backoff for addr; nil until the first dial
}

// StartDiscoveryWatch connects to a service. It reconnects whenever the connection closes, no useful line arrives within
// silenceTimeout, or the handler returns an error.
func StartDiscoveryWatch(addr string, silenceTimeout time.Duration, handler WatchHandler, log *slog.Logger) *DiscoveryWatch {
	w := &DiscoveryWatch{silenceTimeout: silenceTimeout, handler: handler, log: log, addr: addr, stopped: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.run(ctx)
	return w
}

// SetAddress switches to another address immediately, also during a dial or a backoff. After it returns, no line from the
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

// Close stops the watch. After it returns, the handler is not called.
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

// currentAddress returns the address and a context that is canceled when SetAddress replaces the address.
func (w *DiscoveryWatch) currentAddress(ctx context.Context) (string, context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	addrCtx, cancel := context.WithCancel(ctx)
	w.cancelAddr = cancel
	return w.addr, addrCtx
}

// connect watches the current address until the connection closes, then waits for the backoff. It takes and returns the
// number of consecutive failures.
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
	w.handler.OnUnavailable(err)
	select {
	case <-time.After(backoff(failures)):
	case <-addrCtx.Done():
	}
	return failures + 1
}

// releaseAddress cancels the context that currentAddress returned, to free its resources.
func (w *DiscoveryWatch) releaseAddress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelAddr()
}

// errWatchClosed is reported if the service closes the connection.
var errWatchClosed = errors.New("connection closed by the discovery service")

// watchAddr watches one address until the connection closes. progress reports whether it received a useful line.
func (w *DiscoveryWatch) watchAddr(ctx context.Context, addr string) (progress bool, err error) {
	conn, err := (&net.Dialer{Timeout: watchDialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	closeConn := func() { _ = conn.Close() } // may run more than once; no write is pending
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	if err := w.extendDeadline(conn); err != nil {
		return false, err
	}
	if _, err := conn.Write(w.handler.ResumeRequest()); err != nil {
		return false, err
	}
	w.log.Info("discovery watch connected", "address", addr)
	reader := &timestampingReader{reader: conn}
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, maxLineBytes)
	lines.Split(splitCompleteLines)
	for lines.Scan() {
		useful, err := w.processLine(ctx, lines.Bytes(), reader.emptyAt)
		if err != nil {
			return progress, err
		}
		if !useful {
			continue
		}
		progress = true
		if err := w.extendDeadline(conn); err != nil {
			return progress, err
		}
	}
	if err := lines.Err(); err != nil {
		return progress, err
	}
	return progress, errWatchClosed
}

// errTruncatedLine is reported if the connection closes in the middle of a line.
var errTruncatedLine = errors.New("connection closed in the middle of a line")

// splitCompleteLines is a bufio.SplitFunc that returns each line without its line feed. Data after the last line feed is never
// returned as a line: a truncated heartbeat is also a valid number, which could confirm an outdated endpoint list as complete.
func splitCompleteLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTruncatedLine
	}
	return 0, nil, nil
}

// timestampingReader records a lower bound for the time at which the data that it returns was sent. After the process was
// suspended, unread lines may be old.
type timestampingReader struct {
	reader io.Reader
	// emptyAt is the last time at which all data received so far had been read. The data read next was sent after it.
	emptyAt units.Seconds
	// mayHaveMore reports that the last read filled its buffer, so that unread data may remain.
	mayHaveMore bool
}

// Read implements io.Reader.
func (r *timestampingReader) Read(buffer []byte) (int, error) {
	if !r.mayHaveMore {
		r.emptyAt = Now()
	}
	n, err := r.reader.Read(buffer)
	r.mayHaveMore = n == len(buffer)
	return n, err
}

// extendDeadline sets the connection's deadline to silenceTimeout from now.
func (w *DiscoveryWatch) extendDeadline(conn net.Conn) error {
	return conn.SetDeadline(time.Now().Add(w.silenceTimeout))
}

// processLine passes a line to the handler unless SetAddress has replaced the address: lines of the old address that are
// still buffered must not take effect.
func (w *DiscoveryWatch) processLine(ctx context.Context, line []byte, asOf units.Seconds) (useful bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return false, err
	}
	return w.handler.OnLine(line, asOf)
}
