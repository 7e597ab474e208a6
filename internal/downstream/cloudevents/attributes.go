package cloudevents

import (
	"fmt"
	"maps"
	nethttp "net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	cloudevents "github.com/cloudevents/sdk-go/v2/event"

	"streamcleat/internal/dispatch"
)

// binaryFields returns the context attributes of an event as the header fields of binary mode, in a fixed order.
func binaryFields(event *cloudevents.Event, extensions map[string]any) []dispatch.Field {
	fields := []dispatch.Field{
		{Name: "ce-specversion", Value: specVersion},
		{Name: "ce-source", Value: encodeAttribute(event.Source())},
		{Name: "ce-id", Value: encodeAttribute(event.ID())},
		{Name: "ce-type", Value: encodeAttribute(event.Type())},
	}
	if v := event.Subject(); v != "" {
		fields = append(fields, dispatch.Field{Name: "ce-subject", Value: encodeAttribute(v)})
	}
	if v := event.Time(); !v.IsZero() {
		fields = append(fields, dispatch.Field{Name: "ce-time", Value: v.Format(time.RFC3339Nano)})
	}
	if v := event.DataSchema(); v != "" {
		fields = append(fields, dispatch.Field{Name: "ce-dataschema", Value: encodeAttribute(v)})
	}
	if v := event.DataContentType(); v != "" {
		fields = append(fields, dispatch.Field{Name: "Content-Type", Value: encodeAttribute(v)})
	}
	names := slices.AppendSeq(make([]string, 0, len(extensions)), maps.Keys(extensions))
	slices.Sort(names)
	for _, name := range names {
		fields = append(fields, dispatch.Field{Name: "ce-" + name, Value: encodeAttribute(fmt.Sprint(extensions[name]))})
	}
	return fields
}

// quotedStringUnescaper removes the backslash escapes from the content of a quoted string.
var quotedStringUnescaper = strings.NewReplacer(`\\`, `\`, `\"`, `"`)

// decodeAttributes decodes the values of ce- fields (HTTP binding, section 3.1.3.2): it removes double quotes, then
// percent-decodes once, neither of which the CloudEvents SDK does. Values with invalid percent encoding are not
// percent-decoded.
func decodeAttributes(header nethttp.Header) nethttp.Header {
	decoded := make(nethttp.Header, len(header))
	for name, values := range header {
		if strings.HasPrefix(name, attributePrefix) && len(values) > 0 {
			values = []string{decodeAttribute(values[0])}
		}
		decoded[name] = values
	}
	return decoded
}

func decodeAttribute(value string) string {
	if len(value) >= 2 && value[0] == '"' && value[len(value)-1] == '"' {
		value = quotedStringUnescaper.Replace(value[1 : len(value)-1])
	}
	if !strings.Contains(value, "%") {
		return value
	}
	decoded, err := url.PathUnescape(value)
	if err != nil {
		return value
	}
	return decoded
}

// encodeAttribute percent-encodes the characters that a field value must not contain (HTTP binding, section 3.1.3.2), which
// also prevents an attribute from injecting header fields.
func encodeAttribute(value string) string {
	for i := range len(value) {
		if !isFieldChar(value[i]) {
			return percentEncode(value)
		}
	}
	return value
}

func percentEncode(value string) string {
	var b strings.Builder
	for i := range len(value) {
		if isFieldChar(value[i]) {
			b.WriteByte(value[i])
		} else {
			fmt.Fprintf(&b, "%%%02X", value[i])
		}
	}
	return b.String()
}

// isFieldChar reports whether a byte is sent without percent encoding.
func isFieldChar(c byte) bool { return c > ' ' && c < 0x7f && c != '"' && c != '%' }
