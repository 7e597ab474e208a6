// Package hexid parses the IDs of requests and functions on the platform. Clients write them as text, workers read them as
// numbers, and the text has several spellings.
package hexid

import (
	"errors"
	"fmt"
	"strconv"
)

const (
	// Digits is the number of hexadecimal digits of an ID.
	Digits = 16

	base = 16
	bits = 64
)

// ErrMalformed is wrapped by the errors of Parse.
var ErrMalformed = errors.New("not 16 hex digits")

// ID is the ID of a request or function. Two texts mean the same request or function if and only if their IDs are equal.
type ID uint64

// Parse parses 16 hexadecimal digits in lower or upper case. Any other text is an error that quotes its first 40 characters.
func Parse(text string) (ID, error) {
	if len(text) != Digits {
		return 0, malformed(text)
	}
	number, err := strconv.ParseUint(text, base, bits)
	if err != nil {
		return 0, malformed(text)
	}
	return ID(number), nil
}

func malformed(text string) error { return fmt.Errorf("%.40q is %w", text, ErrMalformed) }

// String returns the canonical text of an ID: 16 hexadecimal digits in lower case.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }
