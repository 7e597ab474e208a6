package deployment

import (
	"encoding/json"
	"fmt"

	"streamcleat/control"
)

// Settings holds the keys that are read from the document. Other keys are ignored, and keys are case-insensitive. Times are
// in milliseconds, as in the document.
type Settings struct {
	Tenants        []Tenant        `json:"Accounts"`
	FrontEnds      int             `json:"Balancers"`
	FrontEndIndex  int             `json:"Me"` // index of this front end among all
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

// Limits holds the features that a front end may use and its resource limits.
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

// RequestClass holds the guarantees for a class of requests.
type RequestClass struct {
	Name                  string  `json:"Name"`
	Semantics             string  `json:"Idempotency"` // key of semanticsByName
	DeduplicationScope    string  `json:"Group"`       // key of scopeByName
	LatencyObjectiveMs    float64 `json:"AimMs"`
	TimeoutMs             float64 `json:"GiveUpMs"`
	DeduplicationWindowMs float64 `json:"MemorySpanMs"`
}

// LoadingSettings holds how workers load functions and which load commands are allowed.
type LoadingSettings struct {
	LoadCommandAllowance   float64 `json:"LoadFree"`
	LoadCommandsPerRequest float64 `json:"LoadPart"`
	LoadCommandWindowMs    float64 `json:"LoadWindowMs"`
	IdleReplicaLifetimeMs  float64 `json:"StaysLoadedMs"`
	LoadTimeoutMs          float64 `json:"OrderTimeoutMs"` // timeout of a load command
	LoadCommandsAllowed    bool    `json:"MayOrder"`
	WhenAbsent             string  `json:"WhenAbsent"` // what a worker does with a request without a loaded replica
}

// HealthRules holds when a worker is warming up, when it counts as overloaded, and how long changes of the endpoint list
// may take to apply.
type HealthRules struct {
	InitialCapacityFraction float64 `json:"ColdFrom"`
	OverloadWindowMs        float64 `json:"FallMs"`
	OverloadFactor          float64 `json:"FallMultiple"`
	WarmUpTimeMs            float64 `json:"WarmWithinMs"`
	// DrainGraceMs is the time after a drain notice in which messages may still be sent to the worker.
	DrainGraceMs float64 `json:"DrainGraceMs"`
	// PollWithinMs is the time without a successful poll after which a change of the endpoint list counts as received.
	PollWithinMs float64 `json:"AskWithinMs"`
}

const (
	// discoverySubscribe as Discovery makes the front end poll the endpoint list. With other values updates are pushed to it.
	discoverySubscribe = "subscribe"
	// absentMiss as WhenAbsent makes a worker report a miss. With other values it loads a replica.
	absentMiss = "miss"
)

// semanticsByName maps the document's names for delivery semantics.
var semanticsByName = map[string]control.DeliverySemantics{
	"free":        control.Idempotent,
	"guarded":     control.IdempotentByKey,
	"single_shot": control.AtMostOnce,
}

// scopeByName maps the document's names for deduplication scopes.
var scopeByName = map[string]control.DeduplicationScope{
	"":     control.ScopeFleet,
	"all":  control.ScopeFleet,
	"zone": control.ScopeZone,
	"cell": control.ScopeFailureDomain,
}

// ClassError reports a request class with unknown delivery semantics or deduplication scope.
type ClassError struct{ Class string }

func (e *ClassError) Error() string {
	return fmt.Sprintf("request class %s: unknown idempotency or group", e.Class)
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
