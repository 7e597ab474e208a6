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
	"streamcleat/internal/units"
)

// bufferSize is the size of the input and output buffers in bytes. Most batches fit into it.
const bufferSize = 1 << 16

// lineReader reads and numbers lines.
type lineReader struct {
	in   *bufio.Reader
	line line // the last line that was read
}

func newLineReader(in io.Reader) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(in, bufferSize)}
}

// next returns the next line, or io.EOF at the end of the input. If the input ends within a line or a batch, the error
// wraps ErrTruncated. Empty lines between batches are skipped. The returned line is valid until the next call.
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

// field is a name=value pair of a message.
type field struct{ name, value string }

// line is an input message, split into its name and fields. Its methods decode fields and record the first error in err.
// Values decoded after an error must not be used.
type line struct {
	number int // starting at 1
	name   string
	fields []field
	err    error
}

// fail records an error of a field, unless an earlier one is recorded.
func (l *line) fail(fieldName string, err error) {
	if l.err == nil {
		l.err = &LineError{Line: l.number, Field: fieldName, Err: err}
	}
}

// parse splits the text of a line into the message name and the fields.
func (l *line) parse(text string) {
	l.fields, l.err = l.fields[:0], nil
	name, remaining, _ := strings.Cut(text, " ")
	l.name = name
	if name == "" {
		l.fail("", errors.New("no message name"))
		return
	}
	restOfLineField := restOfLineFields[name]
	for remaining != "" {
		key, value, ok := strings.Cut(remaining, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			l.fail(key, errors.New("not a name=value pair"))
			return
		}
		if restOfLineField != "" && key == restOfLineField {
			remaining = ""
		} else {
			value, remaining, _ = strings.Cut(value, " ")
		}
		l.fields = append(l.fields, field{name: key, value: value})
	}
}

// get returns the value of a field and whether the field is present.
func (l *line) get(fieldName string) (string, bool) {
	for i := range l.fields {
		if l.fields[i].name == fieldName {
			return l.fields[i].value, true
		}
	}
	return "", false
}

// text returns the value of a field, or "" if it is missing.
func (l *line) text(fieldName string) string {
	value, _ := l.get(fieldName)
	return value
}

// required returns the value of a field that must not be empty.
func (l *line) required(fieldName string) string {
	value := l.text(fieldName)
	if value == "" {
		l.fail(fieldName, ErrMissing)
	}
	return value
}

// float decodes a finite number, or 0 if the field is missing.
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

// seconds decodes a time given in milliseconds, or 0 if the field is missing.
func (l *line) seconds(fieldName string) units.Seconds {
	return units.Seconds(l.float(fieldName) / millisecondsPerSecond)
}

// integer decodes an integer, or 0 if the field is missing.
func (l *line) integer(fieldName string) int {
	value, ok := l.get(fieldName)
	if !ok {
		return 0
	}
	number, err := strconv.Atoi(value)
	if err != nil {
		l.fail(fieldName, fmt.Errorf("not an integer: %s", value))
	}
	return number
}

// requiredUint64 decodes an unsigned integer that must not be missing.
func (l *line) requiredUint64(fieldName string) uint64 {
	value := l.required(fieldName)
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		l.fail(fieldName, fmt.Errorf("not an integer: %s", value))
	}
	return number
}

// flag decodes 0 or 1, or false if the field is missing.
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

// enum decodes a required field whose value must be a key of values.
func enum[T any](l *line, fieldName string, values map[string]T) T {
	text := l.required(fieldName)
	value, ok := values[text]
	if !ok {
		l.fail(fieldName, fmt.Errorf("unknown value: %s", text))
	}
	return value
}

// loadReport decodes comma-separated name:number pairs. A single hyphen means that there are none.
func (l *line) loadReport(fieldName string) control.LoadReport {
	var report control.LoadReport
	remaining := l.text(fieldName)
	for remaining != "" && remaining != "-" {
		var pair string
		pair, remaining, _ = strings.Cut(remaining, ",")
		name, value, hasColon := strings.Cut(pair, ":")
		number, isNumber := parseFinite(value)
		if !hasColon || !isNumber {
			l.fail(fieldName, fmt.Errorf("not a name:number pair: %s", pair))
			return report
		}
		switch name {
		case metricRunning:
			report.Running, report.Known = number, true
		case metricWaiting:
			report.Waiting, report.Known = number, true
		}
	}
	return report
}

// base64 decodes base64 data. A leading hyphen is skipped.
func (l *line) base64(fieldName string) []byte {
	data, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(l.required(fieldName), "-"))
	if err != nil {
		l.fail(fieldName, err)
	}
	return data
}

// deployment decodes the settings document of a deployment.
func (l *line) deployment(fieldName string) *control.Deployment {
	text := l.required(fieldName)
	if l.err != nil {
		return nil
	}
	settings, err := deployment.Read([]byte(text))
	if err != nil {
		l.fail(fieldName, err)
		return nil
	}
	return settings.Deployment()
}

// parseFinite parses a number that must be neither infinite nor NaN.
func parseFinite(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && !math.IsNaN(number) && !math.IsInf(number, 0)
}
