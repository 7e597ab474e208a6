// Package deployment reads the document in which a deployment states its terms, as the bench and the platform both hand
// it out, and maps it to what routing reads. It has no socket, no clock and no state, and decides nothing. The
// simulation adapter and the platform call it once at start.
package deployment

import (
	"encoding/json"
	"fmt"

	"streamcleat/control"
)

// Terms are the parts of the document that are read; any other key is skipped. Keys are matched whatever their case.
// Times are in the document's unit, milliseconds.
type Terms struct {
	Tenants        []Tenant       `json:"Accounts"`
	FrontEnds      int            `json:"Balancers"`
	FrontEndIndex  int            `json:"Me"` // index of this front end among all
	Limits         Limits         `json:"Caps"`
	RequestClasses []RequestClass `json:"Classes"`
	Discovery      string         `json:"Discovery"`
	Loading        LoadingTerms   `json:"Domain"`
	RoundMs        float64        `json:"RoundMs"` // least time between two rounds of routing
	HealthRules    HealthRules    `json:"Rules"`
}

// Tenant is a customer and its agreed rate.
type Tenant struct {
	Name           string  `json:"Name"`
	QuotaPerSecond float64 `json:"QuotaPerS"`
}

// Limits are what a front end is allowed and able to do.
type Limits struct {
	GossipAllowed     bool    `json:"Peers"`
	RetryAfterAllowed bool    `json:"RetryAfter"`
	MaxRetryAfterMs   float64 `json:"MaxRetryAfterMs"`
	DialTimeoutMs     float64 `json:"DialTimeoutMs"`
	IdleTimeoutMs     float64 `json:"IdleCloseMs"` // after which a worker closes an idle connection
	MaxAttempts       int     `json:"MostTries"`
	MaxStreams        int     `json:"MaxStreams"` // requests in flight on one connection
	MaxOpen           int     `json:"MaxOpen"`    // open requests
}

// RequestClass is what the deployment promises for one class of requests.
type RequestClass struct {
	Name                  string  `json:"Name"`
	Semantics             string  `json:"Idempotency"` // one of semanticsByWord
	DeduplicationScope    string  `json:"Group"`       // one of scopeByWord
	LatencyObjectiveMs    float64 `json:"AimMs"`
	TimeoutMs             float64 `json:"GiveUpMs"` // timeout of a request
	DeduplicationWindowMs float64 `json:"MemorySpanMs"`
}

// LoadingTerms are how workers load functions and what load commands are allowed.
type LoadingTerms struct {
	LoadCommandAllowance   float64 `json:"LoadFree"`
	LoadCommandsPerRequest float64 `json:"LoadPart"`
	LoadCommandWindowMs    float64 `json:"LoadWindowMs"`
	IdleReplicaLifetimeMs  float64 `json:"StaysLoadedMs"`
	LoadTimeoutMs          float64 `json:"OrderTimeoutMs"` // of a load command
	LoadCommandsAllowed    bool    `json:"MayOrder"`
	WhenAbsent             string  `json:"WhenAbsent"` // what a worker does without a replica
}

// HealthRules tell when a worker warms up and when it counts as overloaded.
type HealthRules struct {
	InitialCapacityFraction float64 `json:"ColdFrom"`
	OverloadWindowMs        float64 `json:"FallMs"`
	OverloadFactor          float64 `json:"FallMultiple"`
	WarmUpTimeMs            float64 `json:"WarmWithinMs"`
}

// Words of the document that are compared here.
const (
	discoverySubscribe = "subscribe" // the front end asks for the list of workers; else it is pushed
	absentMiss         = "miss"      // a worker without a replica says so; else it loads one
)

// semanticsByWord are the words for delivery semantics.
var semanticsByWord = map[string]control.DeliverySemantics{
	"free":        control.Idempotent,
	"guarded":     control.IdempotentByKey,
	"single_shot": control.AtMostOnce,
}

// scopeByWord are the words for deduplication scopes.
var scopeByWord = map[string]control.DeduplicationScope{
	"":     control.ScopeFleet,
	"all":  control.ScopeFleet,
	"zone": control.ScopeZone,
	"cell": control.ScopeFailureDomain,
}

// ClassError tells that the semantics or the deduplication scope of a request class is none of the known words.
type ClassError struct{ Class string }

// Error names the request class.
func (e *ClassError) Error() string {
	return fmt.Sprintf("event type %s: unknown idempotency or group", e.Class)
}

// Read reads the document. A fault of a request class is a [*ClassError], any other an error of package json.
func Read(document []byte) (*Terms, error) {
	var terms Terms
	if err := json.Unmarshal(document, &terms); err != nil {
		return nil, err
	}
	for _, class := range terms.RequestClasses {
		_, semanticsKnown := semanticsByWord[class.Semantics]
		_, scopeKnown := scopeByWord[class.DeduplicationScope]
		if !semanticsKnown || !scopeKnown {
			return nil, &ClassError{Class: class.Name}
		}
	}
	return &terms, nil
}

// Deployment is what routing reads of the terms.
func (t *Terms) Deployment() *control.Deployment {
	d := &control.Deployment{
		FrontEnds:               max(t.FrontEnds, 1),
		PollEndpoints:           t.Discovery == discoverySubscribe,
		NoLoadOnMiss:            t.Loading.WhenAbsent == absentMiss,
		LoadCommandsAllowed:     t.Loading.LoadCommandsAllowed,
		GossipAllowed:           t.Limits.GossipAllowed,
		MaxAttempts:             max(t.Limits.MaxAttempts, 1),
		IdleReplicaLifetime:     seconds(t.Loading.IdleReplicaLifetimeMs),
		LoadCommandWindow:       seconds(t.Loading.LoadCommandWindowMs),
		LoadCommandAllowance:    t.Loading.LoadCommandAllowance,
		LoadCommandsPerRequest:  t.Loading.LoadCommandsPerRequest,
		MinRoundInterval:        seconds(t.RoundMs),
		InitialCapacityFraction: t.HealthRules.InitialCapacityFraction,
		WarmUpTime:              seconds(t.HealthRules.WarmUpTimeMs),
		OverloadFactor:          t.HealthRules.OverloadFactor,
		OverloadWindow:          seconds(t.HealthRules.OverloadWindowMs),
	}
	if t.Limits.RetryAfterAllowed {
		d.MaxRetryAfter = seconds(t.Limits.MaxRetryAfterMs)
	}
	for _, tenant := range t.Tenants {
		d.Tenants = append(d.Tenants, control.Tenant{Name: control.TenantID(tenant.Name), Quota: tenant.QuotaPerSecond})
	}
	for _, class := range t.RequestClasses {
		d.RequestClasses = append(d.RequestClasses, class.routing())
	}
	return d
}

// routing is the class as routing reads it.
func (c RequestClass) routing() control.RequestClass {
	return control.RequestClass{
		Name:                c.Name,
		LatencyObjective:    seconds(c.LatencyObjectiveMs),
		Timeout:             seconds(c.TimeoutMs),
		Semantics:           semanticsByWord[c.Semantics],
		DeduplicationScope:  scopeByWord[c.DeduplicationScope],
		DeduplicationWindow: seconds(c.DeduplicationWindowMs),
	}
}

// seconds converts milliseconds.
func seconds(milliseconds float64) float64 { return milliseconds / 1000 }
