package wire

import (
	"encoding/json"

	"streamcleat/control"
)

// conf names the settings that are read; all others are skipped.
type conf struct {
	Accounts []struct {
		Name      string
		QuotaPerS float64
	}
	Balancers int
	Caps      struct {
		Peers, RetryAfter bool
		MaxRetryAfterMs   float64
		MostTries         int
	}
	Classes []struct {
		Name, Idempotency, Group      string
		AimMs, GiveUpMs, MemorySpanMs float64
	}
	Discovery string
	Domain    struct {
		LoadFree, LoadPart, LoadWindowMs, StaysLoadedMs float64
		MayOrder                                        bool
		WhenAbsent                                      string
	}
	RoundMs float64
	Rules   struct {
		ColdFrom, FallMs, FallMultiple, WarmWithinMs float64
	}
}

var repeats = map[string]control.Repeat{
	"free": control.Redeliverable, "guarded": control.Keyed, "single_shot": control.AtMostOnce,
}

var reaches = map[string]control.Reach{
	"": control.ReachAll, "all": control.ReachAll, "zone": control.ReachZone, "cell": control.ReachCell,
}

func (l *line) deployment(field string) *control.Deployment {
	var c conf
	if err := json.Unmarshal([]byte(l.need(field)), &c); err != nil {
		panic(fault{l.no, field, err.Error()})
	}
	d := &control.Deployment{
		FrontEnds:   max(c.Balancers, 1),
		Asked:       c.Discovery == "subscribe",
		MissAnswers: c.Domain.WhenAbsent == "miss",
		MayOrder:    c.Domain.MayOrder,
		MayTell:     c.Caps.Peers,
		MaxLaunches: max(c.Caps.MostTries, 1),
		KeepWarm:    c.Domain.StaysLoadedMs / 1000,
		LoadWindow:  c.Domain.LoadWindowMs / 1000,
		LoadFree:    c.Domain.LoadFree,
		LoadShare:   c.Domain.LoadPart,
		RoundGap:    c.RoundMs / 1000,
		ColdShare:   c.Rules.ColdFrom,
		WarmWithin:  c.Rules.WarmWithinMs / 1000,
		FallFactor:  c.Rules.FallMultiple,
		FallWindow:  c.Rules.FallMs / 1000,
	}
	if c.Caps.RetryAfter {
		d.MaxPause = c.Caps.MaxRetryAfterMs / 1000
	}
	for _, a := range c.Accounts {
		d.Tenants = append(d.Tenants, control.Tenant{Name: control.TenantID(a.Name), Quota: a.QuotaPerS})
	}
	for _, t := range c.Classes {
		repeat, known := repeats[t.Idempotency]
		reach, named := reaches[t.Group]
		if !known || !named {
			panic(fault{l.no, field, "event type " + t.Name + ": unknown idempotency or group"})
		}
		d.EventTypes = append(d.EventTypes, control.EventType{
			Name: t.Name, TargetTime: t.AimMs / 1000, MaxAge: t.GiveUpMs / 1000, Repeat: repeat,
			Reach: reach, Remembered: t.MemorySpanMs / 1000,
		})
	}
	return d
}
