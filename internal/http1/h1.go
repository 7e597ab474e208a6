// Package http1 frames HTTP/1.1 messages (RFC 9112): it finds where each message of a byte stream ends and
// hands it out whole. It holds no socket and no clock; the front's codec and the workers' codec feed it.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"maps"
	nethttp "net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// Limits bound one message, in bytes.
type Limits struct {
	Head int // start line and header fields with their line ends
	Body int // content after the transfer coding is taken off
}

// ProtocolError is why a stream can't be read on. Status is what a server answers a request with before it closes.
type ProtocolError struct {
	Status int
	Why    string
}

func (f *ProtocolError) Error() string { return f.Why }

func bad(format string, args ...any) *ProtocolError {
	return &ProtocolError{400, fmt.Sprintf(format, args...)}
}

// Message is one whole request or response.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Header         nethttp.Header
	Body           []byte
	Close          bool // the sender closes the connection after it
	Continue       bool // a request that waits for 100 Continue; Body follows
}

type state uint8

const (
	inHead state = iota
	inLength
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	inUntilClose
	broken
)

// Framer cuts one direction of one connection into messages.
type Framer struct {
	limits   Limits
	response bool
	buf      []byte
	seen     int // bytes of buf that were searched for the end of the head
	state    state
	left     int
	trailer  int
	msg      *Message
	told     bool // that the request waits for 100 Continue
	fault    *ProtocolError
}

// NewRequests frames what a client sends.
func NewRequests(l Limits) *Framer { return &Framer{limits: l} }

// NewResponses frames what a server sends to requests that were neither HEAD nor CONNECT.
func NewResponses(l Limits) *Framer { return &Framer{limits: l, response: true} }

// Feed takes bytes as they came in; they are copied.
func (f *Framer) Feed(data []byte) { f.buf = append(f.buf, data...) }

// Idle tells that no message has begun.
func (f *Framer) Idle() bool { return f.state == inHead && len(f.buf) == 0 }

// Buffered is how many bytes are held, those of an unfinished body included.
func (f *Framer) Buffered() int {
	n := len(f.buf)
	if f.msg != nil {
		n += len(f.msg.Body)
	}
	return n
}

// Next is the next whole message, or nil where more bytes are needed. A *Fault is final. A request that waits for
// 100 Continue is handed out once with Continue set and no body, and again when it is whole.
func (f *Framer) Next() (*Message, error) {
	if f.fault != nil {
		return nil, f.fault
	}
	msg, fault := f.next()
	if fault != nil {
		f.fault, f.state, f.buf, f.msg = fault, broken, nil, nil
		return nil, fault
	}
	return msg, nil
}

// End tells that the sender closed its side; a response whose length only the close tells is whole then.
func (f *Framer) End() (*Message, error) {
	switch {
	case f.fault != nil:
		return nil, f.fault
	case f.state == inUntilClose:
		return f.done(), nil
	case f.Idle():
		return nil, nil
	}
	return nil, fmt.Errorf("message cut off after %d bytes: %w", f.Buffered(), errCut)
}

var errCut = errors.New("connection closed")

func (f *Framer) done() *Message {
	m := f.msg
	f.msg, f.state, f.seen, f.told = nil, inHead, 0, false
	if len(f.buf) == 0 {
		f.buf = nil
	}
	return m
}

func (f *Framer) next() (*Message, *ProtocolError) {
	for {
		switch f.state {
		case inHead:
			if !f.response { // RFC 9112 2.2: an empty line before a request line is passed over
				for f.seen == 0 && bytes.HasPrefix(f.buf, []byte("\r\n")) {
					f.buf = f.buf[2:]
				}
			}
			end := bytes.Index(f.buf[f.seen:], []byte("\r\n\r\n"))
			if end < 0 {
				if len(f.buf) > f.limits.Head {
					return nil, &ProtocolError{431, fmt.Sprintf("head is over %d bytes", f.limits.Head)}
				}
				f.seen = max(len(f.buf)-3, 0)
				return nil, nil
			}
			end += f.seen + 4
			if end > f.limits.Head {
				return nil, &ProtocolError{431, fmt.Sprintf("head is over %d bytes", f.limits.Head)}
			}
			if fault := f.head(f.buf[:end]); fault != nil {
				return nil, fault
			}
			f.buf, f.seen = f.buf[end:], 0
			if f.msg.Status >= 100 && f.msg.Status < 200 { // interim responses say nothing here
				f.msg, f.state = nil, inHead
				continue
			}
			if f.state == inLength && f.left == 0 {
				return f.done(), nil
			}
			if f.msg.Continue && !f.told && len(f.buf) == 0 {
				f.told = true
				return f.msg, nil
			}
			f.msg.Continue = false
		case inLength:
			n := min(f.left, len(f.buf))
			if n == 0 {
				return nil, nil
			}
			f.msg.Continue = false
			f.msg.Body, f.buf, f.left = append(f.msg.Body, f.buf[:n]...), f.buf[n:], f.left-n
			if f.left == 0 {
				return f.done(), nil
			}
		case inUntilClose:
			if len(f.msg.Body)+len(f.buf) > f.limits.Body {
				return nil, &ProtocolError{413, fmt.Sprintf("body is over %d bytes", f.limits.Body)}
			}
			f.msg.Body, f.buf = append(f.msg.Body, f.buf...), nil
			return nil, nil
		case inChunkSize:
			line, ok, fault := f.line(256)
			if fault != nil || !ok {
				return nil, fault
			}
			f.msg.Continue = false
			digits, _, _ := strings.Cut(line, ";")
			size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
			if err != nil || strings.ContainsAny(digits, "+-_") {
				return nil, bad("chunk size %q is not a hexadecimal number", digits)
			}
			if len(f.msg.Body)+int(size) > f.limits.Body {
				return nil, &ProtocolError{413, fmt.Sprintf("body is over %d bytes", f.limits.Body)}
			}
			if f.left, f.state = int(size), inChunk; size == 0 {
				f.state, f.trailer = inTrailer, 0
			}
		case inChunk:
			n := min(f.left, len(f.buf))
			f.msg.Body, f.buf, f.left = append(f.msg.Body, f.buf[:n]...), f.buf[n:], f.left-n
			if f.left > 0 {
				return nil, nil
			}
			f.state = inChunkEnd
		case inChunkEnd:
			if len(f.buf) < 2 {
				return nil, nil
			}
			if f.buf[0] != '\r' || f.buf[1] != '\n' {
				return nil, bad("chunk is longer than its size")
			}
			f.buf, f.state = f.buf[2:], inChunkSize
		case inTrailer: // trailer fields are read past: none of them may change what the head said
			line, ok, fault := f.line(f.limits.Head)
			if fault != nil || !ok {
				return nil, fault
			}
			if f.trailer += len(line) + 2; f.trailer > f.limits.Head {
				return nil, &ProtocolError{431, fmt.Sprintf("trailer is over %d bytes", f.limits.Head)}
			}
			if line == "" {
				return f.done(), nil
			}
			if !strings.Contains(line, ":") {
				return nil, bad("trailer line %.40q has no colon", line)
			}
		default:
			return nil, f.fault
		}
	}
}

func (f *Framer) line(most int) (string, bool, *ProtocolError) {
	end := bytes.IndexByte(f.buf, '\n')
	if end < 0 && len(f.buf) > most || end > most {
		return "", false, bad("line in a chunked body is over %d bytes", most)
	}
	if end < 0 {
		return "", false, nil
	}
	if end == 0 || f.buf[end-1] != '\r' {
		return "", false, bad("line in a chunked body ends without a carriage return")
	}
	line := string(f.buf[:end-1])
	f.buf = f.buf[end+1:]
	return line, true, nil
}

// head parses a head and settles how long the body is. Whatever two readers could understand differently
// (request smuggling) is turned away instead of being guessed at.
func (f *Framer) head(head []byte) *ProtocolError {
	for i, c := range head {
		switch {
		case c == 0:
			return bad("head holds a NUL byte")
		case c == '\n' && (i == 0 || head[i-1] != '\r'):
			return bad("line of the head ends without a carriage return")
		case c == '\r' && head[i+1] != '\n':
			return bad("carriage return within a line of the head")
		case (c == ' ' || c == '\t') && i > 0 && head[i-1] == '\n':
			return bad("folded line in the header")
		}
	}
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	start, err := r.ReadLine()
	if err != nil {
		return bad("start line: %v", err)
	}
	fields, err := r.ReadMIMEHeader()
	if err != nil {
		return bad("header: %v", err)
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c) }) {
			return bad("header: field name %.40q is not a token", name)
		}
	}
	m := &Message{Header: nethttp.Header(fields)}
	var version string
	if f.response {
		var status, rest string
		version, rest, _ = strings.Cut(start, " ")
		status, _, _ = strings.Cut(rest, " ")
		if m.Status, err = strconv.Atoi(status); err != nil || len(status) != 3 || m.Status < 100 {
			return bad("status line %.40q holds no status", start)
		}
	} else {
		parts := strings.Split(start, " ")
		if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
			return bad("request line %.40q is not of three words", start)
		}
		m.Method, m.Target, version = parts[0], parts[1], parts[2]
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return &ProtocolError{505, fmt.Sprintf("version %.20q is neither HTTP/1.1 nor HTTP/1.0", version)}
	}
	old := version == "HTTP/1.0"
	connection := strings.ToLower(strings.Join(fields["Connection"], ","))
	m.Close = strings.Contains(connection, "close") || old && !strings.Contains(connection, "keep-alive")
	if hosts := len(fields["Host"]); !f.response && (hosts > 1 || hosts == 0 && !old) {
		return bad("request has %d Host fields, not one", hosts)
	}
	lengths, codings := fields["Content-Length"], fields["Transfer-Encoding"]
	f.msg, f.state, f.left = m, inLength, 0
	switch {
	case f.response && (m.Status < 200 || m.Status == 204 || m.Status == 304):
	case len(codings) > 0 && len(lengths) > 0:
		return bad("both Transfer-Encoding and Content-Length are given")
	case len(codings) > 0 && old:
		return bad("Transfer-Encoding in HTTP/1.0")
	case len(codings) > 1 || len(codings) == 1 && !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked"):
		return &ProtocolError{501, fmt.Sprintf("Transfer-Encoding %.40q is not chunked alone", strings.Join(codings, ", "))}
	case len(codings) == 1:
		f.state = inChunkSize
	case len(lengths) > 1:
		return bad("Content-Length is given %d times", len(lengths))
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil {
			return bad("Content-Length %.40q is not a whole number", lengths[0])
		}
		if n > uint64(f.limits.Body) {
			return &ProtocolError{413, fmt.Sprintf("body of %d bytes is over %d", n, f.limits.Body)}
		}
		f.left = int(n)
	case f.response:
		f.state, m.Close = inUntilClose, true
	}
	m.Continue = !f.response && !old && strings.EqualFold(fields.Get("Expect"), "100-continue")
	return nil
}
