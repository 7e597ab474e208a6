// Package deployment reads the object in which a deployment states its terms, as the bench and the platform both hand
// it out, and maps it to what the decisions read. It has no socket and no clock, and decides nothing.
package deployment

import (
	"encoding/json"
	"fmt"

	"streamcleat/control"
)

// Terms names what is read of the object; all else in it is skipped. Times are as it has them: milliseconds.
type Terms struct {
	Accounts []struct {
		Name      string  `json:"Name"`
		QuotaPerS float64 `json:"QuotaPerS"`
	} `json:"Accounts"`
	Balancers int `json:"Balancers"`
	Me        int `json:"Me"`
	Caps      struct {
		Peers           bool    `json:"Peers"`
		RetryAfter      bool    `json:"RetryAfter"`
		MaxRetryAfterMs float64 `json:"MaxRetryAfterMs"`
		DialTimeoutMs   float64 `json:"DialTimeoutMs"`
		IdleCloseMs     float64 `json:"IdleCloseMs"`
		MostTries       int     `json:"MostTries"`
		MaxStreams      int     `json:"MaxStreams"`
		MaxOpen         int     `json:"MaxOpen"`
	} `json:"Caps"`
	Classes []struct {
		Name         string  `json:"Name"`
		Idempotency  string  `json:"Idempotency"`
		Group        string  `json:"Group"`
		AimMs        float64 `json:"AimMs"`
		GiveUpMs     float64 `json:"GiveUpMs"`
		MemorySpanMs float64 `json:"MemorySpanMs"`
	} `json:"Classes"`
	Discovery string `json:"Discovery"`
	Domain    struct {
		LoadFree       float64 `json:"LoadFree"`
		LoadPart       float64 `json:"LoadPart"`
		LoadWindowMs   float64 `json:"LoadWindowMs"`
		StaysLoadedMs  float64 `json:"StaysLoadedMs"`
		OrderTimeoutMs float64 `json:"OrderTimeoutMs"`
		MayOrder       bool    `json:"MayOrder"`
		WhenAbsent     string  `json:"WhenAbsent"`
	} `json:"Domain"`
	RoundMs float64 `json:"RoundMs"`
	Rules   struct {
		ColdFrom     float64 `json:"ColdFrom"`
		FallMs       float64 `json:"FallMs"`
		FallMultiple float64 `json:"FallMultiple"`
		WarmWithinMs float64 `json:"WarmWithinMs"`
	} `json:"Rules"`
}

var repeats = map[string]control.DeliverySemantics{
	"free": control.Idempotent, "guarded": control.IdempotentByKey, "single_shot": control.AtMostOnce,
}

var reaches = map[string]control.DeduplicationScope{
	"": control.ScopeFleet, "all": control.ScopeFleet, "zone": control.ScopeZone, "cell": control.ScopeFailureDomain,
}

// Read reads the object; an error names the field that is at fault.
func Read(data []byte) (*Terms, error) {
	var t Terms
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	for _, c := range t.Classes {
		_, known := repeats[c.Idempotency]
		_, named := reaches[c.Group]
		if !known || !named {
			return nil, fmt.Errorf("event type %s: unknown idempotency or group", c.Name)
		}
	}
	return &t, nil
}

// Deployment is what the decisions read of the terms.
func (t *Terms) Deployment() *control.Deployment {
	d := &control.Deployment{
		FrontEnds:              max(t.Balancers, 1),
		PollEndpoints:          t.Discovery == "subscribe",
		MissIsAnswered:         t.Domain.WhenAbsent == "miss",
		LoadCommandsAllowed:    t.Domain.MayOrder,
		GossipAllowed:          t.Caps.Peers,
		MaxAttempts:            max(t.Caps.MostTries, 1),
		IdleReplicaLifetime:    t.Domain.StaysLoadedMs / 1000,
		LoadCommandWindow:      t.Domain.LoadWindowMs / 1000,
		LoadCommandAllowance:   t.Domain.LoadFree,
		LoadCommandsPerRequest: t.Domain.LoadPart,
		MinRoundInterval:       t.RoundMs / 1000,
		ColdShare:              t.Rules.ColdFrom,
		WarmUpTime:             t.Rules.WarmWithinMs / 1000,
		OverloadFactor:         t.Rules.FallMultiple,
		OverloadWindow:         t.Rules.FallMs / 1000,
	}
	if t.Caps.RetryAfter {
		d.MaxRetryAfter = t.Caps.MaxRetryAfterMs / 1000
	}
	for _, a := range t.Accounts {
		d.Tenants = append(d.Tenants, control.Tenant{Name: control.TenantID(a.Name), Quota: a.QuotaPerS})
	}
	for _, c := range t.Classes {
		d.RequestClasses = append(d.RequestClasses, control.RequestClass{
			Name: c.Name, LatencyObjective: c.AimMs / 1000, Timeout: c.GiveUpMs / 1000, Semantics: repeats[c.Idempotency],
			DeduplicationScope: reaches[c.Group], DeduplicationWindow: c.MemorySpanMs / 1000,
		})
	}
	return d
}
