package config

import (
	"io"
	"log/slog"
	"path"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream/cloudevents"
	"streamcleat/internal/http1"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream/openinference"
)

const (
	// minRoundInterval is the minimum interval, in seconds, between two rounds of the routing decisions. It is about one
	// iteration of the event loop.
	minRoundInterval = 0.004
	// minResponseBody is the minimum size limit of response bodies in bytes. Limits.MaxBodyBytes applies to responses only
	// if it is larger.
	minResponseBody = 1 << 20
)

// deliverySemantics maps the values of RequestClass.Semantics in the document.
var deliverySemantics = map[string]control.DeliverySemantics{
	"":              control.Idempotent,
	"redeliverable": control.Idempotent,
	"keyed":         control.IdempotentByKey,
	"at-most-once":  control.AtMostOnce,
}

// deduplicationScopes maps the values of RequestClass.DeduplicationScope in the document.
var deduplicationScopes = map[string]control.DeduplicationScope{
	"":     control.ScopeFleet,
	"all":  control.ScopeFleet,
	"zone": control.ScopeZone,
	"cell": control.ScopeFailureDomain,
}

// Logger returns a logger with the configured level and format that writes to w.
func (c *Config) Logger(w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Log.Level)); err != nil {
		level = slog.LevelInfo // not reached: the schema allows only known levels
	}
	options := &slog.HandlerOptions{Level: level}
	if c.Log.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// Deployment returns the settings of the router.
func (c *Config) Deployment() *control.Deployment {
	d := &control.Deployment{
		FrontEnds:               len(c.Listen),
		NoLoadOnMiss:            !c.Workers.LoadsOnRequest,
		LoadCommandsAllowed:     c.Workers.LoadCommands,
		MaxAttempts:             c.Rules.MaxAttempts,
		MaxRetryAfter:           units.Seconds(c.Rules.MaxRetryAfter),
		IdleReplicaLifetime:     units.Seconds(c.Workers.IdleReplicaLifetime),
		LoadCommandWindow:       units.Seconds(c.Rules.LoadCommandWindow),
		LoadCommandAllowance:    c.Rules.LoadCommandAllowance,
		LoadCommandsPerRequest:  c.Rules.LoadCommandsPerRequest,
		MinRoundInterval:        minRoundInterval,
		InitialCapacityFraction: c.Rules.InitialCapacityFraction,
		WarmUpTime:              units.Seconds(c.Rules.WarmUpTime),
		OverloadFactor:          c.Rules.OverloadFactor,
		OverloadWindow:          units.Seconds(c.Rules.OverloadWindow),
	}
	if c.Peers != nil {
		d.FrontEnds, d.GossipAllowed = c.Peers.FrontEnds, true
	}
	for _, class := range c.RequestClasses {
		d.RequestClasses = append(d.RequestClasses, control.RequestClass{
			Name:                class.Name,
			LatencyObjective:    units.Seconds(class.LatencyObjective),
			Timeout:             units.Seconds(class.Timeout),
			Semantics:           deliverySemantics[class.Semantics],
			DeduplicationScope:  deduplicationScopes[class.DeduplicationScope],
			DeduplicationWindow: units.Seconds(class.DeduplicationWindow),
		})
	}
	for _, tenant := range c.Tenants {
		d.Tenants = append(d.Tenants, control.Tenant{Name: control.TenantID(tenant.Name), Quota: tenant.Quota})
	}
	return d
}

// Function returns the profile of a function: that of the first pattern that matches its name, or one request at a time and
// an unknown load time if there is none.
func (c *Config) Function(name string) dispatch.FunctionProfile {
	for _, function := range c.Functions {
		if matches, _ := path.Match(function.Pattern, name); matches { // Parse has validated the pattern
			return dispatch.FunctionProfile{Concurrency: max(function.Concurrency, 1), MemoryMB: function.MemoryMB, LoadTime: units.Seconds(function.LoadTime)}
		}
	}
	return dispatch.FunctionProfile{Concurrency: 1}
}

// Dispatch returns the settings of the dispatcher. seed seeds its random decisions.
func (c *Config) Dispatch(seed uint64) dispatch.Settings {
	return dispatch.Settings{
		Deployment:          c.Deployment(),
		Functions:           c.Function,
		ResponseMargin:      units.Seconds(c.Limits.ResponseMargin),
		LoadTimeout:         units.Seconds(c.Workers.LoadTimeout),
		MaxOpen:             c.Limits.MaxOpenRequests,
		DeduplicationWindow: units.Seconds(c.Limits.DeduplicationWindow),
		MaxCachedBytes:      c.Limits.MaxCachedBytes,
		Seed:                seed,
	}
}

// Upstream returns the limits of connections to workers. via is the name of the front end in Via header fields.
func (c *Config) Upstream(via string) openinference.Limits {
	return openinference.Limits{
		DialTimeout:  units.Seconds(c.Workers.DialTimeout),
		IdleTimeout:  units.Seconds(c.Workers.IdleTimeout),
		MaxPerWorker: c.Workers.MaxConnections,
		Via:          via,
		Message:      http1.Limits{Head: c.Limits.MaxHeadBytes, Body: max(c.Limits.MaxBodyBytes, minResponseBody)},
	}
}

// Downstream returns the limits of connections from clients.
func (c *Config) Downstream() cloudevents.Limits {
	return cloudevents.Limits{
		Message:        http1.Limits{Head: c.Limits.MaxHeadBytes, Body: c.Limits.MaxBodyBytes},
		MaxPipelined:   c.Limits.MaxPipelined,
		RequestTimeout: units.Seconds(c.Limits.ReadTimeout),
		IdleTimeout:    units.Seconds(c.Limits.IdleTimeout),
		MaxUnread:      c.Limits.MaxUnreadBytes,
		ClassTimeout:   c.requestTimeout,
	}
}

// requestTimeout returns the timeout of a request class, or 0 for an unknown one.
func (c *Config) requestTimeout(class string) units.Seconds {
	for i := range c.RequestClasses {
		if c.RequestClasses[i].Name == class {
			return units.Seconds(c.RequestClasses[i].Timeout)
		}
	}
	return 0
}
