package http1

import (
	"bufio"
	"bytes"
	"maps"
	nethttp "net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// Protocol versions in a start line.
const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// nonTokenBytes are the visible characters that a field name may not hold (RFC 9110 5.6.2).
const nonTokenBytes = `"(),/:;<=>?@[\]{}`

// parseHead parses a head and determines the length of the body. Whatever two readers could understand differently
// (request smuggling) is refused.
func (f *Framer) parseHead(head []byte) *ProtocolError {
	if failure := checkLines(head); failure != nil {
		return failure
	}
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	startLine, err := reader.ReadLine()
	if err != nil {
		return badRequestf("start line: %v", err)
	}
	fields, err := reader.ReadMIMEHeader()
	if err != nil {
		return badRequestf("header: %v", err)
	}
	if failure := checkFieldNames(fields); failure != nil {
		return failure
	}
	message := &Message{Header: nethttp.Header(fields)}
	version, failure := f.parseStartLine(message, startLine)
	if failure != nil {
		return failure
	}
	if version != version11 && version != version10 {
		return protocolErrorf(nethttp.StatusHTTPVersionNotSupported, "version %.20q is neither HTTP/1.1 nor HTTP/1.0", version)
	}
	connection := strings.ToLower(strings.Join(fields["Connection"], ","))
	message.Close = strings.Contains(connection, "close") ||
		version == version10 && !strings.Contains(connection, "keep-alive")
	if hosts := len(fields["Host"]); !f.response && (hosts > 1 || hosts == 0 && version == version11) {
		return badRequestf("request has %d Host fields, not one", hosts)
	}
	if failure := f.beginBody(message, version); failure != nil {
		return failure
	}
	message.ExpectContinue = !f.response && version == version11 && strings.EqualFold(fields.Get("Expect"), "100-continue")
	return nil
}

// checkLines refuses bytes and line ends that readers understand differently.
func checkLines(head []byte) *ProtocolError {
	for i, c := range head {
		switch {
		case c == 0:
			return badRequestf("head holds a NUL byte")
		case c == '\n' && (i == 0 || head[i-1] != '\r'):
			return badRequestf("line of the head ends without a carriage return")
		case c == '\r' && head[i+1] != '\n': // a head ends with a line feed, so there is a next byte
			return badRequestf("carriage return within a line of the head")
		case (c == ' ' || c == '\t') && i > 0 && head[i-1] == '\n':
			return badRequestf("folded line in the header")
		}
	}
	return nil
}

func checkFieldNames(fields textproto.MIMEHeader) *ProtocolError {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if strings.ContainsFunc(name, isNotToken) {
			return badRequestf("header: field name %.40q is not a token", name)
		}
	}
	return nil
}

func isNotToken(c rune) bool { return c <= ' ' || c >= 0x7f || strings.ContainsRune(nonTokenBytes, c) }

// parseStartLine reads the status of a response, or the method and target of a request, and returns the version.
func (f *Framer) parseStartLine(message *Message, line string) (version string, failure *ProtocolError) {
	if f.response {
		version, rest, _ := strings.Cut(line, " ")
		text, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(text)
		if err != nil || len(text) != 3 || status < 100 {
			return "", badRequestf("status line %.40q holds no status", line)
		}
		message.Status = status
		return version, nil
	}
	words := strings.Split(line, " ")
	if len(words) != 3 || words[0] == "" || words[1] == "" {
		return "", badRequestf("request line %.40q is not of three words", line)
	}
	message.Method, message.Target = words[0], words[1]
	return words[2], nil
}

// beginBody sets the message and the state that reads its body (RFC 9112 6.3).
func (f *Framer) beginBody(message *Message, version string) *ProtocolError {
	lengths, codings := message.Header["Content-Length"], message.Header["Transfer-Encoding"]
	f.message, f.state, f.left = message, stateLength, 0
	switch {
	case f.response && hasNoBody(message.Status):
	case len(codings) > 0:
		f.state = stateChunkSize
		return checkCodings(codings, lengths, version)
	case len(lengths) > 0:
		return f.setLength(lengths)
	case f.response:
		f.state, message.Close = stateUntilClose, true
	}
	return nil
}

func hasNoBody(status int) bool {
	return status < 200 || status == nethttp.StatusNoContent || status == nethttp.StatusNotModified
}

// checkCodings refuses any transfer coding but chunked alone.
func checkCodings(codings, lengths []string, version string) *ProtocolError {
	switch {
	case len(lengths) > 0:
		return badRequestf("both Transfer-Encoding and Content-Length are given")
	case version == version10:
		return badRequestf("Transfer-Encoding in HTTP/1.0")
	case len(codings) > 1 || !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked"):
		return protocolErrorf(nethttp.StatusNotImplemented, "Transfer-Encoding %.40q is not chunked alone", strings.Join(codings, ", "))
	}
	return nil
}

// setLength takes the length of the body from Content-Length.
func (f *Framer) setLength(lengths []string) *ProtocolError {
	if len(lengths) > 1 {
		return badRequestf("Content-Length is given %d times", len(lengths))
	}
	length, err := strconv.ParseUint(lengths[0], 10, 62)
	if err != nil {
		return badRequestf("Content-Length %.40q is not a whole number", lengths[0])
	}
	if length > uint64(f.limits.Body) {
		return protocolErrorf(nethttp.StatusRequestEntityTooLarge, "body of %d bytes is over %d", length, f.limits.Body)
	}
	f.left = int(length)
	return nil
}
