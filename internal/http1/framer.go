package http1

import (
	"bytes"
	"errors"
	"fmt"
	nethttp "net/http"
	"strconv"
	"strings"
)

// state is the part of a message that the framer reads next.
type state uint8

const (
	stateHead       state = iota // start line and header fields
	stateFixedBody               // body with a Content-Length
	stateUntilClose              // body that extends to the end of the connection
	stateChunkSize               // chunk size line
	stateChunkData
	stateChunkEnd // CRLF after the data of a chunk
	stateTrailer  // trailer fields
	stateFailed
)

// stepResult is the result of one step of the framer.
type stepResult uint8

const (
	stepAdvanced        stepResult = iota // a part was read; call step again
	stepNeedsInput                        // the buffer lacks bytes of the current part
	stepExpectsContinue                   // the client waits for 100 Continue
	stepComplete                          // the message is complete
)

// maxChunkLine is the maximum length of a chunk size line in bytes, including chunk extensions, which are ignored.
const maxChunkLine = 256

const crlf = "\r\n"

// errConnectionClosed is wrapped by the error for a truncated message.
var errConnectionClosed = errors.New("connection closed")

// Framer splits the byte stream of one direction of a connection into messages. It is a state machine: each step reads
// one part of a message from the buffer.
type Framer struct {
	limits           Limits
	response         bool // frames responses, not requests
	buf              []byte
	scanned          int // bytes of buf already searched for the end of the head
	state            state
	remaining        int      // bytes of the body or chunk that are still to be read
	trailerSize      int      // bytes of the trailer read so far
	message          *Message // nil until its head is read
	continueReturned bool     // the current message was already returned with ExpectContinue
	protocolErr      *ProtocolError
}

// NewRequestFramer returns a Framer for the requests of a client.
func NewRequestFramer(limits Limits) *Framer { return &Framer{limits: limits} }

// NewResponseFramer returns a Framer for the responses of a server to requests other than HEAD and CONNECT.
func NewResponseFramer(limits Limits) *Framer { return &Framer{limits: limits, response: true} }

// Feed appends a copy of the received bytes to the buffer.
func (f *Framer) Feed(data []byte) { f.buf = append(f.buf, data...) }

// Idle reports whether the framer is between messages, with no bytes buffered.
func (f *Framer) Idle() bool { return f.state == stateHead && len(f.buf) == 0 }

// Buffered returns the number of buffered bytes, including those of an incomplete body.
func (f *Framer) Buffered() int {
	n := len(f.buf)
	if f.message != nil {
		n += len(f.message.Body)
	}
	return n
}

// Next returns the next complete message, or nil if more bytes are needed. After a *ProtocolError, every call returns the
// same error. A request that waits for 100 Continue is returned once with ExpectContinue set and no body, and again when
// it is complete.
func (f *Framer) Next() (*Message, error) {
	if f.protocolErr != nil {
		return nil, f.protocolErr
	}
	for {
		result, protocolErr := f.step()
		if protocolErr != nil {
			f.protocolErr, f.state, f.buf, f.message = protocolErr, stateFailed, nil, nil
			return nil, protocolErr
		}
		switch result {
		case stepAdvanced:
		case stepNeedsInput:
			return nil, nil
		case stepExpectsContinue:
			f.continueReturned = true
			return f.message, nil
		case stepComplete:
			return f.finishMessage(), nil
		}
	}
}

// End handles the end of the stream, after the sender has closed its side. It returns the response whose body extends to
// the end of the connection, if there is one, or an error if the close truncated a message.
func (f *Framer) End() (*Message, error) {
	switch {
	case f.protocolErr != nil:
		return nil, f.protocolErr
	case f.state == stateUntilClose:
		return f.finishMessage(), nil
	case f.Idle():
		return nil, nil
	}
	return nil, fmt.Errorf("message truncated after %d bytes: %w", f.Buffered(), errConnectionClosed)
}

// finishMessage returns the complete message and resets the framer for the next one.
func (f *Framer) finishMessage() *Message {
	message := f.message
	f.message, f.state, f.scanned, f.continueReturned = nil, stateHead, 0, false
	if len(f.buf) == 0 {
		f.buf = nil
	}
	return message
}

// step reads one part of a message from the buffer.
func (f *Framer) step() (stepResult, *ProtocolError) {
	switch f.state {
	case stateHead:
		return f.readHead()
	case stateFixedBody:
		return f.readFixedBody()
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
		return stepNeedsInput, f.protocolErr
	}
}

func (f *Framer) readHead() (stepResult, *ProtocolError) {
	end, protocolErr := f.findHeadEnd()
	if protocolErr != nil || end < 0 {
		return stepNeedsInput, protocolErr
	}
	if protocolErr := f.parseHead(f.buf[:end]); protocolErr != nil {
		return stepNeedsInput, protocolErr
	}
	f.buf, f.scanned = f.buf[end:], 0
	switch {
	case f.message.Status >= 100 && f.message.Status < 200: // skip interim responses
		f.message, f.state = nil, stateHead
		return stepAdvanced, nil
	case f.state == stateFixedBody && f.remaining == 0:
		f.message.ExpectContinue = false // there is no body to wait for
		return stepComplete, nil
	case f.message.ExpectContinue && !f.continueReturned && len(f.buf) == 0:
		return stepExpectsContinue, nil
	}
	f.message.ExpectContinue = false
	return stepAdvanced, nil
}

// findHeadEnd returns the length of the head including its empty line, or -1 if it is incomplete.
func (f *Framer) findHeadEnd() (int, *ProtocolError) {
	if !f.response { // RFC 9112 section 2.2: ignore empty lines before a request line
		for f.scanned == 0 && bytes.HasPrefix(f.buf, []byte(crlf)) {
			f.buf = f.buf[len(crlf):]
		}
	}
	const headEnd = crlf + crlf
	end := bytes.Index(f.buf[f.scanned:], []byte(headEnd))
	size := len(f.buf)
	if end >= 0 {
		size = f.scanned + end + len(headEnd)
	}
	if size > f.limits.Head {
		return 0, newProtocolErrorf(nethttp.StatusRequestHeaderFieldsTooLarge, "head is over %d bytes", f.limits.Head)
	}
	if end < 0 {
		f.scanned = max(len(f.buf)-len(headEnd)+1, 0)
		return -1, nil
	}
	return size, nil
}

// readBody moves up to f.remaining bytes from the buffer to the body and returns their number.
func (f *Framer) readBody() int {
	n := min(f.remaining, len(f.buf))
	f.message.Body = append(f.message.Body, f.buf[:n]...)
	f.buf, f.remaining = f.buf[n:], f.remaining-n
	return n
}

func (f *Framer) readFixedBody() (stepResult, *ProtocolError) {
	if f.readBody() == 0 {
		return stepNeedsInput, nil
	}
	f.message.ExpectContinue = false
	if f.remaining == 0 {
		return stepComplete, nil
	}
	return stepAdvanced, nil
}

// checkBodySize returns an error if the body would exceed its limit with the given number of additional bytes.
func (f *Framer) checkBodySize(more int) *ProtocolError {
	if len(f.message.Body)+more > f.limits.Body {
		return newProtocolErrorf(nethttp.StatusRequestEntityTooLarge, "body is over %d bytes", f.limits.Body)
	}
	return nil
}

func (f *Framer) readUntilClose() (stepResult, *ProtocolError) {
	if protocolErr := f.checkBodySize(len(f.buf)); protocolErr != nil {
		return stepNeedsInput, protocolErr
	}
	f.message.Body, f.buf = append(f.message.Body, f.buf...), nil
	return stepNeedsInput, nil
}

func (f *Framer) readChunkSize() (stepResult, *ProtocolError) {
	line, ok, protocolErr := f.readLine(maxChunkLine)
	if protocolErr != nil || !ok {
		return stepNeedsInput, protocolErr
	}
	f.message.ExpectContinue = false
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
	if err != nil || strings.ContainsAny(digits, "+-_") {
		return stepNeedsInput, badRequestf("chunk size %q is not a hexadecimal number", digits)
	}
	if protocolErr := f.checkBodySize(int(size)); protocolErr != nil {
		return stepNeedsInput, protocolErr
	}
	f.remaining, f.state = int(size), stateChunkData
	if size == 0 {
		f.state, f.trailerSize = stateTrailer, 0
	}
	return stepAdvanced, nil
}

func (f *Framer) readChunkData() (stepResult, *ProtocolError) {
	f.readBody()
	if f.remaining > 0 {
		return stepNeedsInput, nil
	}
	f.state = stateChunkEnd
	return stepAdvanced, nil
}

func (f *Framer) readChunkEnd() (stepResult, *ProtocolError) {
	if len(f.buf) < len(crlf) {
		return stepNeedsInput, nil
	}
	if !bytes.HasPrefix(f.buf, []byte(crlf)) {
		return stepNeedsInput, badRequestf("chunk is longer than its size")
	}
	f.buf, f.state = f.buf[len(crlf):], stateChunkSize
	return stepAdvanced, nil
}

// readTrailer reads a trailer field and discards it, since trailers must not override the header.
func (f *Framer) readTrailer() (stepResult, *ProtocolError) {
	line, ok, protocolErr := f.readLine(f.limits.Head)
	if protocolErr != nil || !ok {
		return stepNeedsInput, protocolErr
	}
	f.trailerSize += len(line) + len(crlf)
	switch {
	case f.trailerSize > f.limits.Head:
		return stepNeedsInput, newProtocolErrorf(nethttp.StatusRequestHeaderFieldsTooLarge, "trailer is over %d bytes", f.limits.Head)
	case line == "":
		return stepComplete, nil
	case !strings.Contains(line, ":"):
		return stepNeedsInput, badRequestf("trailer line %.40q has no colon", line)
	}
	return stepAdvanced, nil
}

// readLine removes a line of a chunked body from the buffer and returns it without its line terminator, or returns false
// if the line is incomplete.
func (f *Framer) readLine(limit int) (string, bool, *ProtocolError) {
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
