package fakes

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine that a test started outlives all tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
