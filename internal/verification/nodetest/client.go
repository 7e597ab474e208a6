package nodetest

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// clientTimeout limits the lifetime of a client's connection, so that no test waits without end.
const clientTimeout = 5 * time.Second

// WarmFunction is the function for which Client.Send sends requests.
const WarmFunction = "00000000000000f1"

// requestCount makes request IDs unique across all tests of a process.
var requestCount atomic.Uint64

// Client is a client's connection to a front end. A zero Client has no connection and can only encode frames.
type Client struct {
	Conn   net.Conn
	Stream uint32 // stream number of the last request
}

// Dial connects to a front end.
func Dial(t *testing.T, addr string) *Client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, conn)
	if err := conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		t.Fatal(err)
	}
	return &Client{Conn: conn}
}

// Send sends a request for WarmFunction.
func (c *Client) Send(body string) { c.SendBytes(c.Request(WarmFunction, body)) }

// SendBytes sends encoded frames or parts of them.
func (c *Client) SendBytes(data []byte) {
	_, _ = c.Conn.Write(data) // if the connection is closed, the next Receive reports it
}

// RequestSpec holds the values in which the requests of tests differ.
type RequestSpec struct{ ID, Class, Function, Body string }

// Request encodes the next request, with an ID that no other request has.
func (c *Client) Request(function, body string) []byte {
	return c.RequestWithID(fmt.Sprintf("%016x", requestCount.Add(1)), function, body)
}

// RequestWithID encodes the next request with a given ID.
func (c *Client) RequestWithID(id, function, body string) []byte {
	return c.Encode(RequestSpec{ID: id, Class: "call", Function: function, Body: body})
}

// Encode encodes the next request.
func (c *Client) Encode(spec RequestSpec) []byte {
	c.Stream++
	fields := []string{
		"kind", spec.Class, "req", spec.ID, "timeout", "1500", "owner", "acme", "subject", spec.Function, "more", "lanes:8;load_ms:50",
	}
	payload := binary.BigEndian.AppendUint32([]byte{1}, c.Stream)
	payload = append(payload, byte(len(fields)/2))
	for i := 0; i < len(fields); i += 2 {
		payload = append(append(payload, byte(len(fields[i]))), fields[i]...)
		payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(fields[i+1]))), fields[i+1]...)
	}
	payload = append(payload, spec.Body...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

// Cancellation encodes a frame that cancels the last request.
func (c *Client) Cancellation() []byte { return CancellationOf(c.Stream) }

// CancellationOf encodes a frame that cancels the request on a stream.
func CancellationOf(stream uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{0, 0, 0, 5, 3}, stream)
}

// ReadinessQuery encodes a frame that asks whether the front end accepts requests.
func ReadinessQuery() []byte { return []byte{0, 0, 0, 6, 4, 0, 0, 0, 0, 0} }

// Receive reads the next frame and formats its type, stream and payload. If the connection ends, it returns the text of
// the error.
func (c *Client) Receive() string {
	header := make([]byte, 4)
	if _, err := io.ReadFull(c.Conn, header); err != nil {
		return err.Error()
	}
	payload := make([]byte, binary.BigEndian.Uint32(header))
	if _, err := io.ReadFull(c.Conn, payload); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d/%d %q", payload[0], payload[4], payload[5:])
}
