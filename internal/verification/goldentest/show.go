package goldentest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"streamcleat/internal/dispatch"
)

// maxFullLength is the maximum length in bytes of a frame or line that is printed in full.
const maxFullLength = 400

// FormatFrames splits data into frames and formats each in hex and as text. size returns the length of the first frame of its
// argument. If that is 0 or exceeds the data, the remaining data is formatted as one frame.
func FormatFrames(data []byte, size func([]byte) int) []string {
	var list []string
	for len(data) > 0 {
		n := size(data)
		if n <= 0 || n > len(data) {
			n = len(data)
		}
		list = append(list, formatFrame(data[:n]))
		data = data[n:]
	}
	return list
}

// formatFrame formats a frame in hex and as text, or as its prefix, length and SHA-256 hash if it exceeds maxFullLength.
func formatFrame(b []byte) string {
	if len(b) > maxFullLength {
		return fmt.Sprintf("%x... %d bytes sha256=%x", b[:64], len(b), sha256.Sum256(b))
	}
	return fmt.Sprintf("%x %s", b, readableText(b))
}

// readableText returns a frame as ASCII text, with a dot for each space or unprintable byte.
func readableText(b []byte) string {
	text := bytes.Clone(b)
	for i, c := range text {
		if c <= ' ' || c > '~' {
			text[i] = '.'
		}
	}
	return string(text)
}

// FormatLines formats text as quoted lines that include their line endings.
func FormatLines(data []byte) []string {
	var list []string
	for line := range strings.SplitAfterSeq(string(data), "\n") {
		if len(line) > maxFullLength {
			line = fmt.Sprintf("%s... %d bytes sha256=%x", line[:64], len(line), sha256.Sum256([]byte(line)))
		}
		if line != "" {
			list = append(list, fmt.Sprintf("%q", line))
		}
	}
	return list
}

// DecodeHex decodes the hex digits of a script. It panics if they are malformed.
func DecodeHex(text string) []byte {
	b, err := hex.DecodeString(text)
	if err != nil {
		panic(err)
	}
	return b
}

func formatFields(list []dispatch.Field) string {
	var parts []string
	for _, f := range list {
		parts = append(parts, fmt.Sprintf("%q", f.Name+": "+f.Value))
	}
	return "[" + strings.Join(parts, " ") + "]"
}

func formatBody(b []byte) string {
	if len(b) > 200 {
		return fmt.Sprintf("%q... %d bytes", b[:20], len(b))
	}
	return fmt.Sprintf("%q", b)
}
