package registry

import (
	"cmp"
	"slices"

	"github.com/opencontainers/go-digest"
)

// Migration is one function of a release.
type Migration struct {
	Function    string
	To          digest.Digest
	RequestRate float64 // how much it is requested; the most requested functions go first
	LoadTime    float64 // usual seconds of a load, 0 where unknown

	state         migrationState
	loadStartedAt float64 // seconds
	attempts      int
}

type migrationState uint8

const (
	migrationPending migrationState = iota
	migrationLoading
	migrationDone
	migrationAbandoned // its alias stays where it was
)

const (
	// maxLoadSlowdown is the multiple of its usual time at which a load counts as lost: the store has a fault.
	maxLoadSlowdown = 4.0
	// pauseLoadSlowdown is the multiple at which a load that succeeded pauses the release.
	pauseLoadSlowdown = maxLoadSlowdown / 2
	// minExpectedLoadTime, in seconds, is the least that a usual load counts as: a hiccup makes quick loads slow.
	minExpectedLoadTime = 0.5
	// pauseDuration is for how many seconds a release pauses.
	pauseDuration = 3.0
	// maxLoadAttempts is how often the load of one function is tried.
	maxLoadAttempts = 5
)

// RolloutPacer takes a release of many functions through one by one: a replica of the new version is loaded ahead, and
// only when it is loaded the alias moves, so that no request waits for the load and the store doesn't get all loads at
// once. A faulty store stops the release, not the service. It has no I/O; calls bring the time in seconds.
type RolloutPacer struct {
	Alias  string
	Pauses int // how often it paused

	maxLoads    int
	migrations  []*Migration
	pausedUntil float64
}

// NewRolloutPacer plans a release; at most maxLoads loads are under way at once.
func NewRolloutPacer(alias string, maxLoads int, list []Migration) *RolloutPacer {
	p := &RolloutPacer{Alias: alias, maxLoads: max(maxLoads, 1)}
	for i := range list {
		p.migrations = append(p.migrations, &list[i])
	}
	slices.SortStableFunc(p.migrations, func(a, b *Migration) int { return cmp.Compare(b.RequestRate, a.RequestRate) })
	return p
}

func (p *RolloutPacer) find(function string) *Migration {
	for _, m := range p.migrations {
		if m.Function == function {
			return m
		}
	}
	return nil
}

// Next returns what is to be loaded now; OnRequest follows for each load that was requested. Rules, in order: what loads
// too long counts as failed and pauses the release; while it is paused nothing is begun; no more than maxLoads at once;
// the most requested functions first.
func (p *RolloutPacer) Next(now float64) []Migration {
	loads := 0
	for _, m := range p.migrations {
		if m.state == migrationLoading && m.isSlowerThan(maxLoadSlowdown, now) {
			p.pauseAfterFailure(m, now)
		}
		if m.state == migrationLoading {
			loads++
		}
	}
	var next []Migration
	for _, m := range p.migrations {
		if now < p.pausedUntil || loads+len(next) >= p.maxLoads {
			break
		}
		if m.state == migrationPending {
			next = append(next, *m)
		}
	}
	return next
}

// isSlowerThan reports whether the load under way has taken more than a multiple of its usual time.
func (m *Migration) isSlowerThan(multiple, now float64) bool {
	return now-m.loadStartedAt > multiple*max(m.LoadTime, minExpectedLoadTime)
}

// OnRequest notes that a load was requested.
func (p *RolloutPacer) OnRequest(function string, now float64) {
	if m := p.find(function); m != nil && m.state == migrationPending {
		m.state = migrationLoading
		m.loadStartedAt = now
		m.attempts++
	}
}

func (p *RolloutPacer) pause(now float64) {
	p.pausedUntil = now + pauseDuration
	p.Pauses++
}

func (p *RolloutPacer) pauseAfterFailure(m *Migration, now float64) {
	p.pause(now)
	m.state = migrationPending
	if m.attempts >= maxLoadAttempts {
		m.state = migrationAbandoned
	}
}

// OnLoadFailed notes that a load failed.
func (p *RolloutPacer) OnLoadFailed(function string, now float64) {
	if m := p.find(function); m != nil && m.state == migrationLoading {
		p.pauseAfterFailure(m, now)
	}
}

// OnLoaded notes that a replica is loaded, and returns the move that is due. One that took long pauses the release.
func (p *RolloutPacer) OnLoaded(function string, now float64) (AliasUpdate, bool) {
	m := p.find(function)
	if m == nil || m.state == migrationDone || m.state == migrationAbandoned {
		return AliasUpdate{}, false
	}
	if m.state == migrationLoading && m.isSlowerThan(pauseLoadSlowdown, now) {
		p.pause(now)
	}
	m.state = migrationDone
	return AliasUpdate{Function: m.Function, Alias: p.Alias, Digest: m.To}, true
}

// Loading returns the functions whose loads are under way.
func (p *RolloutPacer) Loading() []Migration {
	var list []Migration
	for _, m := range p.migrations {
		if m.state == migrationLoading {
			list = append(list, *m)
		}
	}
	return list
}

// Remaining returns how many functions are still to migrate, and which were abandoned.
func (p *RolloutPacer) Remaining() (remaining int, abandoned []string) {
	for _, m := range p.migrations {
		switch m.state {
		case migrationPending, migrationLoading:
			remaining++
		case migrationAbandoned:
			abandoned = append(abandoned, m.Function)
		}
	}
	return remaining, abandoned
}
