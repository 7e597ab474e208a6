package exclusive

import (
	"sync/atomic"
	"testing"
	"time"
)

func TestAcquire_HoldersTakeTurns(t *testing.T) {
	var holders atomic.Int32
	t.Run("holders", func(t *testing.T) {
		for range 4 {
			t.Run("holder", func(t *testing.T) {
				t.Parallel()
				Acquire(t)
				if holders.Add(1) > 1 {
					t.Error("the lock has more than one holder")
				}
				time.Sleep(20 * time.Millisecond)
				holders.Add(-1)
			})
		}
	})
}
