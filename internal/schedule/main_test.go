package schedule

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine started by a test outlives all tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
