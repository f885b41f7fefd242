package proxy

import (
	"context"
	"log/slog"
	"time"

	"fernlanding/internal/bans"
	"fernlanding/internal/mgmt"
	"fernlanding/logic"
)

const meetEvery = 100 * time.Millisecond // the module says what it saw, and hears what others did

// Fleet is a proxy's part in its fleet. All but Run may be called before Run and from any goroutine.
type Fleet interface {
	// Run takes part until the context ends.
	Run(ctx context.Context)
	// Told passes a call by hand on to the whole fleet: a server suspended or resumed. It is bans.Config.Told.
	Told(nodo string, suspended bool) error
	Figures() *mgmt.Fleet
	// Meet tells the fleet what the module saw by now, and the module what the others did; zones are numbers by name.
	// It does not wait. With false the fleet's address is not open: the module is neither asked nor to be told.
	Meet(now int64, seen func(now int64) []logic.Notice, zones map[string]int) (logic.Peers, bool)
}

// FleetSelf is what a proxy tells its part in a fleet of itself.
type FleetSelf struct {
	Zone  string       // by name; empty: not told
	Tier  int          // its number
	Start int64        // of this process, Unix milliseconds
	State string       // folder of what outlives the process; empty: none
	Now   func() int64 // the clock of events, microseconds
	Bans  *bans.Bans   // which it has act on the fleet's suspensions; nil unless watched
	Log   *slog.Logger
}

// FleetPlan is a fleet that a proxy is to be part of.
type FleetPlan struct {
	Open        func(FleetSelf) (Fleet, error)
	Descriptors int // that it holds at most

	// What of it is off by itself; SIGHUP changes it.
	Undamped, Untuned bool
}

// self is what this proxy tells of itself.
func (p *Proxy) self() FleetSelf {
	site, c := p.cfg.Site, p.loop.clock
	s := FleetSelf{Tier: site.Logic.Stage, Start: c.start.UnixMilli(), Now: c.now, Bans: p.bans, Log: p.cfg.Log}
	if site.Logic.Zone < len(site.Zones) {
		s.Zone = site.Zones[site.Logic.Zone]
	}
	if p.cfg.Watched {
		s.State = p.cfg.State
	}
	return s
}

// meet has the fleet and the module hear of each other.
func (l *loop) meet() {
	now := l.clock.now()
	if peers, ok := l.fleet.Meet(now, l.bal.Seen, l.zones); ok {
		l.bal.Peers(now, l, peers)
	}
}
