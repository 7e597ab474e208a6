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

// Names of the extension attributes that the gateway reads.
const (
	attributeFunction = "function"   // function that handles the event; required
	attributeTenant   = "tenant"     // tenant to which the event is accounted
	attributeExpiry   = "expirytime" // defined by the CloudEvents extension of that name
	attributeRetry    = "repeat"     // "true" if the event is a retry by its sender
)

const (
	specVersion                = "1.0"
	specVersionField           = "Ce-Specversion"
	cloudEventsMediaTypePrefix = "application/cloudevents"
	structuredJSONMediaType    = "application/cloudevents+json"
	attributePrefix            = "Ce-" // prefix of the header fields that hold context attributes
	maxReferenceLength         = 256   // maximum length of a function or tenant name in bytes
)

// contentMode is the content mode of an HTTP request (CloudEvents 1.0, HTTP binding, sections 3.1 and 3.2).
type contentMode uint8

const (
	binaryMode     contentMode = iota // attributes in header fields, data in the body
	structuredMode                    // attributes and data in the body
)

// parseRequest parses an HTTP request with one CloudEvent. The parameter wallTime is the wall-clock time at which the request
// was complete.
func parseRequest(m *http1.Message, wallTime time.Time) (request dispatch.Request, requestErr *requestError) {
	mode, requestErr := detectMode(m.Header)
	if requestErr != nil {
		return request, requestErr
	}
	if requestErr := checkAttributeNames(m.Header); requestErr != nil {
		return request, requestErr
	}
	event, requestErr := parseEvent(m, mode)
	if requestErr != nil {
		return request, requestErr
	}
	request.Identity = dispatch.Identity{Source: event.Source(), ID: event.ID()}
	request.Class = event.Type()
	extensions := event.Extensions()
	request.Tenant = extensionText(extensions, attributeTenant)
	request.Function = extensionText(extensions, attributeFunction)
	request.Retried = extensionText(extensions, attributeRetry) == "true"
	if requestErr := checkReferences(&request); requestErr != nil {
		return request, requestErr
	}
	request.Timeout, requestErr = parseTimeout(m.Header, extensionText(extensions, attributeExpiry), wallTime)
	if requestErr != nil {
		return request, requestErr
	}
	request.Body = event.Data()
	request.Fields = binaryFields(event, extensions)
	return request, nil
}

// detectMode returns the content mode of a request, or an error if its event format or specification version is not
// supported.
func detectMode(header nethttp.Header) (contentMode, *requestError) {
	media, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	media = strings.ToLower(strings.TrimSpace(media))
	if strings.HasPrefix(media, cloudEventsMediaTypePrefix) {
		if media != structuredJSONMediaType {
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

// checkAttributeNames rejects attribute names that make the CloudEvents SDK panic, including the empty name.
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

// requestBody is the request body that is passed to the CloudEvents SDK.
type requestBody struct{ *bytes.Reader }

// Close does nothing, since the message owns the bytes.
func (requestBody) Close() error { return nil }

// validationDetail formats a validation error, with the invalid attributes sorted by name.
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

// checkReferences validates the function and tenant of a request.
func checkReferences(request *dispatch.Request) *requestError {
	if request.Function == "" {
		return invalidEventf("attribute function: missing; it names the function that runs the event")
	}
	for _, name := range []string{request.Function, request.Tenant} {
		if len(name) > maxReferenceLength || strings.ContainsFunc(name, isSpaceOrControl) {
			return invalidEventf("attribute function or tenant: %.40q is over 256 bytes or holds blanks", name)
		}
	}
	return nil
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }
