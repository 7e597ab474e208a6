package deployment

import (
	"streamcleat/control"
	"streamcleat/internal/units"
)

// failedPollFactor is the multiple of Settings.HealthRules.PollWithinMs after which a change of the endpoint list counts as
// received while polls fail.
const failedPollFactor = 4

// Deployment converts the settings to the router's configuration.
func (s *Settings) Deployment() *control.Deployment {
	d := &control.Deployment{
		FrontEnds:               max(s.FrontEnds, 1),
		PollEndpoints:           s.Discovery == discoverySubscribe,
		NoLoadOnMiss:            s.Loading.WhenAbsent == absentMiss,
		LoadCommandsAllowed:     s.Loading.LoadCommandsAllowed,
		GossipAllowed:           s.Limits.GossipAllowed,
		MaxAttempts:             max(s.Limits.MaxAttempts, 1),
		IdleReplicaLifetime:     units.Seconds(seconds(s.Loading.IdleReplicaLifetimeMs)),
		LoadCommandWindow:       units.Seconds(seconds(s.Loading.LoadCommandWindowMs)),
		LoadCommandAllowance:    s.Loading.LoadCommandAllowance,
		LoadCommandsPerRequest:  s.Loading.LoadCommandsPerRequest,
		MinRoundInterval:        units.Seconds(seconds(s.RoundMs)),
		InitialCapacityFraction: s.HealthRules.InitialCapacityFraction,
		WarmUpTime:              units.Seconds(seconds(s.HealthRules.WarmUpTimeMs)),
		OverloadFactor:          s.HealthRules.OverloadFactor,
		OverloadWindow:          units.Seconds(seconds(s.HealthRules.OverloadWindowMs)),
		DrainGrace:              units.Seconds(seconds(s.HealthRules.DrainGraceMs)),
	}
	if d.PollEndpoints {
		d.PollLease = units.Seconds(seconds(s.HealthRules.PollWithinMs)) * failedPollFactor
	}
	if s.Limits.RetryAfterAllowed {
		d.MaxRetryAfter = units.Seconds(seconds(s.Limits.MaxRetryAfterMs))
	}
	for _, tenant := range s.Tenants {
		d.Tenants = append(d.Tenants, control.Tenant{Name: control.TenantID(tenant.Name), Quota: tenant.QuotaPerSecond})
	}
	for _, class := range s.RequestClasses {
		d.RequestClasses = append(d.RequestClasses, class.controlClass())
	}
	return d
}

// controlClass converts a request class to the router's form.
func (c RequestClass) controlClass() control.RequestClass {
	return control.RequestClass{
		Name:                c.Name,
		LatencyObjective:    units.Seconds(seconds(c.LatencyObjectiveMs)),
		Timeout:             units.Seconds(seconds(c.TimeoutMs)),
		Semantics:           semanticsByName[c.Semantics],
		DeduplicationScope:  scopeByName[c.DeduplicationScope],
		DeduplicationWindow: units.Seconds(seconds(c.DeduplicationWindowMs)),
	}
}

// seconds converts milliseconds to seconds.
func seconds(milliseconds float64) float64 { return milliseconds / 1000 }
