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

// Fields that a ParseError may name beside the variables.
const (
	scheduleField = "schedule"
	lineField     = "line" // the line as a whole
)

const (
	defaultCatchUpWindow = time.Hour
	maxLineBytes         = 1 << 20
)

// ParseError is one fault of a crontab.
type ParseError struct {
	File  string
	Line  int
	Field string // a variable's name, "schedule" or "line"
	Err   error
}

// Error names the file, the line and the fault.
func (e *ParseError) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns the fault.
func (e *ParseError) Unwrap() error { return e.Err }

// specParser takes the five fields of POSIX crontab with names, steps and the @ words that stand for five fields.
var specParser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

// Parse reads a crontab: lines "minute hour day month weekday TYPE FUNCTION [TENANT] [%DATA]", or an @ word in
// place of the five fields; # begins a comment line; NAME=VALUE lines bind for the lines after them: CRON_TZ (time
// zone, UTC at first), MISFIRE (skip, once, all; skip at first), MISFIRE_WITHIN and WAIT (durations). As in POSIX
// the first unescaped % ends the command and begins its input, further ones are line ends, \% is a plain one. All
// faults are reported, each as a ParseError.
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
		p.fail(lineField, err)
	}
	return p.entries, errors.Join(p.faults...)
}

// crontabParser has the variables in force for the next line, and what was read before it.
type crontabParser struct {
	file          string
	line          int
	zone          *time.Location
	misfire       MisfirePolicy
	catchUpWindow time.Duration
	timeout       time.Duration

	entries   []Entry
	lineByKey map[string]int // of the entries
	faults    []error
}

func (p *crontabParser) fail(field string, err error) {
	p.faults = append(p.faults, &ParseError{File: p.file, Line: p.line, Field: field, Err: err})
}

func (p *crontabParser) parseLine(line string) {
	if line == "" || line[0] == '#' {
		return
	}
	if key, value, ok := strings.Cut(line, "="); ok && isVariableName(strings.TrimSpace(key)) {
		key = strings.TrimSpace(key)
		value = strings.Trim(strings.TrimSpace(value), `"'`)
		if err := p.setVariable(key, value); err != nil {
			p.fail(key, fmt.Errorf("%s: %w", key, err))
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
		err = fmt.Errorf("not a setting of this crontab (%s, %s, %s, %s)",
			zoneVariable, misfireVariable, catchUpWindowVariable, timeoutVariable)
	}
	return err
}

func (p *crontabParser) parseEntry(line string) {
	command, data, hasData := cutPercent(line)
	words := strings.Fields(command)
	specWords := 5
	if len(words) > 0 && strings.HasPrefix(words[0], "@") {
		specWords = 1
	}
	if len(words) < specWords+2 || len(words) > specWords+3 {
		p.fail(lineField, fmt.Errorf("%d words, not a schedule of %d and TYPE FUNCTION [TENANT] [%%DATA]", len(words), specWords))
		return
	}
	e := Entry{
		Line:          p.line,
		Spec:          strings.Join(words[:specWords], " "),
		Zone:          p.zone,
		Class:         words[specWords],
		Function:      words[specWords+1],
		Misfire:       p.misfire,
		CatchUpWindow: p.catchUpWindow,
		Timeout:       p.timeout,
	}
	if len(words) == specWords+3 {
		e.Tenant = words[specWords+2]
	}
	if hasData {
		e.Data = []byte(data)
	}
	var err error
	if e.schedule, err = parseSpec(words[0], e.Spec, p.zone); err != nil {
		p.fail(scheduleField, err)
		return
	}
	if first, duplicate := p.lineByKey[e.Key()]; duplicate {
		p.fail(lineField, fmt.Errorf("the same entry as line %d", first))
		return
	}
	p.lineByKey[e.Key()] = p.line
	p.entries = append(p.entries, e)
}

// parseSpec reads a schedule. @every and @reboot are rejected: they depend on when a client started, so that two
// clients would not agree.
func parseSpec(firstWord, spec string, zone *time.Location) (cron.Schedule, error) {
	if w := strings.ToLower(firstWord); strings.HasPrefix(w, "@every") || w == "@reboot" {
		return nil, fmt.Errorf("schedule %s depends on when a client started; two clients would not agree on it", firstWord)
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

// normalizeSunday writes weekday 7 as 0: POSIX knows 0 only, but crontabs in use have both.
func normalizeSunday(spec string) string {
	words := strings.Fields(spec)
	if len(words) != 5 {
		return spec
	}
	parts := strings.Split(words[4], ",")
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
	words[4] = strings.Join(parts, ",")
	return strings.Join(words, " ")
}

func parsePositiveDuration(value string) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err == nil && d <= 0 {
		err = fmt.Errorf("%q is not above 0", value)
	}
	return d, err
}

// isVariableName reports whether s is a name as in C: letters, digits and _, no digit in front.
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

// cutPercent cuts a line at its first unescaped %; in the data behind it further ones become line ends.
func cutPercent(line string) (command, data string, found bool) {
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
