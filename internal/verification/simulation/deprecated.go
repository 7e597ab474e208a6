package simulation

// deprecatedFaultKinds maps the deprecated names of fault kinds, which older scripts use, to the current names.
var deprecatedFaultKinds = map[FaultKind]FaultKind{
	"cut-worker":      FaultPartitionWorker,
	"cut-to-worker":   FaultPartitionToWorker,
	"cut-from-worker": FaultPartitionFromWorker,
	"cut-client":      FaultPartitionClient,
	"cut-peers":       FaultPartitionPeers,
	"half-picture":    FaultPartialView,
	"power":           FaultPowerLoss,
	"worker-power":    FaultPowerLossWorker,
	"stall":           FaultSuspend,
	"stall-worker":    FaultSuspendWorker,
	"turn-away":       FaultReject,
	"reset-answers":   FaultResetResponses,
	"cut-answers":     FaultTruncateResponses,
	"storm":           FaultTrafficSpike,
	"abuse":           FaultIgnoreRetryAfter,
	"stampede":        FaultReconnect,
	"lying-disk":      FaultIgnoredSync,
	"forgetful":       FaultDropIdempotencyKeys,
}

// UnmarshalText implements encoding.TextUnmarshaler. Deprecated names are replaced by the current ones.
func (k *FaultKind) UnmarshalText(text []byte) error {
	*k = FaultKind(text)
	if kind, deprecated := deprecatedFaultKinds[*k]; deprecated {
		*k = kind
	}
	return nil
}
