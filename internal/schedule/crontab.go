package schedule

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/robfig/cron/v3"
)

// Variables that a NAME=VALUE line of a crontab may set.
const (
	zoneVariable          = "CRON_TZ"
	zoneVariableShort     = "TZ"
	misfireVariable       = "MISFIRE"
	catchUpWindowVariable = "MISFIRE_WITHIN"
	timeoutVariable       = "WAIT"
)

// Values of ParseError.Field other than the names of variables.
const (
	scheduleField = "schedule"
	lineField     = "line" // an error that concerns the whole line
)

const (
	defaultCatchUpWindow = time.Hour
	maxLineBytes         = 1 << 20
)

// ParseError is an error in one line of a crontab.
type ParseError struct {
	File  string
	Line  int
	Field string // name of a variable, "schedule" or "line"
	Err   error
}

// Error returns the error with its position.
func (e *ParseError) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns the error without its position.
func (e *ParseError) Unwrap() error { return e.Err }

// specParser accepts the five fields of a POSIX crontab with names and steps, and descriptors such as @hourly.
var specParser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

// Parse reads a crontab. name is the file name in errors. An entry is a line
//
//	minute hour day month weekday TYPE FUNCTION [TENANT] [%DATA]
//
// with a descriptor such as @hourly allowed in place of the five fields. Lines that start with # are comments. A
// NAME=VALUE line sets a variable for the following lines: CRON_TZ (time zone, default UTC), MISFIRE (skip, once or all,
// default skip), MISFIRE_WITHIN (catch-up window) and WAIT (timeout of the request; both are positive durations). As in
// POSIX, the first unescaped % ends the command and starts its data, in which a further % is a line break and \% a
// literal %. The returned error joins one ParseError for each invalid line.
func Parse(r io.Reader, name string) ([]Entry, error) {
	p := &crontabParser{
		file:          name,
		zone:          time.UTC,
		catchUpWindow: defaultCatchUpWindow,
		lineByKey:     map[string]int{},
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		p.line++
		p.parseLine(strings.TrimSpace(scanner.Text()))
	}
	if err := scanner.Err(); err != nil {
		p.line++
		p.addError(lineField, err)
	}
	return p.entries, errors.Join(p.errs...)
}

// crontabParser holds the current values of the variables and the entries and errors of the lines read so far.
type crontabParser struct {
	file          string
	line          int
	zone          *time.Location
	misfire       MisfirePolicy
	catchUpWindow time.Duration
	timeout       time.Duration

	entries   []Entry
	lineByKey map[string]int // line numbers of the entries
	errs      []error
}

// addError records an error in the current line.
func (p *crontabParser) addError(field string, err error) {
	p.errs = append(p.errs, &ParseError{File: p.file, Line: p.line, Field: field, Err: err})
}

func (p *crontabParser) parseLine(line string) {
	if line == "" || line[0] == '#' {
		return
	}
	if key, value, ok := strings.Cut(line, "="); ok && isVariableName(strings.TrimSpace(key)) {
		key = strings.TrimSpace(key)
		value = strings.Trim(strings.TrimSpace(value), `"'`)
		if err := p.setVariable(key, value); err != nil {
			p.addError(key, fmt.Errorf("%s: %w", key, err))
		}
		return
	}
	p.parseEntry(line)
}

func (p *crontabParser) setVariable(key, value string) (err error) {
	switch key {
	case zoneVariable, zoneVariableShort:
		zone, err := time.LoadLocation(value)
		if err != nil {
			return err
		}
		p.zone = zone
	case misfireVariable:
		p.misfire, err = parseMisfirePolicy(value)
	case catchUpWindowVariable:
		p.catchUpWindow, err = parsePositiveDuration(value)
	case timeoutVariable:
		p.timeout, err = parsePositiveDuration(value)
	default:
		err = fmt.Errorf("unknown variable, want one of %s, %s, %s, %s",
			zoneVariable, misfireVariable, catchUpWindowVariable, timeoutVariable)
	}
	return err
}

func (p *crontabParser) parseEntry(line string) {
	command, data, hasData := splitAtPercent(line)
	fields := strings.Fields(command)
	specFieldCount := 5
	if len(fields) > 0 && strings.HasPrefix(fields[0], "@") {
		specFieldCount = 1
	}
	if len(fields) < specFieldCount+2 || len(fields) > specFieldCount+3 {
		p.addError(lineField, fmt.Errorf("%d fields, want a schedule of %d and TYPE FUNCTION [TENANT] [%%DATA]", len(fields), specFieldCount))
		return
	}
	e := Entry{
		Line:          p.line,
		Spec:          strings.Join(fields[:specFieldCount], " "),
		Zone:          p.zone,
		Class:         fields[specFieldCount],
		Function:      fields[specFieldCount+1],
		Misfire:       p.misfire,
		CatchUpWindow: p.catchUpWindow,
		Timeout:       p.timeout,
	}
	if len(fields) == specFieldCount+3 {
		e.Tenant = fields[specFieldCount+2]
	}
	if hasData {
		e.Data = []byte(data)
	}
	var err error
	if e.schedule, err = parseSpec(fields[0], e.Spec, p.zone); err != nil {
		p.addError(scheduleField, err)
		return
	}
	if first, duplicate := p.lineByKey[e.Key()]; duplicate {
		p.addError(lineField, fmt.Errorf("duplicate of the entry in line %d", first))
		return
	}
	p.lineByKey[e.Key()] = p.line
	p.entries = append(p.entries, e)
}

// parseSpec parses a schedule. It rejects @every and @reboot: they depend on the start time of the client, so that two
// clients with the same crontab would fire in different minutes.
func parseSpec(firstField, spec string, zone *time.Location) (cron.Schedule, error) {
	if descriptor := strings.ToLower(firstField); strings.HasPrefix(descriptor, "@every") || descriptor == "@reboot" {
		return nil, fmt.Errorf("schedule %s depends on the client's start time, so that clients would fire at different times", firstField)
	}
	schedule, err := specParser.Parse(normalizeSunday(spec))
	if err != nil {
		return nil, fmt.Errorf("schedule %q: %w", spec, err)
	}
	if s, ok := schedule.(*cron.SpecSchedule); ok {
		s.Location = zone
	}
	return schedule, nil
}

// normalizeSunday replaces weekday 7 with 0, also at the end of a range. POSIX allows only 0 for Sunday, but many crontabs
// use 7.
func normalizeSunday(spec string) string {
	fields := strings.Fields(spec)
	if len(fields) != 5 {
		return spec
	}
	parts := strings.Split(fields[4], ",")
	for i, part := range parts {
		switch {
		case part == "7":
			parts[i] = "0"
		case strings.HasSuffix(part, "-7"):
			if from, err := strconv.Atoi(strings.TrimSuffix(part, "-7")); err == nil && from < 7 {
				parts[i] = "0," + strconv.Itoa(from) + "-6"
			}
		}
	}
	fields[4] = strings.Join(parts, ",")
	return strings.Join(fields, " ")
}

func parsePositiveDuration(value string) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err == nil && d <= 0 {
		err = fmt.Errorf("%q is not positive", value)
	}
	return d, err
}

// isVariableName reports whether s is an identifier of letters, digits and underscores that does not start with a digit.
func isVariableName(s string) bool {
	for i, r := range s {
		isLetter := r == '_' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z'
		isDigit := r >= '0' && r <= '9'
		if !isLetter && (i == 0 || !isDigit) {
			return false
		}
	}
	return s != ""
}

// splitAtPercent splits a line at its first unescaped % into a command and its data. Further unescaped % become line breaks
// in the data, and \% becomes % in both parts.
func splitAtPercent(line string) (command, data string, found bool) {
	var b strings.Builder
	for i := 0; i < len(line); i++ {
		switch c := line[i]; {
		case c == '\\' && i+1 < len(line) && line[i+1] == '%':
			b.WriteByte('%')
			i++
		case c == '%' && !found:
			command, found = b.String(), true
			b.Reset()
		case c == '%':
			b.WriteByte('\n')
		default:
			b.WriteByte(c)
		}
	}
	if !found {
		return b.String(), "", false
	}
	return command, b.String(), true
}
