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

// tokenDelimiters holds the visible ASCII characters that are not allowed in a token (RFC 9110 section 5.6.2), and thus
// not in a field name.
const tokenDelimiters = `"(),/:;<=>?@[\]{}`

// parseHead parses a head and sets the state that reads the body. It rejects any head that another parser could frame
// differently, since such ambiguity enables request smuggling.
func (f *Framer) parseHead(head []byte) *ProtocolError {
	if protocolErr := checkLines(head); protocolErr != nil {
		return protocolErr
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
	if protocolErr := checkFieldNames(fields); protocolErr != nil {
		return protocolErr
	}
	message := &Message{Header: nethttp.Header(fields)}
	version, protocolErr := f.parseStartLine(message, startLine)
	if protocolErr != nil {
		return protocolErr
	}
	if version != version11 && version != version10 {
		return newProtocolErrorf(nethttp.StatusHTTPVersionNotSupported, "version %.20q is neither HTTP/1.1 nor HTTP/1.0", version)
	}
	connection := strings.ToLower(strings.Join(fields["Connection"], ","))
	message.Close = strings.Contains(connection, "close") ||
		version == version10 && !strings.Contains(connection, "keep-alive")
	if hosts := len(fields["Host"]); !f.response && (hosts > 1 || hosts == 0 && version == version11) {
		return badRequestf("request has %d Host fields, not one", hosts)
	}
	if protocolErr := f.startBody(message, version); protocolErr != nil {
		return protocolErr
	}
	message.ExpectContinue = !f.response && version == version11 && strings.EqualFold(fields.Get("Expect"), "100-continue")
	return nil
}

// checkLines rejects NUL bytes, line terminators and folded lines that other parsers may interpret differently.
func checkLines(head []byte) *ProtocolError {
	for i, c := range head {
		switch {
		case c == 0:
			return badRequestf("head holds a NUL byte")
		case c == '\n' && (i == 0 || head[i-1] != '\r'):
			return badRequestf("line of the head ends without a carriage return")
		case c == '\r' && head[i+1] != '\n': // the head ends with a line feed, so there is a next byte
			return badRequestf("carriage return within a line of the head")
		case (c == ' ' || c == '\t') && i > 0 && head[i-1] == '\n':
			return badRequestf("folded line in the header")
		}
	}
	return nil
}

func checkFieldNames(fields textproto.MIMEHeader) *ProtocolError {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if strings.ContainsFunc(name, isNotTokenChar) {
			return badRequestf("header: field name %.40q is not a token", name)
		}
	}
	return nil
}

func isNotTokenChar(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune(tokenDelimiters, c)
}

// parseStartLine sets the status of a response, or the method and target of a request, and returns the version.
func (f *Framer) parseStartLine(message *Message, line string) (version string, protocolErr *ProtocolError) {
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
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return "", badRequestf("request line %.40q is not of three words", line)
	}
	message.Method, message.Target = parts[0], parts[1]
	return parts[2], nil
}

// startBody sets the current message and the state that reads its body, as RFC 9112 section 6.3 defines its length.
func (f *Framer) startBody(message *Message, version string) *ProtocolError {
	contentLengths, transferCodings := message.Header["Content-Length"], message.Header["Transfer-Encoding"]
	f.message, f.state, f.remaining = message, stateFixedBody, 0
	switch {
	case f.response && hasNoContent(message.Status):
	case len(transferCodings) > 0:
		f.state = stateChunkSize
		return checkTransferCodings(transferCodings, contentLengths, version)
	case len(contentLengths) > 0:
		return f.setFixedLength(contentLengths)
	case f.response:
		f.state, message.Close = stateUntilClose, true
	}
	return nil
}

func hasNoContent(status int) bool {
	return status < 200 || status == nethttp.StatusNoContent || status == nethttp.StatusNotModified
}

// checkTransferCodings rejects everything but a single chunked transfer coding in HTTP/1.1, without a Content-Length.
func checkTransferCodings(transferCodings, contentLengths []string, version string) *ProtocolError {
	switch {
	case len(contentLengths) > 0:
		return badRequestf("both Transfer-Encoding and Content-Length are given")
	case version == version10:
		return badRequestf("Transfer-Encoding in HTTP/1.0")
	case len(transferCodings) > 1 || !strings.EqualFold(strings.TrimSpace(transferCodings[0]), "chunked"):
		return newProtocolErrorf(nethttp.StatusNotImplemented, "Transfer-Encoding %.40q is not chunked alone", strings.Join(transferCodings, ", "))
	}
	return nil
}

// setFixedLength sets the length of the body from the Content-Length field.
func (f *Framer) setFixedLength(contentLengths []string) *ProtocolError {
	if len(contentLengths) > 1 {
		return badRequestf("Content-Length is given %d times", len(contentLengths))
	}
	length, err := strconv.ParseUint(contentLengths[0], 10, 62)
	if err != nil {
		return badRequestf("Content-Length %.40q is not a whole number", contentLengths[0])
	}
	if length > uint64(f.limits.Body) {
		return newProtocolErrorf(nethttp.StatusRequestEntityTooLarge, "body of %d bytes is over %d", length, f.limits.Body)
	}
	f.remaining = int(length)
	return nil
}
