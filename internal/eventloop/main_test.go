package eventloop

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine is left after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
