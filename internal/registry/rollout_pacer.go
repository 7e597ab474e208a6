package registry

import (
	"cmp"
	"slices"

	"github.com/opencontainers/go-digest"
)

// Migration is the move of one function to a new version as part of a release.
type Migration struct {
	Function    string
	To          digest.Digest
	RequestRate float64 // functions with a higher request rate migrate first; only the order matters
	LoadTime    float64 // expected load time in seconds, 0 if unknown

	state         migrationState
	loadStartedAt float64 // in seconds
	attempts      int     // load attempts
}

// migrationState is the progress of a migration.
type migrationState uint8

const (
	migrationPending migrationState = iota
	migrationLoading
	migrationDone
	migrationAbandoned // all load attempts failed; the alias is unchanged
)

const (
	// maxLoadSlowdown is the multiple of the expected load time after which a load counts as failed.
	maxLoadSlowdown = 4.0
	// pauseLoadSlowdown is the multiple of the expected load time above which a successful load pauses the release.
	pauseLoadSlowdown = maxLoadSlowdown / 2
	// minExpectedLoadTime is the lower bound of the expected load time in seconds. It prevents the jitter of short loads from
	// counting as a slowdown.
	minExpectedLoadTime = 0.5
	// pauseDuration is the length of a pause in seconds.
	pauseDuration = 3.0
	// maxLoadAttempts is the maximum number of load attempts for one function.
	maxLoadAttempts = 5
)

// RolloutPacer paces the loads in a release of many functions. The alias of a function moves only after a replica of the
// new version is loaded, so that no request waits for the load. The number of concurrent loads is limited to protect the
// function store. Slow or failed loads pause the release, while the old versions continue to serve. A RolloutPacer does no
// I/O, and its callers pass the time in seconds.
type RolloutPacer struct {
	Alias      string
	PauseCount int // number of pauses so far

	maxLoads    int
	migrations  []*Migration
	pausedUntil float64
}

// NewRolloutPacer returns a pacer for the given migrations that allows at most maxLoads concurrent loads, but at least one.
func NewRolloutPacer(alias string, maxLoads int, pending []Migration) *RolloutPacer {
	p := &RolloutPacer{Alias: alias, maxLoads: max(maxLoads, 1)}
	for i := range pending {
		p.migrations = append(p.migrations, &pending[i])
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

// Next returns the migrations whose loads are to be started now, in descending order of request rate. The caller reports
// each load that it starts with OnLoadRequested. A load that takes too long counts as failed and pauses the release. During
// a pause Next returns nothing.
func (p *RolloutPacer) Next(now float64) []Migration {
	loads := 0
	for _, m := range p.migrations {
		if m.state == migrationLoading && m.loadExceeds(maxLoadSlowdown, now) {
			p.handleLoadFailure(m, now)
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

// loadExceeds reports whether the current load has taken longer than a multiple of its expected time, which is at least
// minExpectedLoadTime.
func (m *Migration) loadExceeds(multiple, now float64) bool {
	return now-m.loadStartedAt > multiple*max(m.LoadTime, minExpectedLoadTime)
}

// OnLoadRequested records that the load of a function was requested.
func (p *RolloutPacer) OnLoadRequested(function string, now float64) {
	if m := p.find(function); m != nil && m.state == migrationPending {
		m.state = migrationLoading
		m.loadStartedAt = now
		m.attempts++
	}
}

func (p *RolloutPacer) pause(now float64) {
	p.pausedUntil = now + pauseDuration
	p.PauseCount++
}

// handleLoadFailure pauses the release and makes the migration pending again, or abandons it after maxLoadAttempts.
func (p *RolloutPacer) handleLoadFailure(m *Migration, now float64) {
	p.pause(now)
	m.state = migrationPending
	if m.attempts >= maxLoadAttempts {
		m.state = migrationAbandoned
	}
}

// OnLoadFailed records that the load of a function failed.
func (p *RolloutPacer) OnLoadFailed(function string, now float64) {
	if m := p.find(function); m != nil && m.state == migrationLoading {
		p.handleLoadFailure(m, now)
	}
}

// OnLoaded records that a replica of the new version of a function is loaded and returns the alias update that is now due,
// if any. A slow load pauses the release.
func (p *RolloutPacer) OnLoaded(function string, now float64) (AliasUpdate, bool) {
	m := p.find(function)
	if m == nil || m.state == migrationDone || m.state == migrationAbandoned {
		return AliasUpdate{}, false
	}
	if m.state == migrationLoading && m.loadExceeds(pauseLoadSlowdown, now) {
		p.pause(now)
	}
	m.state = migrationDone
	return AliasUpdate{Function: m.Function, Alias: p.Alias, Digest: m.To}, true
}

// Loading returns the migrations whose loads are in progress.
func (p *RolloutPacer) Loading() []Migration {
	var list []Migration
	for _, m := range p.migrations {
		if m.state == migrationLoading {
			list = append(list, *m)
		}
	}
	return list
}

// Remaining returns the number of unfinished migrations and the functions whose migrations were abandoned.
func (p *RolloutPacer) Remaining() (remaining int, abandoned []string) {
	for _, m := range p.migrations {
		switch m.state {
		case migrationPending, migrationLoading:
			remaining++
		case migrationAbandoned:
			abandoned = append(abandoned, m.Function)
		case migrationDone:
		}
	}
	return remaining, abandoned
}
