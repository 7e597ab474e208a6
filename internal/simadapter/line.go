package simadapter

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/deployment"
)

// bufferSize is the size of the input and output buffers: a batch mostly fits.
const bufferSize = 1 << 16

// lineReader reads lines and counts them.
type lineReader struct {
	in   *bufio.Reader
	line line // of the last read
}

func newLineReader(in io.Reader) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(in, bufferSize)}
}

// next returns the next line, or io.EOF. The input must not end within a line or a batch; empty lines between batches
// are skipped. The line is valid until the next call.
func (r *lineReader) next(inBatch bool) (*line, error) {
	for {
		r.line.number++
		text, err := r.in.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if err != nil && (inBatch || text != "") {
			return nil, &LineError{Line: r.line.number, Err: ErrTruncated}
		}
		if err != nil {
			return nil, io.EOF
		}
		text = strings.TrimRight(text, "\r\n")
		if text == "" && !inBatch {
			continue
		}
		r.line.parse(text)
		return &r.line, r.line.err
	}
}

// field is one name=value pair of a message.
type field struct{ name, value string }

// line is one message of input, split into its name and its fields. Its methods decode fields; the first fault stays in
// err, and what is decoded after it has no meaning.
type line struct {
	number int // counted from 1
	name   string
	fields []field
	err    error
}

// fail notes a fault of a field; only the first one counts.
func (l *line) fail(fieldName string, err error) {
	if l.err == nil {
		l.err = &LineError{Line: l.number, Field: fieldName, Err: err}
	}
}

// parse splits the text of a line.
func (l *line) parse(text string) {
	l.fields, l.err = l.fields[:0], nil
	name, rest, _ := strings.Cut(text, " ")
	l.name = name
	if name == "" {
		l.fail("", errors.New("no message name"))
		return
	}
	restOfLine := restOfLineFields[name]
	for rest != "" {
		key, value, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			l.fail(key, errors.New("not a name=value pair"))
			return
		}
		if restOfLine != "" && key == restOfLine {
			rest = ""
		} else {
			value, rest, _ = strings.Cut(value, " ")
		}
		l.fields = append(l.fields, field{name: key, value: value})
	}
}

// get returns the value of a field and whether the line has it.
func (l *line) get(fieldName string) (string, bool) {
	for i := range l.fields {
		if l.fields[i].name == fieldName {
			return l.fields[i].value, true
		}
	}
	return "", false
}

// text is the value of a field, empty where it is missing.
func (l *line) text(fieldName string) string {
	value, _ := l.get(fieldName)
	return value
}

// required is the value of a field that must not be empty.
func (l *line) required(fieldName string) string {
	value := l.text(fieldName)
	if value == "" {
		l.fail(fieldName, ErrMissing)
	}
	return value
}

// float decodes a finite number; 0 where the field is missing.
func (l *line) float(fieldName string) float64 {
	value, ok := l.get(fieldName)
	if !ok {
		return 0
	}
	number, ok := parseFinite(value)
	if !ok {
		l.fail(fieldName, fmt.Errorf("not a number: %s", value))
	}
	return number
}

// seconds decodes a time in milliseconds.
func (l *line) seconds(fieldName string) float64 { return l.float(fieldName) / millisecondsPerSecond }

// integer decodes a whole number; 0 where the field is missing.
func (l *line) integer(fieldName string) int {
	value, ok := l.get(fieldName)
	if !ok {
		return 0
	}
	number, err := strconv.Atoi(value)
	if err != nil {
		l.fail(fieldName, fmt.Errorf("not a whole number: %s", value))
	}
	return number
}

// requiredUint64 decodes a whole number that must be given.
func (l *line) requiredUint64(fieldName string) uint64 {
	value := l.required(fieldName)
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		l.fail(fieldName, fmt.Errorf("not a whole number: %s", value))
	}
	return number
}

// flag decodes 0 or 1; false where the field is missing.
func (l *line) flag(fieldName string) bool {
	switch value := l.text(fieldName); value {
	case "", "0":
		return false
	case "1":
		return true
	default:
		l.fail(fieldName, fmt.Errorf("neither 0 nor 1: %s", value))
		return false
	}
}

// word decodes a field that must hold one of several words.
func word[T any](l *line, fieldName string, words map[string]T) T {
	text := l.required(fieldName)
	value, ok := words[text]
	if !ok {
		l.fail(fieldName, fmt.Errorf("unknown word: %s", text))
	}
	return value
}

// loadReport decodes pairs of name:number, divided by commas; a single hyphen means none.
func (l *line) loadReport(fieldName string) control.LoadReport {
	var report control.LoadReport
	rest := l.text(fieldName)
	for rest != "" && rest != "-" {
		var pair string
		pair, rest, _ = strings.Cut(rest, ",")
		name, value, hasColon := strings.Cut(pair, ":")
		number, isNumber := parseFinite(value)
		if !hasColon || !isNumber {
			l.fail(fieldName, fmt.Errorf("not a name:number pair: %s", pair))
			return report
		}
		switch name {
		case reportRunning:
			report.Running, report.Known = number, true
		case reportWaiting:
			report.Waiting, report.Known = number, true
		}
	}
	return report
}

// base64 decodes bytes; a hyphen before them is skipped.
func (l *line) base64(fieldName string) []byte {
	data, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(l.required(fieldName), "-"))
	if err != nil {
		l.fail(fieldName, err)
	}
	return data
}

// deployment decodes the terms of a deployment.
func (l *line) deployment(fieldName string) *control.Deployment {
	text := l.required(fieldName)
	if l.err != nil {
		return nil
	}
	terms, err := deployment.Read([]byte(text))
	if err != nil {
		l.fail(fieldName, err)
		return nil
	}
	return terms.Deployment()
}

// parseFinite parses a number that is neither infinite nor NaN.
func parseFinite(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && !math.IsNaN(number) && !math.IsInf(number, 0)
}
