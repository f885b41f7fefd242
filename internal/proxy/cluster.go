package proxy

import (
	"context"
	"log/slog"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/management"
	"merlinpick/internal/override"
)

// reportExchangeInterval is between two exchanges of reports between the balancer and the cluster.
const reportExchangeInterval = 100 * time.Millisecond

// Cluster is a proxy's part in its cluster. All but Run may be called before Run and from any goroutine.
type Cluster interface {
	// Run takes part until the context ends.
	Run(ctx context.Context)
	// NotifyOverride passes an operator's call on to the whole cluster: a server suspended or resumed. It is
	// override.Config.Notify, with the same errors.
	NotifyOverride(server string, suspended bool) error
	Metrics() *management.Cluster
	// ExchangeReports publishes what the balancer has observed by now (microseconds of ClusterIdentity.Now), and returns
	// what the other members have; zones are numbers by name. It does not wait. It returns false while the cluster's
	// address is not open: observed is not called then.
	ExchangeReports(now int64, observed func(now int64) []balancer.Report, zones map[string]int) (balancer.PeerReports, bool)
}

// ClusterIdentity is what a proxy announces of itself in its cluster.
type ClusterIdentity struct {
	Zone        string              // by name; empty: unknown
	Tier        int                 // its number
	StartedAtMs int64               // of this process, Unix milliseconds
	StateDir    string              // directory of what outlives the process; empty: none
	Now         func() int64        // the loop's clock, microseconds
	Overrides   *override.Overrides // to apply the cluster's suspensions to; nil without a management address
	Logger      *slog.Logger
}

// ClusterPlan is a cluster that a proxy is to be a member of.
type ClusterPlan struct {
	Open        func(ClusterIdentity) (Cluster, error)
	Descriptors int // that it holds at most

	// Parts of the cluster's work that are switched off; a reload changes them.
	DisableFlapDamping, DisableWeightTuning bool
}

func (p *Proxy) clusterIdentity() ClusterIdentity {
	site, clock := p.config.Site, p.loop.clock
	identity := ClusterIdentity{Tier: site.Balancer.Tier, StartedAtMs: clock.start.UnixMilli(), Now: clock.now,
		Overrides: p.overrides, Logger: p.config.Logger}
	if site.Balancer.Zone < len(site.Zones) {
		identity.Zone = site.Zones[site.Balancer.Zone]
	}
	if p.config.Managed {
		identity.StateDir = p.config.StateDir
	}
	return identity
}

// exchangeReports passes reports between the balancer and the cluster, both ways.
func (l *eventLoop) exchangeReports() {
	now := l.clock.now()
	if peers, ok := l.cluster.ExchangeReports(now, l.balancer.Reports, l.zoneNumbers); ok {
		l.balancer.HandlePeerReports(now, l, peers)
	}
}
