package simadapter

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"streamcleat/control"
)

// fault is what a line that can't be understood ends the program with.
type fault struct {
	line  int
	field string
	why   string
}

func (f fault) Error() string {
	if f.field == "" {
		return fmt.Sprintf("line %d: %s", f.line, f.why)
	}
	return fmt.Sprintf("line %d: field %s: %s", f.line, f.field, f.why)
}

// line is one line of input, split into its name and its fields.
type line struct {
	no     int
	name   string
	fields [][2]string
}

// textField names, by message, the field that runs on to the end of the line.
var textField = map[string]string{"CREATE": "Conf"}

func (l *line) parse(no int, text string) {
	l.no, l.fields = no, l.fields[:0]
	name, rest, _ := strings.Cut(text, " ")
	if l.name = name; l.name == "" {
		panic(fault{no, "", "no message name"})
	}
	whole := textField[l.name]
	for rest != "" {
		key, value, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			panic(fault{no, key, "not a name=value pair"})
		}
		if whole != "" && key == whole {
			rest = ""
		} else {
			value, rest, _ = strings.Cut(value, " ")
		}
		l.fields = append(l.fields, [2]string{key, value})
	}
}

func (l *line) get(field string) (string, bool) {
	for i := range l.fields {
		if l.fields[i][0] == field {
			return l.fields[i][1], true
		}
	}
	return "", false
}

func (l *line) text(field string) string {
	v, _ := l.get(field)
	return v
}

func (l *line) need(field string) string {
	v, ok := l.get(field)
	if !ok || v == "" {
		panic(fault{l.no, field, "missing"})
	}
	return v
}

func (l *line) number(field string) float64 {
	v, ok := l.get(field)
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		panic(fault{l.no, field, "not a number: " + v})
	}
	return n
}

func (l *line) seconds(field string) float64 { return l.number(field) / 1000 }

func (l *line) whole(field string) int {
	v, ok := l.get(field)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		panic(fault{l.no, field, "not a whole number: " + v})
	}
	return n
}

func (l *line) mark(field string) uint64 {
	n, err := strconv.ParseUint(l.need(field), 10, 64)
	if err != nil {
		panic(fault{l.no, field, "not a whole number: " + l.text(field)})
	}
	return n
}

func (l *line) flag(field string) bool {
	switch v := l.text(field); v {
	case "", "0":
		return false
	case "1":
		return true
	default:
		panic(fault{l.no, field, "neither 0 nor 1: " + v})
	}
}

func pick[T any](l *line, field string, words map[string]T) T {
	v, ok := words[l.need(field)]
	if !ok {
		panic(fault{l.no, field, "unknown word: " + l.text(field)})
	}
	return v
}

var results = map[string]control.Outcome{
	"delivered": control.Succeeded, "app_error": control.Failed, "shed": control.Rejected,
	"expired": control.TimedOut, "dial_failed": control.Unreachable, "dropped": control.ConnectionLost,
	"revoked": control.Cancelled, "unused": control.NotSent, "empty": control.ReplicaMissing,
}

var phases = map[string]control.EndpointState{
	"SERVING": control.Serving, "DRAINING": control.Draining, "DELETED": control.Gone,
}

func (l *line) report(field string) (r control.LoadReport) {
	rest := l.text(field)
	for rest != "" && rest != "-" {
		var pair string
		pair, rest, _ = strings.Cut(rest, ",")
		name, value, ok := strings.Cut(pair, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			panic(fault{l.no, field, "not a name:number pair: " + pair})
		}
		switch name {
		case "rif":
			r.Running, r.Known = n, true
		case "q":
			r.Waiting, r.Known = n, true
		}
	}
	return r
}
