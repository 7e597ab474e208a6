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

// WatchHandler handles the lines of a discovery service. Its methods are called on the watch's own goroutine, so that watch
// events never queue behind other traffic. They must not call the watch.
type WatchHandler interface {
	// ResumeRequest returns what is sent first on each connection.
	ResumeRequest() []byte
	// OnLine processes a line. The watch had received everything that the service sent before asOf. An error closes the
	// connection. If the line was of no use, the silence goes on.
	OnLine(line []byte, asOf units.Seconds) (useful bool, err error)
	// OnUnavailable reports that the service can't be reached, or that its connection closed, and why. It is not called for a
	// change of address.
	OnUnavailable(reason error)
}

// DiscoveryWatch keeps a connection to a discovery service, which sends its watch events line by line.
type DiscoveryWatch struct {
	silenceTimeout time.Duration
	handler        WatchHandler
	log            *slog.Logger
	cancel         context.CancelFunc
	stopped        chan struct{}

	mu         sync.Mutex
	addr       string
	cancelAddr context.CancelFunc // ends the dial, connection or backoff of the current address; nil before the first
}

// StartDiscoveryWatch connects to a service, and reconnects whenever the connection closes, brings no useful line for
// silenceTimeout, or the handler returns an error.
func StartDiscoveryWatch(addr string, silenceTimeout time.Duration, handler WatchHandler, log *slog.Logger) *DiscoveryWatch {
	w := &DiscoveryWatch{silenceTimeout: silenceTimeout, handler: handler, log: log, addr: addr, stopped: make(chan struct{})}
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

// Close stops the watch and waits until its handler is no longer called.
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
	w.handler.OnUnavailable(err)
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

// errWatchClosed is the reason if the service closes the connection.
var errWatchClosed = errors.New("closed by the service")

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
	if _, err := conn.Write(w.handler.ResumeRequest()); err != nil {
		return false, err
	}
	w.log.Info("discovery watch connected", "address", addr)
	reader := &datedReader{reader: conn}
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

// errTruncatedLine is the reason if the connection ends within a line.
var errTruncatedLine = errors.New("closed within a line")

// splitCompleteLines is a bufio.SplitFunc for lines without their line feed. What follows the last one is never a line: the
// beginning of a heartbeat is a number too, and might be taken for the proof that an old list is complete.
func splitCompleteLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTruncatedLine
	}
	return 0, nil, nil
}

// datedReader dates what it reads: after the process was suspended, lines that lay unread may be old.
type datedReader struct {
	reader io.Reader
	// emptyAt is the last time at which everything sent before had been read. What is read next was sent after it.
	emptyAt units.Seconds
	// mayHaveMore is set if the last read filled its buffer.
	mayHaveMore bool
}

// Read implements io.Reader.
func (r *datedReader) Read(buffer []byte) (int, error) {
	if !r.mayHaveMore {
		r.emptyAt = Now()
	}
	n, err := r.reader.Read(buffer)
	r.mayHaveMore = n == len(buffer)
	return n, err
}

// extendDeadline sets the deadline of the connection to silenceTimeout from now.
func (w *DiscoveryWatch) extendDeadline(conn net.Conn) error {
	return conn.SetDeadline(time.Now().Add(w.silenceTimeout))
}

// processLine passes a line on unless its address was replaced: lines that are still buffered must not take effect after
// SetAddress.
func (w *DiscoveryWatch) processLine(ctx context.Context, line []byte, asOf units.Seconds) (useful bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return false, err
	}
	return w.handler.OnLine(line, asOf)
}
