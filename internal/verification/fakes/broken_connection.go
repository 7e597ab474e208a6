package fakes

import (
	"net"
	"net/http"
)

// abort closes the connection without a response. It panics, as the server responds 200 for a handler that returns without
// a response.
func abort() { panic(http.ErrAbortHandler) }

// resetOnClose makes a later close of the connection send a TCP reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is already closed
	}
}

// hijack takes over the connection of a request from the server. It returns nil if that is impossible.
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
		_ = conn.Close() // the connection is broken on purpose
	}
}

// truncateResponse sends the prefix of a response and closes the connection. If the prefix is empty, it resets the
// connection instead.
func truncateResponse(rw http.ResponseWriter, prefix []byte) {
	if len(prefix) == 0 {
		resetConnection(rw)
		return
	}
	if conn := hijack(rw); conn != nil {
		_, _ = conn.Write(prefix) // the client may have closed the connection
		_ = conn.Close()          // the connection is broken on purpose
	}
}
