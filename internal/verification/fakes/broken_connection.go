package fakes

import (
	"net"
	"net/http"
)

// abort closes the connection without a response. A handler that returned would have responded 200.
func abort() { panic(http.ErrAbortHandler) }

// resetOnClose makes the close of a connection send a reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is already closed
	}
}

// hijack takes over the connection of a request. It returns nil if the connection can't be taken over.
func hijack(rw http.ResponseWriter) net.Conn {
	hijacker, ok := rw.(http.Hijacker)
	if !ok {
		return nil
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	return conn
}

// resetConnection resets the connection of a request.
func resetConnection(rw http.ResponseWriter) {
	if conn := hijack(rw); conn != nil {
		resetOnClose(conn)
		_ = conn.Close() // it is meant to break
	}
}

// truncateResponse sends the beginning of a response and closes the connection. Without a beginning it resets it.
func truncateResponse(rw http.ResponseWriter, beginning []byte) {
	if len(beginning) == 0 {
		resetConnection(rw)
		return
	}
	if conn := hijack(rw); conn != nil {
		_, _ = conn.Write(beginning) // the client may have closed
		_ = conn.Close()             // it is meant to break
	}
}
