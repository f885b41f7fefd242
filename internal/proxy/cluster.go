package proxy

import (
	"context"
	"log/slog"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/management"
	"merlinpick/internal/override"
)

const reportExchangeInterval = 100 * time.Millisecond // the module says what it saw, and hears what others did

// Fleet is a proxy's part in its fleet. All but Run may be called before Run and from any goroutine.
type Cluster interface {
	// Run takes part until the context ends.
	Run(ctx context.Context)
	// Told passes a call by hand on to the whole fleet: a server suspended or resumed. It is bans.Config.Told.
	NotifyOverride(nodo string, suspended bool) error
	Metrics() *management.Cluster
	// Meet tells the fleet what the module saw by now, and the module what the others did; zones are numbers by name.
	// It does not wait. With false the fleet's address is not open: the module is neither asked nor to be told.
	ExchangeReports(now int64, seen func(now int64) []balancer.Report, zones map[string]int) (balancer.PeerReports, bool)
}

// FleetSelf is what a proxy tells its part in a fleet of itself.
type ClusterIdentity struct {
	Zone        string              // by name; empty: not told
	Tier        int                 // its number
	StartedAtMs int64               // of this process, Unix milliseconds
	StateDir    string              // folder of what outlives the process; empty: none
	Now         func() int64        // the clock of events, microseconds
	Overrides   *override.Overrides // which it has act on the fleet's suspensions; nil unless watched
	Logger      *slog.Logger
}

// FleetPlan is a fleet that a proxy is to be part of.
type ClusterPlan struct {
	Open        func(ClusterIdentity) (Cluster, error)
	Descriptors int // that it holds at most

	// What of it is off by itself; SIGHUP changes it.
	DisableFlapDamping, DisableWeightTuning bool
}

// self is what this proxy tells of itself.
func (p *Proxy) clusterIdentity() ClusterIdentity {
	site, c := p.config.Site, p.loop.clock
	s := ClusterIdentity{Tier: site.Balancer.Tier, StartedAtMs: c.start.UnixMilli(), Now: c.now, Overrides: p.overrides, Logger: p.config.Logger}
	if site.Balancer.Zone < len(site.Zones) {
		s.Zone = site.Zones[site.Balancer.Zone]
	}
	if p.config.Managed {
		s.StateDir = p.config.StateDir
	}
	return s
}

// meet has the fleet and the module hear of each other.
func (l *eventLoop) exchangeReports() {
	now := l.clock.now()
	if peers, ok := l.cluster.ExchangeReports(now, l.balancer.Reports, l.zoneNumbers); ok {
		l.balancer.HandlePeerReports(now, l, peers)
	}
}
