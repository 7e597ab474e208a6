package appliance

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails where a goroutine that a test started outlives all tests. gnet's pool of workers belongs to the whole
// process and has no end.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}
