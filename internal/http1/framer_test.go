package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	nethttp "net/http"
	"strconv"
	"strings"
	"testing"
)

var limits = Limits{Head: 400, Body: 100}

// readAll passes the pieces of an input to a framer and returns each complete message as text.
func readAll(f *Framer, pieces ...string) (got []string, err error) {
	for _, piece := range pieces {
		f.Feed([]byte(piece))
		for {
			m, err := f.Next()
			if err != nil {
				return got, err
			}
			if m == nil {
				break
			}
			if !m.ExpectContinue {
				got = append(got, fmt.Sprintf("%s%s %d %s", m.Method, m.Target, m.Status, m.Body))
			}
		}
	}
	return got, nil
}

// checkRequests passes the pieces of an input to a request framer and compares its messages with want. If the framer
// returns an error, want holds its status and a part of its reason.
func checkRequests(t *testing.T, inputMode, want string, pieces ...string) {
	t.Helper()
	got, err := readAll(NewRequestFramer(limits), pieces...)
	if err == nil {
		if s := fmt.Sprint(got); s != want {
			t.Errorf("%s: got %s, want %s", inputMode, s, want)
		}
		return
	}
	var protocolErr *ProtocolError
	status, reason, _ := strings.Cut(want, " ")
	if !errors.As(err, &protocolErr) || strconv.Itoa(protocolErr.Status) != status || !strings.Contains(protocolErr.Reason, reason) {
		t.Errorf("%s: got error %v, want %s", inputMode, err, want)
	}
}

func TestFramer_Requests(t *testing.T) {
	post := "POST /e HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct {
		name, in string
		want     string // messages, or the status and a part of the error
	}{
		{"without body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "[GET/ 0 ]"},
		{"Content-Length", post + "Content-Length: 3\r\n\r\nabc", "[POST/e 0 abc]"},
		{"pipelined", post + "Content-Length: 1\r\n\r\na" + post + "\r\n", "[POST/e 0 a POST/e 0 ]"},
		{"empty lines before request line", "\r\n\r\n" + post + "\r\n", "[POST/e 0 ]"},
		{"chunked", post + "Transfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n", "[POST/e 0 abc]"},
		{"equal Content-Length fields", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400 2 times"},
		{"different Content-Length fields", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400 2 times"},
		{"Content-Length list", post + "Content-Length: 3, 3\r\n\r\nabc", "400 whole number"},
		{"signed Content-Length", post + "Content-Length: +3\r\n\r\nabc", "400 whole number"},
		{"Content-Length and chunked", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400 both"},
		{"chunked in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400 HTTP/1.0"},
		{"unsupported transfer coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", "501 chunked alone"},
		{"two transfer codings", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", "501 chunked alone"},
		{"blank before colon", post + "Content-Length : 3\r\n\r\nabc", "400 header"},
		{"folded field", post + "X: a\r\n Content-Length: 3\r\n\r\nabc", "400 folded"},
		{"bare line feed", "POST / HTTP/1.1\nHost: a\r\n\r\n", "400 carriage return"},
		{"bare carriage return", post + "X: a\rContent-Length: 3\r\n\r\n", "400 carriage return"},
		{"NUL byte", post + "X: a\x00b\r\n\r\n", "400 NUL"},
		{"missing Host", "GET / HTTP/1.1\r\n\r\n", "400 Host"},
		{"two Host fields", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400 Host"},
		{"missing version", "GET /\r\nHost: a\r\n\r\n", "400 three words"},
		{"unsupported version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", "505 version"},
		{"head over limit", post + "X: " + strings.Repeat("a", 400) + "\r\n\r\n", "431 400 bytes"},
		{"incomplete head over limit", post + "X: " + strings.Repeat("a", 400), "431 400 bytes"},
		{"Content-Length over limit", post + "Content-Length: 101\r\n\r\n", "413 101"},
		{"chunk over body limit", post + "Transfer-Encoding: chunked\r\n\r\n65\r\n", "413 100 bytes"},
		{"chunk size overflow", post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "400 hexadecimal"},
		{"signed chunk size", post + "Transfer-Encoding: chunked\r\n\r\n+1\r\na\r\n", "400 hexadecimal"},
		{"chunk longer than its size", post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", "400 longer"},
		{"chunk line without carriage return", post + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n", "400 carriage return"},
		{"trailer without colon", post + "Transfer-Encoding: chunked\r\n\r\n0\r\nxy\r\n\r\n", "400 colon"},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkRequests(t, "at once", c.want, c.in)
			checkRequests(t, "byte by byte", c.want, strings.Split(c.in, "")...)
		})
	}
}

// wantIncomplete checks that the framer needs more bytes.
func wantIncomplete(t *testing.T, f *Framer) {
	t.Helper()
	if m, err := f.Next(); m != nil || err != nil {
		t.Fatal(m, err)
	}
}

func TestFramer_Responses(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n"
	got, err := readAll(NewResponseFramer(limits), "HTTP/1.1 100 Continue\r\n\r\n"+ok+"Content-Length: 2\r\n\r\nhi"+
		"HTTP/1.1 204 No\r\nContent-Length: 9\r\n\r\n"+ok+"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	if want := "[ 200 hi  204   200 a]"; err != nil || fmt.Sprint(got) != want {
		t.Fatalf("%v %v, want %s", got, err, want)
	}
}

func TestFramer_ResponseBodyUntilClose(t *testing.T) {
	f := NewResponseFramer(limits)
	f.Feed([]byte("HTTP/1.1 200 OK\r\n\r\nuntil"))
	wantIncomplete(t, f)
	f.Feed([]byte(" close"))
	wantIncomplete(t, f)
	if m, err := f.End(); err != nil || string(m.Body) != "until close" || !m.Close {
		t.Fatal(m, err)
	}
}

func TestFramer_TruncatedResponse(t *testing.T) {
	f := NewResponseFramer(limits)
	f.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal"))
	wantIncomplete(t, f)
	if m, err := f.End(); !errors.Is(err, errConnectionClosed) || m != nil {
		t.Fatalf("got %v, %v, want errConnectionClosed", m, err)
	}
}

func TestFramer_ExpectContinue(t *testing.T) {
	f := NewRequestFramer(limits)
	f.Feed([]byte("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	if m, err := f.Next(); err != nil || m == nil || !m.ExpectContinue {
		t.Fatal(m, err)
	}
	if m, err := f.Next(); m != nil || err != nil {
		t.Fatalf("ExpectContinue message not returned exactly once: %v, %v", m, err)
	}
	f.Feed([]byte("hi"))
	if m, err := f.Next(); err != nil || m == nil || m.ExpectContinue || string(m.Body) != "hi" || !f.Idle() {
		t.Fatal(m, err)
	}
}

// A request without a body is complete after its head, even with Expect: 100-continue.
func TestFramer_ExpectContinueWithoutBody(t *testing.T) {
	f := NewRequestFramer(limits)
	f.Feed([]byte("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n"))
	if m, err := f.Next(); err != nil || m == nil || m.ExpectContinue || !f.Idle() {
		t.Fatal(m, err)
	}
}

// FuzzFramer checks for arbitrary input that the result does not depend on how the bytes are split, and that the standard
// library parses every framed request identically.
func FuzzFramer(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: b\r\n\r\n"), 7)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), 60)
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		whole, wholeErr := readAll(NewRequestFramer(limits), string(data))
		split = min(max(split, 0), len(data))
		parts, partsErr := readAll(NewRequestFramer(limits), string(data[:split]), string(data[split:]))
		if fmt.Sprint(whole) != fmt.Sprint(parts) || fmt.Sprint(wholeErr) != fmt.Sprint(partsErr) {
			t.Fatalf("result depends on the split\nwhole: %q %v\nin parts: %q %v", whole, wholeErr, parts, partsErr)
		}
		r := bufio.NewReader(bytes.NewReader(bytes.TrimLeft(data, "\r\n")))
		for _, m := range whole {
			req, err := nethttp.ReadRequest(r)
			if err != nil {
				return // net/http rejects some request targets that the framer accepts
			}
			body, err := io.ReadAll(req.Body)
			if want := fmt.Sprintf("%s%s 0 %s", req.Method, req.RequestURI, body); err == nil && m != want {
				t.Fatalf("framed %q, net/http reads %q", m, want)
			}
			for { // skip empty lines between requests, as the framer does
				if b, err := r.Peek(2); err != nil || string(b) != "\r\n" {
					break
				}
				if _, err := r.Discard(2); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
