package deployment

import "streamcleat/control"

// Deployment converts the terms for the router.
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
		d.RequestClasses = append(d.RequestClasses, class.controlClass())
	}
	return d
}

// controlClass converts a request class for the router.
func (c RequestClass) controlClass() control.RequestClass {
	return control.RequestClass{
		Name:                c.Name,
		LatencyObjective:    seconds(c.LatencyObjectiveMs),
		Timeout:             seconds(c.TimeoutMs),
		Semantics:           semanticsByName[c.Semantics],
		DeduplicationScope:  scopeByName[c.DeduplicationScope],
		DeduplicationWindow: seconds(c.DeduplicationWindowMs),
	}
}

// seconds converts milliseconds to seconds.
func seconds(milliseconds float64) float64 { return milliseconds / 1000 }
