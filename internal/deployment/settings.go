package deployment

import (
	"encoding/json"
	"fmt"

	"streamcleat/control"
)

// Settings holds the document's keys that are read. Other keys are ignored, and keys are case-insensitive. Times are in
// milliseconds, as in the document.
type Settings struct {
	Tenants        []Tenant        `json:"Accounts"`
	FrontEnds      int             `json:"Balancers"`
	FrontEndIndex  int             `json:"Me"` // of this front end among all
	Limits         Limits          `json:"Caps"`
	RequestClasses []RequestClass  `json:"Classes"`
	Discovery      string          `json:"Discovery"`
	Loading        LoadingSettings `json:"Domain"`
	RoundMs        float64         `json:"RoundMs"` // minimum time between two routing rounds
	HealthRules    HealthRules     `json:"Rules"`
}

// Tenant is a customer with its quota of requests.
type Tenant struct {
	Name           string  `json:"Name"`
	QuotaPerSecond float64 `json:"QuotaPerS"`
}

// Limits holds what a front end is allowed to do and the limits of its resources.
type Limits struct {
	GossipAllowed     bool    `json:"Peers"`
	RetryAfterAllowed bool    `json:"RetryAfter"`
	MaxRetryAfterMs   float64 `json:"MaxRetryAfterMs"`
	DialTimeoutMs     float64 `json:"DialTimeoutMs"`
	IdleTimeoutMs     float64 `json:"IdleCloseMs"` // idle time after which a worker closes a connection
	MaxAttempts       int     `json:"MostTries"`
	MaxStreams        int     `json:"MaxStreams"` // requests in flight per connection
	MaxOpen           int     `json:"MaxOpen"`    // open requests
}

// RequestClass states the guarantees for a class of requests.
type RequestClass struct {
	Name                  string  `json:"Name"`
	Semantics             string  `json:"Idempotency"` // key of semanticsByName
	DeduplicationScope    string  `json:"Group"`       // key of scopeByName
	LatencyObjectiveMs    float64 `json:"AimMs"`
	TimeoutMs             float64 `json:"GiveUpMs"`
	DeduplicationWindowMs float64 `json:"MemorySpanMs"`
}

// LoadingSettings states how workers load functions and which load commands are allowed.
type LoadingSettings struct {
	LoadCommandAllowance   float64 `json:"LoadFree"`
	LoadCommandsPerRequest float64 `json:"LoadPart"`
	LoadCommandWindowMs    float64 `json:"LoadWindowMs"`
	IdleReplicaLifetimeMs  float64 `json:"StaysLoadedMs"`
	LoadTimeoutMs          float64 `json:"OrderTimeoutMs"` // of a load command
	LoadCommandsAllowed    bool    `json:"MayOrder"`
	WhenAbsent             string  `json:"WhenAbsent"` // what a worker does with a request for which it has no replica
}

// HealthRules states when a worker is warming up, when it counts as overloaded, and how a drain is to be kept.
type HealthRules struct {
	InitialCapacityFraction float64 `json:"ColdFrom"`
	OverloadWindowMs        float64 `json:"FallMs"`
	OverloadFactor          float64 `json:"FallMultiple"`
	WarmUpTimeMs            float64 `json:"WarmWithinMs"`
	DrainGraceMs            float64 `json:"DrainGraceMs"` // after a drain notice, for messages to the worker
	PollWithinMs            float64 `json:"AskWithinMs"`  // without a successful poll, after which a change counts as received
}

const (
	discoverySubscribe = "subscribe" // Discovery: the front end polls the endpoint list, which is otherwise pushed
	absentMiss         = "miss"      // WhenAbsent: the worker reports the miss, where it would otherwise load a replica
)

// semanticsByName maps the document's names of delivery semantics.
var semanticsByName = map[string]control.DeliverySemantics{
	"free":        control.Idempotent,
	"guarded":     control.IdempotentByKey,
	"single_shot": control.AtMostOnce,
}

// scopeByName maps the document's names of deduplication scopes.
var scopeByName = map[string]control.DeduplicationScope{
	"":     control.ScopeFleet,
	"all":  control.ScopeFleet,
	"zone": control.ScopeZone,
	"cell": control.ScopeFailureDomain,
}

// ClassError reports a request class with unknown delivery semantics or deduplication scope.
type ClassError struct{ Class string }

func (e *ClassError) Error() string {
	return fmt.Sprintf("event type %s: unknown idempotency or group", e.Class)
}

// Read parses the document. It returns a [*ClassError] for an invalid request class and errors of encoding/json otherwise.
func Read(document []byte) (*Settings, error) {
	var settings Settings
	if err := json.Unmarshal(document, &settings); err != nil {
		return nil, err
	}
	for _, class := range settings.RequestClasses {
		_, semanticsKnown := semanticsByName[class.Semantics]
		_, scopeKnown := scopeByName[class.DeduplicationScope]
		if !semanticsKnown || !scopeKnown {
			return nil, &ClassError{Class: class.Name}
		}
	}
	return &settings, nil
}
