// Package schedule is the cron-style timer source: it reads crontabs, plans firings and names each by its entry and
// the minute it was due. Plans have no clock of their own; whoever calls them brings the time of day.
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

// MisfirePolicy is what becomes of firings whose time passed while nobody could fire them.
type MisfirePolicy uint8

const (
	MisfireSkip MisfirePolicy = iota // they are let go
	MisfireOnce                      // the newest one is made up for
	MisfireAll                       // all of them are, within a bound
)

var misfires = map[string]MisfirePolicy{"skip": MisfireSkip, "once": MisfireOnce, "all": MisfireAll}

// Entry is one line of a crontab.
type Entry struct {
	Line          int
	Spec          string // the schedule as it was written
	Zone          *time.Location
	Class         string // event type
	Function      string
	Tenant        string
	Data          []byte
	Misfire       MisfirePolicy
	CatchUpWindow time.Duration // how far back All and Once make up for
	Timeout       time.Duration // how long the client waits for an answer; 0: the event type's max age
	schedule      cron.Schedule
}

// Key names an entry; two clients with the same crontab name it alike.
func (e *Entry) Key() string {
	key := strings.ReplaceAll(strings.Join(strings.Fields(e.Spec), "_"), "/", "~") + "/" + e.Class + "/" + e.Function
	if e.Tenant != "" {
		key += "@" + e.Tenant
	}
	if e.Zone != time.UTC {
		key = e.Zone.String() + ":" + key
	}
	return key
}

// The schedule is the five fields of POSIX crontab with names, steps and the @ words that stand for five fields.
// @every and @reboot are turned away: they depend on when a client started, so that two clients would not agree.
var parser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

// Parse reads a crontab: lines "minute hour day month weekday TYPE FUNCTION [TENANT] [%DATA]", or an @ word in
// place of the five fields; # begins a comment line; NAME=VALUE lines bind for the lines after them: CRON_TZ (time
// zone, UTC at first), MISFIRE (skip, once, all; skip at first), MISFIRE_WITHIN and WAIT (durations). As in POSIX
// the first unescaped % ends the command and begins its input, further ones are line ends, \% is a plain one. All
// faults are reported, each with its line.
func Parse(r io.Reader, name string) ([]Entry, error) {
	var entries []Entry
	var faults []error
	zone, misfire, within, wait := time.UTC, MisfireSkip, time.Hour, time.Duration(0)
	keys := map[string]int{}
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, 1<<20)
	no := 0
	for scan.Scan() {
		no++
		fault := func(format string, args ...any) {
			faults = append(faults, fmt.Errorf("%s:%d: %s", name, no, fmt.Sprintf(format, args...)))
		}
		line := strings.TrimSpace(scan.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		if key, value, ok := strings.Cut(line, "="); ok && plainName(strings.TrimSpace(key)) {
			value = strings.Trim(strings.TrimSpace(value), `"'`)
			var err error
			switch strings.TrimSpace(key) {
			case "CRON_TZ", "TZ":
				var z *time.Location
				if z, err = time.LoadLocation(value); err == nil {
					zone = z
				}
			case "MISFIRE":
				m, known := misfires[value]
				if !known {
					err = fmt.Errorf("%q is none of skip, once, all", value)
				}
				misfire = m
			case "MISFIRE_WITHIN":
				within, err = positive(value)
			case "WAIT":
				wait, err = positive(value)
			default:
				err = errors.New("not a setting of this crontab (CRON_TZ, MISFIRE, MISFIRE_WITHIN, WAIT)")
			}
			if err != nil {
				fault("%s: %v", strings.TrimSpace(key), err)
			}
			continue
		}
		command, data, hasData := cutPercent(line)
		words := strings.Fields(command)
		fields := 5
		if strings.HasPrefix(words[0], "@") {
			fields = 1
		}
		if len(words) < fields+2 || len(words) > fields+3 {
			fault("%d words, not a schedule of %d and TYPE FUNCTION [TENANT] [%%DATA]", len(words), fields)
			continue
		}
		e := Entry{Line: no, Spec: strings.Join(words[:fields], " "), Zone: zone, Class: words[fields],
			Function: words[fields+1], Misfire: misfire, CatchUpWindow: within, Timeout: wait}
		if len(words) == fields+3 {
			e.Tenant = words[fields+2]
		}
		if hasData {
			e.Data = []byte(data)
		}
		if w := strings.ToLower(words[0]); strings.HasPrefix(w, "@every") || w == "@reboot" {
			fault("schedule %s depends on when a client started; two clients would not agree on it", words[0])
			continue
		}
		schedule, err := parser.Parse(sundays(e.Spec))
		if err != nil {
			fault("schedule %q: %v", e.Spec, err)
			continue
		}
		if s, ok := schedule.(*cron.SpecSchedule); ok {
			s.Location = zone
		}
		e.schedule = schedule
		if first, twice := keys[e.Key()]; twice {
			fault("the same entry as line %d", first)
			continue
		}
		keys[e.Key()] = no
		entries = append(entries, e)
	}
	if err := scan.Err(); err != nil {
		faults = append(faults, fmt.Errorf("%s:%d: %w", name, no+1, err))
	}
	return entries, errors.Join(faults...)
}

// sundays writes weekday 7 as 0: POSIX knows 0 only, but crontabs in use have both.
func sundays(spec string) string {
	words := strings.Fields(spec)
	if len(words) != 5 {
		return spec
	}
	parts := strings.Split(words[4], ",")
	for i, p := range parts {
		switch {
		case p == "7":
			parts[i] = "0"
		case strings.HasSuffix(p, "-7"):
			if from, err := strconv.Atoi(strings.TrimSuffix(p, "-7")); err == nil && from < 7 {
				parts[i] = "0," + strconv.Itoa(from) + "-6"
			}
		}
	}
	words[4] = strings.Join(parts, ",")
	return strings.Join(words, " ")
}

func positive(value string) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err == nil && d <= 0 {
		err = fmt.Errorf("%q is not above 0", value)
	}
	return d, err
}

func plainName(s string) bool {
	for i, r := range s {
		if !(r == '_' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z' || i > 0 && r >= '0' && r <= '9') {
			return false
		}
	}
	return s != ""
}

func cutPercent(line string) (command, data string, ok bool) {
	var b strings.Builder
	for i := 0; i < len(line); i++ {
		switch c := line[i]; {
		case c == '\\' && i+1 < len(line) && line[i+1] == '%':
			b.WriteByte('%')
			i++
		case c == '%' && !ok:
			command, ok = b.String(), true
			b.Reset()
		case c == '%':
			b.WriteByte('\n')
		default:
			b.WriteByte(c)
		}
	}
	if !ok {
		return b.String(), "", false
	}
	return command, b.String(), true
}
