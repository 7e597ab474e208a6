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

// Extension attributes that are read.
const (
	attributeFunction = "function"   // function that handles the event
	attributeTenant   = "tenant"     // tenant that the event is accounted to
	attributeExpiry   = "expirytime" // as in the CloudEvents extension of that name
	attributeRetry    = "repeat"     // "true" if the sender retries the event
)

const (
	specVersion        = "1.0"
	specVersionField   = "Ce-Specversion"
	structuredPrefix   = "application/cloudevents"
	structuredJSON     = "application/cloudevents+json"
	attributePrefix    = "Ce-" // of header fields that hold context attributes
	maxReferenceLength = 256   // of a function or tenant name in bytes
)

// contentMode is the content mode of an HTTP request (CloudEvents 1.0, HTTP binding, sections 3.1 and 3.2).
type contentMode uint8

const (
	binaryMode     contentMode = iota // attributes in header fields, data in the body
	structuredMode                    // attributes and data in the body
)

// parseRequest parses an HTTP request with one CloudEvent. Wall is the wall-clock time at which the request was complete.
func parseRequest(m *http1.Message, wall time.Time) (request dispatch.Request, failure *requestError) {
	mode, failure := detectMode(m.Header)
	if failure != nil {
		return request, failure
	}
	if failure := checkAttributeNames(m.Header); failure != nil {
		return request, failure
	}
	event, failure := parseEvent(m, mode)
	if failure != nil {
		return request, failure
	}
	request.Identity = dispatch.Identity{Source: event.Source(), ID: event.ID()}
	request.Class = event.Type()
	extensions := event.Extensions()
	request.Tenant = extensionText(extensions, attributeTenant)
	request.Function = extensionText(extensions, attributeFunction)
	request.Retried = extensionText(extensions, attributeRetry) == "true"
	if failure := checkReferences(&request); failure != nil {
		return request, failure
	}
	request.Timeout, failure = parseTimeout(m.Header, extensionText(extensions, attributeExpiry), wall)
	if failure != nil {
		return request, failure
	}
	request.Body = event.Data()
	request.Fields = binaryFields(event, extensions)
	return request, nil
}

// detectMode returns the content mode of a request. It returns an error for an unsupported format or specification
// version.
func detectMode(header nethttp.Header) (contentMode, *requestError) {
	media, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	media = strings.ToLower(strings.TrimSpace(media))
	if strings.HasPrefix(media, structuredPrefix) {
		if media != structuredJSON {
			return structuredMode, requestErrorf(nethttp.StatusUnsupportedMediaType, problemUnsupportedFormat,
				"content type %q: only application/cloudevents+json is taken in structured mode, one event in a request", media)
		}
		return structuredMode, nil
	}
	switch version := header.Get(specVersionField); version {
	case specVersion:
		return binaryMode, nil
	case "":
		return binaryMode, invalidEventf("attribute specversion: missing (field ce-specversion in binary mode, " +
			"or content type application/cloudevents+json in structured mode)")
	default:
		return binaryMode, invalidEventf("attribute specversion: %q is not 1.0", version)
	}
}

// checkAttributeNames rejects attribute names on which the CloudEvents SDK panics, including the empty one.
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

// parseEvent parses and validates the event in a request.
func parseEvent(m *http1.Message, mode contentMode) (*cloudevents.Event, *requestError) {
	header := m.Header
	if mode == binaryMode {
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
	if version := event.SpecVersion(); version != specVersion {
		return nil, invalidEventf("attribute specversion: %q is not 1.0", version)
	}
	return event, nil
}

// requestBody is the body of a request passed to the CloudEvents SDK.
type requestBody struct{ *bytes.Reader }

// Close does nothing: the message owns the bytes.
func (requestBody) Close() error { return nil }

// validationDetail formats a validation error, with the invalid attributes in alphabetical order.
func validationDetail(err error) string {
	var invalid cloudevents.ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	var list []string
	for attribute, attributeErr := range invalid {
		list = append(list, fmt.Sprintf("attribute %s: %v", attribute, attributeErr))
	}
	slices.Sort(list)
	return strings.Join(list, "; ")
}

// extensionText returns an extension attribute as text, or "" if it is absent.
func extensionText(extensions map[string]any, name string) string {
	if value, ok := extensions[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// checkReferences checks the names of the function and the tenant.
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
