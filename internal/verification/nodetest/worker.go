package nodetest

import (
	"net"
	"sync/atomic"
	"testing"

	"streamcleat/internal/verification/workerframes"
)

// repliedBufferSize is the number of replies that Worker.Replied holds until the test reads them.
const repliedBufferSize = 64

// Worker is a fake worker of the platform. By default it replies to an attempt with the attempt's body, and to a load
// command with one loaded replica.
type Worker struct {
	// Corrupt makes replies to attempts carry a wrong checksum.
	Corrupt atomic.Bool
	// Silent makes the worker send no replies to attempts.
	Silent atomic.Bool
	// Attempts counts the attempts received.
	Attempts atomic.Int32
	// Replied receives the command of each frame that was replied to after a call of SetReplyCode.
	Replied chan byte

	listener  net.Listener
	replyCode atomic.Pointer[func(command byte) (code byte)]
	intercept atomic.Pointer[func(conn net.Conn) (handled bool)]
}

// NewWorker starts a fake worker on loopback.
func NewWorker(t *testing.T) *Worker {
	t.Helper()
	w := NewUnstartedWorker(Listen(t))
	go w.serve()
	return w
}

// NewUnstartedWorker returns a fake worker whose connections the test accepts itself.
func NewUnstartedWorker(listener net.Listener) *Worker {
	return &Worker{listener: listener, Replied: make(chan byte, repliedBufferSize)}
}

// Addr returns the address on which the worker listens.
func (w *Worker) Addr() string { return w.listener.Addr().String() }

// Accept accepts a connection to a worker that was not started.
func (w *Worker) Accept() (net.Conn, error) { return w.listener.Accept() }

// SetReplyCode sets a function that returns the code of each further reply. The worker calls it before it sends the reply.
func (w *Worker) SetReplyCode(code func(command byte) byte) { w.replyCode.Store(&code) }

// InterceptConnections calls intercept with each further connection. The worker serves those for which it returns false.
func (w *Worker) InterceptConnections(intercept func(conn net.Conn) (handled bool)) {
	w.intercept.Store(&intercept)
}

// HandleConnections passes all further connections to handle, and serves none of them itself.
func (w *Worker) HandleConnections(handle func(conn net.Conn)) {
	w.InterceptConnections(func(conn net.Conn) bool {
		handle(conn)
		return true
	})
}

// ObserveAttempts serves a connection until it ends and calls observe with each attempt before the reply is sent.
func (w *Worker) ObserveAttempts(conn net.Conn, observe func(frame workerframes.Frame)) {
	w.ObserveFrames(conn, func(frame workerframes.Frame) {
		if frame.Command() == workerframes.CommandAttempt {
			observe(frame)
		}
	})
}

// ObserveFrames serves a connection until it ends and calls observe with each frame before the reply is sent.
func (w *Worker) ObserveFrames(conn net.Conn, observe func(frame workerframes.Frame)) {
	for {
		frame, err := workerframes.Read(conn)
		if err != nil {
			return
		}
		observe(frame)
		w.reply(conn, frame, nil)
	}
}

// ServeConnection serves a connection until it ends, and closes it.
func (w *Worker) ServeConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the front end or the test may have closed it
	if intercept := w.intercept.Load(); intercept != nil && (*intercept)(conn) {
		return
	}
	for {
		frame, err := workerframes.Read(conn)
		if err != nil {
			return
		}
		replyCode := w.replyCode.Load()
		if w.reply(conn, frame, replyCode) && replyCode != nil {
			w.Replied <- frame.Command()
		}
	}
}

func (w *Worker) serve() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.ServeConnection(conn)
	}
}

// reply replies to a frame, with workerframes.ReplySucceeded if replyCode is nil, and reports whether a reply to an attempt or load
// command was sent.
func (w *Worker) reply(conn net.Conn, frame workerframes.Frame, replyCode *func(command byte) (code byte)) bool {
	fields, body, encode := OneReplica, []byte(nil), frame.Reply
	switch frame.Command() {
	case workerframes.CommandAttempt:
		w.Attempts.Add(1)
		if w.Silent.Load() {
			return false
		}
		fields, body = replicaFound, frame.Body
	case workerframes.CommandLoad:
	case workerframes.CommandPing:
		_, _ = conn.Write(frame.Reply(workerframes.ReplyPong, "", nil)) // the front end may have closed the connection
		return false
	default:
		return false
	}
	code := byte(workerframes.ReplySucceeded)
	if replyCode != nil {
		code = (*replyCode)(frame.Command())
	}
	if frame.Command() == workerframes.CommandAttempt && w.Corrupt.Load() {
		encode = frame.CorruptReply
	}
	_, _ = conn.Write(encode(code, fields, body)) // the front end may have closed the connection
	return true
}
