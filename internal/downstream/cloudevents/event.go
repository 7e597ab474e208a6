package cloudevents

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	nethttp "net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	cloudevents "github.com/cloudevents/sdk-go/v2/event"
	cehttp "github.com/cloudevents/sdk-go/v2/protocol/http"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

// Extension attributes that are read. expirytime is the documented extension of that name; the others state what runs
// the event, whose it is, and that its sender repeats it.
const (
	attributeFunction = "function"
	attributeTenant   = "tenant"
	attributeExpiry   = "expirytime"
	attributeRepeat   = "repeat"
)

const (
	specVersion        = "1.0"
	specVersionField   = "Ce-Specversion"
	structuredPrefix   = "application/cloudevents"
	structuredJSON     = "application/cloudevents+json"
	attributePrefix    = "Ce-" // of a field that holds a context attribute
	maxReferenceLength = 256   // bytes of a function or tenant
)

// readEvent reads a request as one CloudEvent in binary or structured mode (CloudEvents 1.0, HTTP binding 3.1 and 3.2).
// wall is the time at which the request was complete.
func readEvent(m *http1.Message, wall time.Time) (request dispatch.Request, failure *requestError) {
	structured, failure := isStructured(m.Header)
	if failure != nil {
		return request, failure
	}
	if failure := checkAttributeNames(m.Header); failure != nil {
		return request, failure
	}
	event, failure := parseEvent(m, structured)
	if failure != nil {
		return request, failure
	}
	request.Identity = dispatch.Identity{Source: event.Source(), ID: event.ID()}
	request.Class = event.Type()
	extensions := event.Extensions()
	request.Tenant = extensionText(extensions, attributeTenant)
	request.Function = extensionText(extensions, attributeFunction)
	request.Retried = extensionText(extensions, attributeRepeat) == "true"
	if failure := checkReferences(&request); failure != nil {
		return request, failure
	}
	request.Timeout, failure = readTimeout(m.Header, extensionText(extensions, attributeExpiry), wall)
	if failure != nil {
		return request, failure
	}
	request.Body = event.Data()
	request.Fields = binaryFields(event, extensions)
	return request, nil
}

// isStructured reports whether the event is in structured mode; otherwise it is in binary mode and of the right version.
func isStructured(header nethttp.Header) (bool, *requestError) {
	media, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	media = strings.ToLower(strings.TrimSpace(media))
	if strings.HasPrefix(media, structuredPrefix) {
		if media != structuredJSON {
			return true, requestErrorf(nethttp.StatusUnsupportedMediaType, problemUnsupportedFormat,
				"content type %q: only application/cloudevents+json is taken in structured mode, one event in a request", media)
		}
		return true, nil
	}
	switch version := header.Get(specVersionField); version {
	case specVersion:
		return false, nil
	case "":
		return false, invalidEventf("attribute specversion: missing (field ce-specversion in binary mode, " +
			"or content type application/cloudevents+json in structured mode)")
	default:
		return false, invalidEventf("attribute specversion: %q is not 1.0", version)
	}
}

// checkAttributeNames refuses names that the CloudEvents library panics at, the empty one among them.
func checkAttributeNames(header nethttp.Header) *requestError {
	for _, name := range slices.Sorted(maps.Keys(header)) {
		attribute, ok := strings.CutPrefix(name, attributePrefix)
		if ok && (attribute == "" || strings.ContainsFunc(attribute, isNotAlphanumeric)) {
			return invalidEventf("field %.40q: an attribute's name is of letters and digits", name)
		}
	}
	return nil
}

func isNotAlphanumeric(r rune) bool {
	isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	isDigit := r >= '0' && r <= '9'
	return !isLetter && !isDigit
}

func parseEvent(m *http1.Message, structured bool) (*cloudevents.Event, *requestError) {
	header := m.Header
	if !structured {
		header = decodeAttributes(m.Header)
	}
	event, err := cehttp.NewEventFromHTTPRequest(&nethttp.Request{
		Method: m.Method, Header: header,
		URL: &url.URL{Path: m.Target}, Body: requestBody{bytes.NewReader(m.Body)}, ContentLength: int64(len(m.Body)),
	})
	if err != nil {
		return nil, invalidEventf("not a CloudEvent: %s", err)
	}
	if err := event.Validate(); err != nil {
		return nil, invalidEventf("%s", validationDetail(err))
	}
	return event, nil
}

// requestBody is the body of a request to the CloudEvents library.
type requestBody struct{ *bytes.Reader }

// Close does nothing; the bytes are the message's own.
func (requestBody) Close() error { return nil }

// validationDetail turns a validation error into a text that begins with the attribute at fault.
func validationDetail(err error) string {
	var faults cloudevents.ValidationError
	if !errors.As(err, &faults) {
		return err.Error()
	}
	var list []string
	for attribute, fault := range faults {
		list = append(list, fmt.Sprintf("attribute %s: %v", attribute, fault))
	}
	slices.Sort(list)
	return strings.Join(list, "; ")
}

func extensionText(extensions map[string]any, name string) string {
	if value, ok := extensions[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// checkReferences checks the names of the function and of the tenant.
func checkReferences(request *dispatch.Request) *requestError {
	if request.Function == "" {
		return invalidEventf("attribute function: missing; it names the function that runs the event")
	}
	for _, name := range []string{request.Function, request.Tenant} {
		if len(name) > maxReferenceLength || strings.ContainsFunc(name, isBlank) {
			return invalidEventf("attribute function or tenant: %.40q is over 256 bytes or holds blanks", name)
		}
	}
	return nil
}

func isBlank(r rune) bool { return r <= ' ' || r == 0x7f }
