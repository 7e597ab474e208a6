package invariants

// deprecatedKinds maps the record kinds that earlier builds wrote to the current ones. Deprecated kinds are read but never
// written.
var deprecatedKinds = map[Kind]Kind{
	"asked":    RequestSent,
	"answered": ResponseReceived,
	"left":     ClientCancelled,
	"lost":     ConnectionLost,
	"launched": AttemptStarted,
	"ran":      Executed,
	"ended":    AttemptEnded,
	"ordered":  LoadCommanded,
	"told":     EndpointUpdated,
	"down":     WorkerOverloaded,
	"born":     WorkerStarted,
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts deprecated kinds.
func (k *Kind) UnmarshalText(text []byte) error {
	*k = Kind(text)
	if kind, deprecated := deprecatedKinds[*k]; deprecated {
		*k = kind
	}
	return nil
}
