package goldentest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"streamcleat/internal/dispatch"
)

// maxShown is the longest frame or line in bytes that is shown whole.
const maxShown = 400

// Frames shows bytes as frames, each in hex and with its readable text. size is the length of the first frame; what is
// left over where it is 0 or beyond the end is shown as one piece.
func Frames(data []byte, size func([]byte) int) (list []string) {
	for len(data) > 0 {
		n := size(data)
		if n <= 0 || n > len(data) {
			n = len(data)
		}
		list = append(list, showFrame(data[:n]))
		data = data[n:]
	}
	return list
}

// showFrame is one frame in hex; of a very long one its beginning, length and hash.
func showFrame(b []byte) string {
	if len(b) > maxShown {
		return fmt.Sprintf("%x... %d bytes sha256=%x", b[:64], len(b), sha256.Sum256(b))
	}
	return fmt.Sprintf("%x %s", b, readableText(b))
}

// readableText is the text in a frame, with dots for other bytes.
func readableText(b []byte) string {
	text := bytes.Clone(b)
	for i, c := range text {
		if c <= ' ' || c > '~' {
			text[i] = '.'
		}
	}
	return string(text)
}

// Lines shows text as quoted lines with their line ends.
func Lines(data []byte) (list []string) {
	for line := range strings.SplitAfterSeq(string(data), "\n") {
		if len(line) > maxShown {
			line = fmt.Sprintf("%s... %d bytes sha256=%x", line[:64], len(line), sha256.Sum256([]byte(line)))
		}
		if line != "" {
			list = append(list, fmt.Sprintf("%q", line))
		}
	}
	return list
}

// Hex reads bytes from hex digits of a script.
func Hex(text string) []byte {
	b, err := hex.DecodeString(text)
	if err != nil {
		panic(err)
	}
	return b
}

func showFields(list []dispatch.Field) string {
	var parts []string
	for _, f := range list {
		parts = append(parts, fmt.Sprintf("%q", f.Name+": "+f.Value))
	}
	return "[" + strings.Join(parts, " ") + "]"
}

func showBody(b []byte) string {
	if len(b) > 200 {
		return fmt.Sprintf("%q... %d bytes", b[:20], len(b))
	}
	return fmt.Sprintf("%q", b)
}
