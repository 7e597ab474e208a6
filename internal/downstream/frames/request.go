package frames

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"streamcleat/internal/dispatch"
)

// Names of a request's fields.
const (
	fieldClass    = "kind"
	fieldID       = "req"
	fieldTimeout  = "timeout" // milliseconds
	fieldTenant   = "owner"
	fieldFunction = "subject"
	fieldWork     = "ms"   // expected work in milliseconds
	fieldProfile  = "more" // name:value;name:value

	// IdempotencyKeyField names the idempotency key, by which workers know repeats of a request.
	IdempotencyKeyField = "opkey"
)

// Names of figures in the profile field.
const (
	profileMemory      = "memory_mb"
	profileConcurrency = "lanes"
	profileLoadTime    = "load_ms"
)

const (
	maxKey       = 256  // bytes of an idempotency key
	milliseconds = 1e-3 // of a second
	// timeoutTolerance is by how much a timeout may exceed that of its class, for what a client rounds.
	timeoutTolerance = 1.001
)

// fieldError is the fault of a request that names the field. Its text is sent to the client.
type fieldError struct{ field, problem string }

func (e *fieldError) Error() string { return e.field + ": " + e.problem }

func fieldErrorf(field, format string, args ...any) error {
	return &fieldError{field: field, problem: fmt.Sprintf(format, args...)}
}

// parseRequest reads the payload of a request frame. Its error names the first field at fault: in the payload's order
// where the field by itself is malformed, and else in the order of validate.
func (l *Limits) parseRequest(payload []byte) (request dispatch.Request, err error) {
	fields, body, err := parseFields(payload)
	if err != nil {
		return request, fmt.Errorf("request: %w", err)
	}
	if len(body) > MaxBody {
		return request, fieldErrorf("body", "over %d bytes", MaxBody)
	}
	for _, f := range fields {
		if err := l.setField(&request, f); err != nil {
			return request, err
		}
	}
	if err := l.validate(&request); err != nil {
		return request, err
	}
	request.StatedProfile.Concurrency = max(request.StatedProfile.Concurrency, 1)
	request.RejectDuplicates = true
	request.Body = bytes.Clone(body)
	return request, nil
}

// setField takes one field into the request. Unknown fields are ignored.
func (l *Limits) setField(request *dispatch.Request, f Field) (err error) {
	switch f.Name {
	case fieldClass:
		request.Class = f.Value
	case fieldID:
		request.ID = f.Value
	case fieldTimeout:
		request.Timeout, err = parseNumber(f.Name, f.Value, milliseconds)
	case fieldTenant:
		request.Tenant = f.Value
	case fieldFunction:
		request.Function = f.Value
	case fieldWork:
		request.ExpectedWork, err = parseNumber(f.Name, f.Value, milliseconds)
	case fieldProfile:
		request.StatedProfile, err = l.parseProfile(f.Value)
	case IdempotencyKeyField: // it goes on to workers as it is
		if !isKey(f.Value) {
			return fieldErrorf(f.Name, "%.40q is not a key of up to %d characters without comma, equals sign and spaces", f.Value, maxKey)
		}
		request.Fields = []dispatch.Field{{Name: f.Name, Value: f.Value}}
	}
	return err
}

// validate checks a request against the deployment.
func (l *Limits) validate(request *dispatch.Request) error {
	maxTimeout := l.ClassTimeout(request.Class)
	switch {
	case !isHex16(request.ID):
		return fieldErrorf(fieldID, "%.40q is not 16 hex digits", request.ID)
	case maxTimeout <= 0:
		return fieldErrorf(fieldClass, "the deployment names no %.40q", request.Class)
	case !l.HasTenant(request.Tenant):
		return fieldErrorf(fieldTenant, "the deployment names no %.40q", request.Tenant)
	case !isHex16(request.Function):
		return fieldErrorf(fieldFunction, "%.40q is not 16 hex digits", request.Function)
	case request.Timeout <= 0 || request.Timeout > maxTimeout*timeoutTolerance:
		return fieldErrorf(fieldTimeout, "%v s is not above 0 and up to %v", request.Timeout, maxTimeout)
	case request.ExpectedWork < 0 || request.ExpectedWork > l.MaxExpectedWork:
		return fieldErrorf(fieldWork, "%v s is not from 0 to %v", request.ExpectedWork, l.MaxExpectedWork)
	}
	return nil
}

// parseProfile reads what a request states of its function. Unknown figures are ignored.
func (l *Limits) parseProfile(text string) (profile dispatch.FunctionProfile, err error) {
	for text != "" && err == nil {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, value, _ := strings.Cut(pair, ":")
		switch name {
		case profileMemory:
			profile.MemoryMB, err = parseFigure(pair, value, l.MaxMemoryMB)
		case profileConcurrency:
			profile.Concurrency, err = parseConcurrency(pair, value, l.MaxConcurrency)
		case profileLoadTime:
			var loadMs float64
			loadMs, err = parseFigure(pair, value, l.MaxLoadTime*1000)
			profile.LoadTime = loadMs / 1000
		}
	}
	return profile, err
}

func parseConcurrency(pair, text string, most int) (int, error) {
	value, err := parseFigure(pair, text, float64(most))
	if err != nil {
		return 0, err
	}
	if value != math.Floor(value) {
		return 0, fieldErrorf(fieldProfile, "%.60q: not a whole number", pair)
	}
	return int(value), nil
}

// parseFigure reads a figure of the profile that is above 0 and up to most.
func parseFigure(pair, text string, most float64) (float64, error) {
	value, err := parseNumber(fieldProfile+": "+pair, text, 1)
	if err == nil && (value <= 0 || value > most) {
		err = fieldErrorf(fieldProfile, "%.60q: not above 0 and up to %v", pair, most)
	}
	return value, err
}

// parseNumber reads a finite number and multiplies it by unit.
func parseNumber(field, text string, unit float64) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, fieldErrorf(fmt.Sprintf("%.60s", field), "%.40q is not a number", text)
	}
	return value * unit, nil
}

// isKey reports whether text may stand as a value in the fields of a frame to a worker.
func isKey(text string) bool {
	return len(text) <= maxKey && !strings.ContainsFunc(text, func(c rune) bool {
		return c <= ' ' || c > '~' || c == ',' || c == '='
	})
}

func isHex16(text string) bool {
	for i := range len(text) {
		if c := text[i] | 0x20; (text[i] < '0' || text[i] > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(text) == 16
}
