package nodetest

import (
	"strconv"
	"testing"
	"time"

	"streamcleat/internal/verification/workerframes"
)

// Fields of replies.
const (
	// OneReplica is the fields section of a reply to a load command after which one replica is loaded.
	OneReplica = "slots_up=1"

	replicaFound = "detail=hit"
)

// Budget returns the time that an attempt allows its worker for execution.
func Budget(t *testing.T, frame workerframes.Frame) time.Duration {
	t.Helper()
	milliseconds, err := strconv.Atoi(frame.Field("budget"))
	if err != nil {
		t.Errorf("no budget in the fields %q: %v", frame.Fields, err)
	}
	return time.Duration(milliseconds) * time.Millisecond
}
