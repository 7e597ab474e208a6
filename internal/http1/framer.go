package http1

import (
	"bytes"
	"errors"
	"fmt"
	nethttp "net/http"
	"strconv"
	"strings"
)

// state is the part of a message that is read next.
type state uint8

const (
	stateHead       state = iota // start line and header fields
	stateLength                  // a body whose length the head states
	stateUntilClose              // a body that ends with the connection
	stateChunkSize               // the line that begins a chunk
	stateChunkData
	stateChunkEnd // the line end after a chunk's data
	stateTrailer  // fields after the last chunk
	stateFailed
)

// progress is what one step of the framer came to.
type progress uint8

const (
	progressNext     progress = iota // bytes were read; the next step may read more
	progressWait                     // more bytes are needed
	progressContinue                 // the request waits for 100 Continue
	progressComplete                 // the message is complete
)

// maxChunkLine is the longest line that begins a chunk, in bytes: its size and extensions, which are ignored.
const maxChunkLine = 256

const lineEnd = "\r\n"

// errConnectionClosed is wrapped by the error of a message that the close of its connection cut off.
var errConnectionClosed = errors.New("connection closed")

// Framer cuts one direction of one connection into messages. It is a state machine: each step reads one part of a
// message from the buffer.
type Framer struct {
	limits        Limits
	response      bool // messages are responses
	buf           []byte
	searched      int // bytes of buf without the end of the head
	state         state
	left          int      // bytes of the body or chunk that are still to come
	trailerSize   int      // bytes of the trailer so far
	message       *Message // whose head was read; nil before
	continueAsked bool     // the message was returned with Continue
	failure       *ProtocolError
}

// NewRequests frames what a client sends.
func NewRequests(limits Limits) *Framer { return &Framer{limits: limits} }

// NewResponses frames what a server sends to requests that were neither HEAD nor CONNECT.
func NewResponses(limits Limits) *Framer { return &Framer{limits: limits, response: true} }

// Feed takes bytes as they came in; they are copied.
func (f *Framer) Feed(data []byte) { f.buf = append(f.buf, data...) }

// Idle reports that no message has begun.
func (f *Framer) Idle() bool { return f.state == stateHead && len(f.buf) == 0 }

// Buffered is how many bytes are held, those of an incomplete body included.
func (f *Framer) Buffered() int {
	n := len(f.buf)
	if f.message != nil {
		n += len(f.message.Body)
	}
	return n
}

// Next returns the next complete message, or nil where more bytes are needed. A *ProtocolError is final. A request that
// waits for 100 Continue is returned once with Continue set and no body, and again when it is complete.
func (f *Framer) Next() (*Message, error) {
	if f.failure != nil {
		return nil, f.failure
	}
	for {
		progress, failure := f.step()
		if failure != nil {
			f.failure, f.state, f.buf, f.message = failure, stateFailed, nil, nil
			return nil, failure
		}
		switch progress {
		case progressWait:
			return nil, nil
		case progressContinue:
			f.continueAsked = true
			return f.message, nil
		case progressComplete:
			return f.takeMessage(), nil
		}
	}
}

// End reports that the sender closed its side. A response whose body ends with the connection is complete then, and is
// returned.
func (f *Framer) End() (*Message, error) {
	switch {
	case f.failure != nil:
		return nil, f.failure
	case f.state == stateUntilClose:
		return f.takeMessage(), nil
	case f.Idle():
		return nil, nil
	}
	return nil, fmt.Errorf("message cut off after %d bytes: %w", f.Buffered(), errConnectionClosed)
}

// takeMessage returns the message and begins the next one.
func (f *Framer) takeMessage() *Message {
	message := f.message
	f.message, f.state, f.searched, f.continueAsked = nil, stateHead, 0, false
	if len(f.buf) == 0 {
		f.buf = nil
	}
	return message
}

// step reads one part of a message.
func (f *Framer) step() (progress, *ProtocolError) {
	switch f.state {
	case stateHead:
		return f.readHead()
	case stateLength:
		return f.readLength()
	case stateUntilClose:
		return f.readUntilClose()
	case stateChunkSize:
		return f.readChunkSize()
	case stateChunkData:
		return f.readChunkData()
	case stateChunkEnd:
		return f.readChunkEnd()
	case stateTrailer:
		return f.readTrailer()
	default:
		return progressWait, f.failure
	}
}

func (f *Framer) readHead() (progress, *ProtocolError) {
	end, failure := f.findHeadEnd()
	if failure != nil || end < 0 {
		return progressWait, failure
	}
	if failure := f.parseHead(f.buf[:end]); failure != nil {
		return progressWait, failure
	}
	f.buf, f.searched = f.buf[end:], 0
	switch {
	case f.message.Status >= 100 && f.message.Status < 200: // interim responses are ignored
		f.message, f.state = nil, stateHead
		return progressNext, nil
	case f.state == stateLength && f.left == 0:
		f.message.ExpectContinue = false // nothing follows
		return progressComplete, nil
	case f.message.ExpectContinue && !f.continueAsked && len(f.buf) == 0:
		return progressContinue, nil
	}
	f.message.ExpectContinue = false
	return progressNext, nil
}

// findHeadEnd returns the length of the head with its empty line; below 0 where it is incomplete.
func (f *Framer) findHeadEnd() (int, *ProtocolError) {
	if !f.response { // RFC 9112 2.2: an empty line before a request line is ignored
		for f.searched == 0 && bytes.HasPrefix(f.buf, []byte(lineEnd)) {
			f.buf = f.buf[len(lineEnd):]
		}
	}
	const headEnd = lineEnd + lineEnd
	end := bytes.Index(f.buf[f.searched:], []byte(headEnd))
	size := len(f.buf)
	if end >= 0 {
		size = f.searched + end + len(headEnd)
	}
	if size > f.limits.Head {
		return 0, protocolErrorf(nethttp.StatusRequestHeaderFieldsTooLarge, "head is over %d bytes", f.limits.Head)
	}
	if end < 0 {
		f.searched = max(len(f.buf)-len(headEnd)+1, 0)
		return -1, nil
	}
	return size, nil
}

// moveBody moves up to left bytes from the buffer to the body and returns how many.
func (f *Framer) moveBody() int {
	n := min(f.left, len(f.buf))
	f.message.Body = append(f.message.Body, f.buf[:n]...)
	f.buf, f.left = f.buf[n:], f.left-n
	return n
}

func (f *Framer) readLength() (progress, *ProtocolError) {
	if f.moveBody() == 0 {
		return progressWait, nil
	}
	f.message.ExpectContinue = false
	if f.left == 0 {
		return progressComplete, nil
	}
	return progressNext, nil
}

// checkBodySize refuses a body that more bytes would make too long.
func (f *Framer) checkBodySize(more int) *ProtocolError {
	if len(f.message.Body)+more > f.limits.Body {
		return protocolErrorf(nethttp.StatusRequestEntityTooLarge, "body is over %d bytes", f.limits.Body)
	}
	return nil
}

func (f *Framer) readUntilClose() (progress, *ProtocolError) {
	if failure := f.checkBodySize(len(f.buf)); failure != nil {
		return progressWait, failure
	}
	f.message.Body, f.buf = append(f.message.Body, f.buf...), nil
	return progressWait, nil
}

func (f *Framer) readChunkSize() (progress, *ProtocolError) {
	line, ok, failure := f.takeLine(maxChunkLine)
	if failure != nil || !ok {
		return progressWait, failure
	}
	f.message.ExpectContinue = false
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
	if err != nil || strings.ContainsAny(digits, "+-_") {
		return progressWait, badRequestf("chunk size %q is not a hexadecimal number", digits)
	}
	if failure := f.checkBodySize(int(size)); failure != nil {
		return progressWait, failure
	}
	f.left, f.state = int(size), stateChunkData
	if size == 0 {
		f.state, f.trailerSize = stateTrailer, 0
	}
	return progressNext, nil
}

func (f *Framer) readChunkData() (progress, *ProtocolError) {
	f.moveBody()
	if f.left > 0 {
		return progressWait, nil
	}
	f.state = stateChunkEnd
	return progressNext, nil
}

func (f *Framer) readChunkEnd() (progress, *ProtocolError) {
	if len(f.buf) < len(lineEnd) {
		return progressWait, nil
	}
	if !bytes.HasPrefix(f.buf, []byte(lineEnd)) {
		return progressWait, badRequestf("chunk is longer than its size")
	}
	f.buf, f.state = f.buf[len(lineEnd):], stateChunkSize
	return progressNext, nil
}

// readTrailer skips trailer fields: none of them may change what the head said.
func (f *Framer) readTrailer() (progress, *ProtocolError) {
	line, ok, failure := f.takeLine(f.limits.Head)
	if failure != nil || !ok {
		return progressWait, failure
	}
	f.trailerSize += len(line) + len(lineEnd)
	switch {
	case f.trailerSize > f.limits.Head:
		return progressWait, protocolErrorf(nethttp.StatusRequestHeaderFieldsTooLarge, "trailer is over %d bytes", f.limits.Head)
	case line == "":
		return progressComplete, nil
	case !strings.Contains(line, ":"):
		return progressWait, badRequestf("trailer line %.40q has no colon", line)
	}
	return progressNext, nil
}

// takeLine takes a line of a chunked body from the buffer; false where it is incomplete.
func (f *Framer) takeLine(limit int) (string, bool, *ProtocolError) {
	end := bytes.IndexByte(f.buf, '\n')
	switch {
	case end < 0 && len(f.buf) > limit || end > limit:
		return "", false, badRequestf("line in a chunked body is over %d bytes", limit)
	case end < 0:
		return "", false, nil
	case end == 0 || f.buf[end-1] != '\r':
		return "", false, badRequestf("line in a chunked body ends without a carriage return")
	}
	line := string(f.buf[:end-1])
	f.buf = f.buf[end+1:]
	return line, true, nil
}
