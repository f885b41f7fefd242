package proxy

import (
	"context"
	"log/slog"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/management"
	"merlinpick/internal/override"
)

// reportExchangeInterval is the time between two exchanges of reports between the balancer and the cluster.
const reportExchangeInterval = 100 * time.Millisecond

// Cluster is the proxy's membership in its cluster. All methods except Run may be called before Run and from
// any goroutine.
type Cluster interface {
	// Run participates in the cluster until the context ends.
	Run(ctx context.Context)
	// NotifyOverride tells the whole cluster that an operator has suspended or resumed a server. It serves as
	// override.Config.Notify and returns the same errors.
	NotifyOverride(server string, suspended bool) error
	// Metrics returns the current metrics of the cluster membership.
	Metrics() *management.Cluster
	// ExchangeReports publishes what the balancer has observed until now (in microseconds, from
	// ClusterIdentity.Now) and returns the reports of the other members. zones maps zone names to the
	// balancer's numbers. It does not block. It returns false, without calling observed, while the cluster's
	// address is not open.
	ExchangeReports(now int64, observed func(now int64) []balancer.Report, zones map[string]int) (balancer.PeerReports, bool)
}

// ClusterIdentity describes a proxy to its cluster.
type ClusterIdentity struct {
	Zone        string              // zone name; empty: unknown
	Tier        int                 // tier number
	StartedAtMs int64               // start of this process, in Unix milliseconds
	StateDir    string              // directory for state that outlives the process; empty: none
	Now         func() int64        // the loop's clock, in microseconds
	Overrides   *override.Overrides // receives the cluster's suspensions; nil without a management address
	Logger      *slog.Logger
}

// ClusterPlan describes a cluster that a proxy is to join.
type ClusterPlan struct {
	Open        func(ClusterIdentity) (Cluster, error)
	Descriptors int // the most file descriptors that the membership uses

	// Cluster features that are switched off. A reload can change them.
	DisableFlapDamping, DisableWeightTuning bool
}

// clusterIdentity returns what this proxy announces to its cluster.
func (p *Proxy) clusterIdentity() ClusterIdentity {
	site, clock := p.config.Site, p.loop.clock
	identity := ClusterIdentity{Tier: site.Balancer.Tier, Zone: site.LocalZone(), StartedAtMs: clock.start.UnixMilli(), Now: clock.now,
		Overrides: p.overrides, Logger: p.config.Logger}
	if p.config.Managed {
		identity.StateDir = p.config.StateDir
	}
	return identity
}

// exchangeReports sends the balancer's reports to the cluster, and the cluster's reports to the balancer.
func (l *eventLoop) exchangeReports() {
	now := l.clock.now()
	if peers, ok := l.cluster.ExchangeReports(now, l.balancer.Reports, l.zoneNumbers); ok {
		l.balancer.HandlePeerReports(now, l, peers)
	}
}
