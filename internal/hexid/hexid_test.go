package hexid

import (
	"errors"
	"math"
	"regexp"
	"strings"
	"testing"
)

func TestParse_SpellingsOfOneID(t *testing.T) {
	for text, want := range map[string]ID{
		"9b1f03aa5c7e2d41": 0x9b1f03aa5c7e2d41, "9B1F03AA5C7E2D41": 0x9b1f03aa5c7e2d41, "9B1f03aA5c7E2d41": 0x9b1f03aa5c7e2d41,
		"0000000000000000": 0, "000000000000000a": 10, "ffffffffffffffff": math.MaxUint64,
	} {
		id, err := Parse(text)
		if err != nil || id != want || id.String() != strings.ToLower(text) {
			t.Errorf("%q: %s, %v", text, id, err)
		}
	}
}

// FuzzParse checks that exactly the texts of 16 hexadecimal digits are IDs, and that the canonical text is a fixed point.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"", "9b1f03aa5c7e2d41", "9B1F03AA5C7E2D41", "9b1f03aa5c7e2d4", "09b1f03aa5c7e2d41", "+b1f03aa5c7e2d41", "0x1f03aa5c7e2d41",
		"9b1f_3aa5c7e2d41", " b1f03aa5c7e2d41", "9b1f03aa5c7e2d4g", "１f03aa5c7e2d4",
	} {
		f.Add(text)
	}
	valid := regexp.MustCompile(`^[0-9a-fA-F]{16}\z`)
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		if (err == nil) != valid.MatchString(text) {
			t.Fatalf("%q: %v", text, err)
		}
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("%q: %v does not wrap ErrMalformed", text, err)
			}
			return
		}
		if again, err := Parse(id.String()); again != id || err != nil || id.String() != strings.ToLower(text) {
			t.Errorf("%q: canonical text %q is ID %s, %v", text, id.String(), again, err)
		}
	})
}
