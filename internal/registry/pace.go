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
	RequestRate float64 // how much it is asked for; the most used go first
	LoadTime    float64 // usual seconds of a load, 0 where unknown
	state       pace
	since       float64
	tries       int
}

type pace uint8

const (
	waiting pace = iota
	loading
	moved
	givenUp
)

const (
	slowTimes  = 4.0 // a load that takes this many times its usual time means that the store is in trouble
	leastUsual = 0.5 // seconds that a usual load counts as at the least, against quick ones that a hiccup makes slow
	restFor    = 3.0 // seconds for which a release rests then
	triesMost  = 5   // loads of one function
)

// RolloutPacer takes a release of many functions through one by one: a copy of the new version is loaded ahead, and only
// when it stands the alias moves, so that nobody waits for the load and the store is not asked for everything at
// once. A store in trouble stops the release, not the service. It has no I/O; calls bring the time in seconds.
type RolloutPacer struct {
	Alias  string
	most   int
	list   []*Migration
	rest   float64 // nothing new is loaded before
	Pauses int     // how often it rested
}

// NewRolloutPacer plans a release; most loads may be under way at once.
func NewRolloutPacer(alias string, most int, list []Migration) *RolloutPacer {
	p := &RolloutPacer{Alias: alias, most: max(most, 1)}
	for i := range list {
		p.list = append(p.list, &list[i])
	}
	slices.SortStableFunc(p.list, func(a, b *Migration) int { return cmp.Compare(b.RequestRate, a.RequestRate) })
	return p
}

func (p *RolloutPacer) find(function string) *Migration {
	for _, g := range p.list {
		if g.Function == function {
			return g
		}
	}
	return nil
}

// Next tells what is to be loaded now; Asked follows for each that was ordered. Rules, in order: what loads too long
// is taken for lost and makes the release rest; while it rests nothing is begun; no more than most at once; the most
// used first.
func (p *RolloutPacer) Next(now float64) []Migration {
	busy := 0
	for _, g := range p.list {
		if g.state == loading && now-g.since > slowTimes*max(g.LoadTime, leastUsual) {
			p.trouble(g, now)
		}
		if g.state == loading {
			busy++
		}
	}
	var next []Migration
	for _, g := range p.list {
		if now < p.rest || busy+len(next) >= p.most {
			break
		}
		if g.state == waiting {
			next = append(next, *g)
		}
	}
	return next
}

// OnRequest notes that a load was ordered.
func (p *RolloutPacer) OnRequest(function string, now float64) {
	if g := p.find(function); g != nil && g.state == waiting {
		g.state, g.since, g.tries = loading, now, g.tries+1
	}
}

func (p *RolloutPacer) trouble(g *Migration, now float64) {
	p.rest = now + restFor
	p.Pauses++
	if g.state = waiting; g.tries >= triesMost {
		g.state = givenUp // its alias stays where it was
	}
}

// OnLoadFailed notes that a load failed.
func (p *RolloutPacer) OnLoadFailed(function string, now float64) {
	if g := p.find(function); g != nil && g.state == loading {
		p.trouble(g, now)
	}
}

// OnLoaded notes that a copy stands, and tells the move that is due. One that took long makes the release rest.
func (p *RolloutPacer) OnLoaded(function string, now float64) (Move, bool) {
	g := p.find(function)
	if g == nil || g.state == moved || g.state == givenUp {
		return Move{}, false
	}
	if g.state == loading && now-g.since > slowTimes*max(g.LoadTime, leastUsual)/2 {
		p.rest = now + restFor
		p.Pauses++
	}
	g.state = moved
	return Move{g.Function, p.Alias, g.To}, true
}

// Loading are the functions whose loads are under way.
func (p *RolloutPacer) Loading() (list []Migration) {
	for _, g := range p.list {
		if g.state == loading {
			list = append(list, *g)
		}
	}
	return
}

// Remaining tells how many functions are still to go, and which were given up.
func (p *RolloutPacer) Remaining() (left int, lost []string) {
	for _, g := range p.list {
		switch g.state {
		case waiting, loading:
			left++
		case givenUp:
			lost = append(lost, g.Function)
		}
	}
	return
}
