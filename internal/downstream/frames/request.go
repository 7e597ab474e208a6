package frames

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/hexid"
	"streamcleat/internal/units"
)

// Names of the fields of a request.
const (
	fieldClass    = "kind"
	fieldID       = "req"
	fieldTimeout  = "timeout" // milliseconds
	fieldTenant   = "owner"
	fieldFunction = "subject"
	fieldWork     = "ms"   // expected work in milliseconds
	fieldProfile  = "more" // name:value pairs, separated by semicolons

	// IdempotencyKeyField is the name of the field with the idempotency key, by which workers recognize retries.
	IdempotencyKeyField = "opkey"
)

// Names in the profile field.
const (
	profileMemory      = "memory_mb"
	profileConcurrency = "lanes"
	profileLoadTime    = "load_ms"
)

const (
	maxKeyLength          = 256 // of an idempotency key in bytes
	secondsPerMillisecond = 1e-3
	// timeoutTolerance is the factor by which a request's timeout may exceed the maximum of its class, to allow for
	// rounding by the client.
	timeoutTolerance = 1.001
)

// fieldError reports an invalid field of a request. Its text is sent to the client.
type fieldError struct{ field, problem string }

func (e *fieldError) Error() string { return e.field + ": " + e.problem }

func fieldErrorf(field, format string, args ...any) error {
	return &fieldError{field: field, problem: fmt.Sprintf(format, args...)}
}

// parseRequest parses and validates the payload of a request frame. The error names the first malformed field in the order
// of the payload or, if no field is malformed, the first invalid one in the order in which validate checks them.
func (l *Limits) parseRequest(payload []byte) (dispatch.Request, error) {
	var request dispatch.Request
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

// setField parses a field into the request. Unknown fields are ignored.
func (l *Limits) setField(request *dispatch.Request, f Field) error {
	var err error
	switch f.Name {
	case fieldClass:
		request.Class = f.Value
	case fieldID:
		request.ID = f.Value
	case fieldTimeout:
		request.Timeout, err = parseMilliseconds(f.Name, f.Value)
	case fieldTenant:
		request.Tenant = f.Value
	case fieldFunction:
		request.Function = f.Value
	case fieldWork:
		request.ExpectedWork, err = parseMilliseconds(f.Name, f.Value)
	case fieldProfile:
		request.StatedProfile, err = l.parseProfile(f.Value)
	case IdempotencyKeyField: // forwarded to workers unchanged
		if !isValidIdempotencyKey(f.Value) {
			return fieldErrorf(f.Name, "%.40q is not a key of up to %d characters without comma, equals sign and spaces", f.Value, maxKeyLength)
		}
		request.Fields = []dispatch.Field{{Name: f.Name, Value: f.Value}}
	}
	return err
}

// validate checks a request against the classes, tenants and limits of the deployment, and replaces its IDs by their canonical
// texts.
func (l *Limits) validate(request *dispatch.Request) error {
	if err := canonicalize(fieldID, &request.ID); err != nil {
		return err
	}
	if l.ClassTimeout(request.Class) <= 0 {
		return fieldErrorf(fieldClass, "the deployment names no %.40q", request.Class)
	}
	if !l.HasTenant(request.Tenant) {
		return fieldErrorf(fieldTenant, "the deployment names no %.40q", request.Tenant)
	}
	if err := canonicalize(fieldFunction, &request.Function); err != nil {
		return err
	}
	return l.validateTimes(request)
}

// validateTimes checks the times in a request of a class that the deployment names.
func (l *Limits) validateTimes(request *dispatch.Request) error {
	maxTimeout := l.ClassTimeout(request.Class)
	switch {
	case request.Timeout <= 0 || request.Timeout > maxTimeout*timeoutTolerance:
		return fieldErrorf(fieldTimeout, "%v s is not above 0 and up to %v", request.Timeout, maxTimeout)
	case request.ExpectedWork < 0 || request.ExpectedWork > l.MaxExpectedWork:
		return fieldErrorf(fieldWork, "%v s is not from 0 to %v", request.ExpectedWork, l.MaxExpectedWork)
	}
	return nil
}

// canonicalize replaces the ID of a request or function by its canonical text, so that two texts are equal if and only if
// workers receive the same number for both.
func canonicalize(field string, text *string) error {
	id, err := hexid.Parse(*text)
	if err != nil {
		return &fieldError{field: field, problem: err.Error()}
	}
	*text = id.String()
	return nil
}

// parseProfile parses the profile of a request's function. Unknown names are ignored.
func (l *Limits) parseProfile(text string) (dispatch.FunctionProfile, error) {
	var profile dispatch.FunctionProfile
	var err error
	for text != "" && err == nil {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, value, _ := strings.Cut(pair, ":")
		switch name {
		case profileMemory:
			profile.MemoryMB, err = parsePositive(pair, value, l.MaxMemoryMB)
		case profileConcurrency:
			profile.Concurrency, err = parseConcurrency(pair, value, l.MaxConcurrency)
		case profileLoadTime:
			var loadMs float64
			loadMs, err = parsePositive(pair, value, float64(l.MaxLoadTime*1000))
			profile.LoadTime = units.Seconds(loadMs / 1000)
		}
	}
	return profile, err
}

// parseConcurrency parses a positive integer of the profile that must be at most limit.
func parseConcurrency(pair, text string, limit int) (int, error) {
	value, err := parsePositive(pair, text, float64(limit))
	if err != nil {
		return 0, err
	}
	if value != math.Floor(value) {
		return 0, fieldErrorf(fieldProfile, "%.60q: not a whole number", pair)
	}
	return int(value), nil
}

// parsePositive parses a number of the profile that must be above 0 and at most limit.
func parsePositive(pair, text string, limit float64) (float64, error) {
	value, err := parseNumber(fieldProfile+": "+pair, text, 1)
	if err == nil && (value <= 0 || value > limit) {
		err = fieldErrorf(fieldProfile, "%.60q: not above 0 and up to %v", pair, limit)
	}
	return value, err
}

// parseMilliseconds parses a number of milliseconds and converts it to seconds.
func parseMilliseconds(field, text string) (units.Seconds, error) {
	seconds, err := parseNumber(field, text, secondsPerMillisecond)
	return units.Seconds(seconds), err
}

// parseNumber parses a finite number and multiplies it by the given unit.
func parseNumber(field, text string, unit float64) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, fieldErrorf(fmt.Sprintf("%.60s", field), "%.40q is not a number", text)
	}
	return value * unit, nil
}

// isValidIdempotencyKey reports whether text is an idempotency key that can be encoded as a field value in a frame to a worker.
func isValidIdempotencyKey(text string) bool {
	return len(text) <= maxKeyLength && !strings.ContainsFunc(text, func(c rune) bool {
		return c <= ' ' || c > '~' || c == ',' || c == '='
	})
}
