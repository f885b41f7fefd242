package hollow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/adapter"
	"merlinpick/internal/cluster/transport"
)

const (
	exchangeInterval = 100 * time.Millisecond // same as in a real proxy
	maxSnapshotAge   = time.Second            // same as in package cluster
	tier             = "0"
)

// timedSnapshot is a cluster snapshot and the Unix time of its arrival in microseconds.
type timedSnapshot struct {
	transport.Snapshot
	receivedAt int64
}

// clusterMember is a hollow proxy's membership of the cluster. It mirrors package cluster.
type clusterMember struct {
	node      *transport.Node
	snapshots chan timedSnapshot // holds at most the newest snapshot
	latest    timedSnapshot      // used by the proxy's event loop only

	mu          sync.Mutex
	entryAgesMs []float64 // of the live peer entries, in milliseconds
}

// joinCluster opens the transport of a proxy and returns its membership, which starts with run.
func joinCluster(cfg *Cluster, p Proxy, log *slog.Logger) (*clusterMember, error) {
	node, err := transport.Open(transport.Config{Name: p.Name, Zone: p.Zone, Tier: tier, Bind: p.Bind,
		Advertise: p.Advertise, Label: cfg.Label, Seeds: p.Seeds,
		StartedAtMs: time.Now().UnixMilli(), Now: nowMicros, Logger: log})
	if err != nil {
		return nil, err
	}
	return &clusterMember{node: node, snapshots: make(chan timedSnapshot, 1)}, nil
}

// run gossips until the context ends and replaces the snapshot in the channel by each newer one.
func (m *clusterMember) run(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.node.Run(ctx)
	}()
	for {
		select {
		case s := <-m.node.Snapshots():
			select {
			case <-m.snapshots:
			default:
			}
			m.snapshots <- timedSnapshot{s, nowMicros()}
		case <-ended:
			return
		}
	}
}

// exchangeReports publishes the balancer's reports and passes the other members' reports to the balancer.
func (m *clusterMember) exchangeReports(d *callSimulator) {
	at := nowMicros()
	m.node.Publish(adapter.ToObservations(d.balancer.Reports(at), d.zones))
	peers := balancer.PeerReports{LiveReplicas: 1, LiveReplicasInZone: 1, Isolated: true}
	if snapshot := &m.latest; snapshot.receivedAt != 0 && at-snapshot.receivedAt <= maxSnapshotAge.Microseconds() {
		reports, _ := adapter.ToReports(at, snapshot.PeerEntries, d.zones)
		peers = balancer.PeerReports{LiveReplicas: snapshot.LiveMembers, LiveReplicasInZone: snapshot.LiveMembersInZone,
			Isolated: snapshot.Isolated, Reports: reports}
		ages := make([]float64, 0, len(snapshot.PeerEntries))
		for i := range snapshot.PeerEntries {
			if e := &snapshot.PeerEntries[i]; !e.Withdrawn && e.ExpiresAt() > at {
				ages = append(ages, float64(at-e.ObservedAt)/1000)
			}
		}
		m.mu.Lock()
		m.entryAgesMs = ages
		m.mu.Unlock()
	}
	d.balancer.HandlePeerReports(at, d, peers)
}

// metrics returns the current metrics of the membership.
func (m *clusterMember) metrics() *ClusterMetrics {
	m.mu.Lock()
	ages := m.entryAgesMs
	m.mu.Unlock()
	return newClusterMetrics(m.node.Metrics(), ages)
}
