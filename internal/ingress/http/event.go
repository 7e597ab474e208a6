package http

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	nethttp "net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	cloudevents "github.com/cloudevents/sdk-go/v2/event"
	cehttp "github.com/cloudevents/sdk-go/v2/protocol/http"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

// Extension attributes that the front reads. expirytime is the documented extension of that name; the other two
// tell what runs the event and whose it is.
const (
	attrFunction = "function"
	attrTenant   = "tenant"
	attrExpiry   = "expirytime"
	attrRepeat   = "repeat"
)

// fault is a request that can't be taken, with the status and problem type that tell why.
type fault struct {
	status int
	kind   string
	detail string
}

// readEvent understands a request as one CloudEvent in binary or structured mode (CloudEvents 1.0, HTTP binding
// 3.1 and 3.2). wall is the time at which the request was whole.
func readEvent(m *http1.Message, wall time.Time) (dispatch.Request, *fault) {
	var ask dispatch.Request
	media, _, _ := strings.Cut(m.Header.Get("Content-Type"), ";")
	media = strings.ToLower(strings.TrimSpace(media))
	structured := strings.HasPrefix(media, "application/cloudevents")
	if structured && media != "application/cloudevents+json" {
		return ask, &fault{415, "unsupported-format", fmt.Sprintf("content type %q: only application/cloudevents+json "+
			"is taken in structured mode, one event in a request", media)}
	}
	if !structured && m.Header.Get("Ce-Specversion") == "" {
		return ask, &fault{400, "invalid-event", "attribute specversion: missing (field ce-specversion in binary mode, " +
			"or content type application/cloudevents+json in structured mode)"}
	}
	if v := m.Header.Get("Ce-Specversion"); !structured && v != "1.0" {
		return ask, &fault{400, "invalid-event", fmt.Sprintf("attribute specversion: %q is not 1.0", v)}
	}
	header := m.Header
	for _, name := range slices.Sorted(maps.Keys(m.Header)) { // the library panics at an empty name
		attribute, is := strings.CutPrefix(name, "Ce-")
		if is && (attribute == "" || strings.ContainsFunc(attribute, func(r rune) bool {
			return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9')
		})) {
			return ask, &fault{400, "invalid-event", fmt.Sprintf("field %.40q: an attribute's name is of letters and digits", name)}
		}
	}
	if !structured {
		header = unquoted(m.Header)
	}
	e, err := cehttp.NewEventFromHTTPRequest(&nethttp.Request{Method: m.Method, Header: header,
		URL: &url.URL{Path: m.Target}, Body: content{bytes.NewReader(m.Body)}, ContentLength: int64(len(m.Body))})
	if err != nil {
		return ask, &fault{400, "invalid-event", "not a CloudEvent: " + err.Error()}
	}
	if err := e.Validate(); err != nil {
		return ask, &fault{400, "invalid-event", named(err)}
	}
	ask.Identity = dispatch.Identity{Source: e.Source(), ID: e.ID()}
	ask.Class = e.Type()
	extensions := e.Extensions()
	text := func(name string) string {
		if v, ok := extensions[name]; ok {
			return fmt.Sprint(v)
		}
		return ""
	}
	ask.Tenant, ask.Function = text(attrTenant), text(attrFunction)
	ask.Retried = text(attrRepeat) == "true"
	if ask.Function == "" {
		return ask, &fault{400, "invalid-event", "attribute function: missing; it names the function that runs the event"}
	}
	for _, v := range []string{ask.Function, ask.Tenant} {
		if len(v) > 256 || strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
			return ask, &fault{400, "invalid-event", fmt.Sprintf("attribute function or tenant: %.40q is over 256 bytes or "+
				"holds blanks", v)}
		}
	}
	wait, f := patience(m, text(attrExpiry), wall)
	if f != nil {
		return ask, f
	}
	ask.Timeout = wait
	ask.Body = e.Data()
	ask.Fields = binary(e, extensions)
	return ask, nil
}

// patience is how long the client waits, in seconds: the lesser of what Prefer: wait (RFC 7240) and the attribute
// expirytime tell, 0 where neither does, and below 0 where that time is past.
func patience(m *http1.Message, expiry string, wall time.Time) (float64, *fault) {
	wait := 0.0
	for _, line := range m.Header.Values("Prefer") {
		for _, pref := range strings.Split(line, ",") {
			name, value, _ := strings.Cut(pref, "=")
			if strings.EqualFold(strings.TrimSpace(name), "wait") {
				value, _, _ = strings.Cut(value, ";")
				n, err := strconv.ParseFloat(strings.Trim(strings.TrimSpace(value), `"`), 64)
				if err != nil || n < 0 || n > 1e6 {
					return 0, &fault{400, "invalid-preference", fmt.Sprintf("Prefer: wait=%.20q is not a number of seconds", value)}
				}
				if wait = n; n == 0 {
					wait = -1
				}
			}
		}
	}
	if expiry == "" {
		return wait, nil
	}
	at, err := time.Parse(time.RFC3339Nano, expiry)
	if err != nil {
		return 0, &fault{400, "invalid-event", fmt.Sprintf("attribute expirytime: %.40q is not an RFC 3339 time", expiry)}
	}
	left := at.Sub(wall).Seconds()
	if left <= 0 {
		left = -1
	}
	if wait == 0 || left < wait {
		wait = left
	}
	return wait, nil
}

// named turns a validation error into words that begin with the attribute at fault.
func named(err error) string {
	var faults cloudevents.ValidationError
	if !errors.As(err, &faults) {
		return err.Error()
	}
	var list []string
	for attribute, why := range faults {
		list = append(list, fmt.Sprintf("attribute %s: %v", attribute, why))
	}
	sort.Strings(list)
	return strings.Join(list, "; ")
}

// binary writes an event's context attributes as ce- fields, in a fixed order, whichever mode it came in.
func binary(e *cloudevents.Event, extensions map[string]any) []dispatch.Field {
	fields := []dispatch.Field{{Name: "ce-specversion", Value: "1.0"}, {Name: "ce-source", Value: quote(e.Source())},
		{Name: "ce-id", Value: quote(e.ID())}, {Name: "ce-type", Value: quote(e.Type())}}
	if v := e.Subject(); v != "" {
		fields = append(fields, dispatch.Field{Name: "ce-subject", Value: quote(v)})
	}
	if v := e.Time(); !v.IsZero() {
		fields = append(fields, dispatch.Field{Name: "ce-time", Value: v.Format(time.RFC3339Nano)})
	}
	if v := e.DataSchema(); v != "" {
		fields = append(fields, dispatch.Field{Name: "ce-dataschema", Value: quote(v)})
	}
	if v := e.DataContentType(); v != "" {
		fields = append(fields, dispatch.Field{Name: "Content-Type", Value: quote(v)})
	}
	names := make([]string, 0, len(extensions))
	for name := range extensions {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fields = append(fields, dispatch.Field{Name: "ce-" + name, Value: quote(fmt.Sprint(extensions[name]))})
	}
	return fields
}

// unquoted decodes the values of ce- fields (HTTP binding 3.1.3.2): double quotes first, then one round of percent
// decoding. The library leaves both to its caller. What is no percent encoding stays as it is.
func unquoted(header nethttp.Header) nethttp.Header {
	out := make(nethttp.Header, len(header))
	for name, values := range header {
		if strings.HasPrefix(name, "Ce-") && len(values) > 0 {
			v := values[0]
			if len(v) >= 2 && v[0] == '"' && v[len(v)-1] == '"' {
				v = strings.NewReplacer(`\\`, `\`, `\"`, `"`).Replace(v[1 : len(v)-1])
			}
			if strings.Contains(v, "%") {
				if plain, err := url.PathUnescape(v); err == nil {
					v = plain
				}
			}
			values = []string{v}
		}
		out[name] = values
	}
	return out
}

// quote percent-encodes what a field value may not hold (HTTP binding 3.1.3.2), so that nothing in an attribute
// can end the field.
func quote(v string) string {
	plain := func(b byte) bool { return b > ' ' && b < 0x7f && b != '"' && b != '%' }
	for i := 0; i < len(v); i++ {
		if !plain(v[i]) {
			var b strings.Builder
			for j := 0; j < len(v); j++ {
				if plain(v[j]) {
					b.WriteByte(v[j])
				} else {
					fmt.Fprintf(&b, "%%%02X", v[j])
				}
			}
			return b.String()
		}
	}
	return v
}

type content struct{ *bytes.Reader }

func (content) Close() error { return nil }
