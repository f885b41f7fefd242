// Package cluster makes a proxy a member of a cluster of proxies. It reads the "fleet" section of the
// configuration and connects package transport with the proxy's balancer and with operators' overrides. It
// makes no decisions itself. Only programs that can join a cluster import it.
package cluster

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/adapter"
	"merlinpick/internal/cluster/transport"
	"merlinpick/internal/management"
	"merlinpick/internal/override"
	"merlinpick/internal/proxy"
)

const (
	maxSnapshotAge  = time.Second            // with an older one the balancer is told that it is isolated
	bindInterval    = 200 * time.Millisecond // between attempts while another process has the address
	bindLogInterval = time.Minute            // shortest time between log lines about failed attempts
)

// member implements proxy.Cluster.
type member struct {
	cfg         transport.Config
	overrides   *override.Overrides            // nil without a state directory
	node        atomic.Pointer[transport.Node] // nil until the cluster address is open
	latest      atomic.Pointer[timedSnapshot]
	unknownZone atomic.Int64 // entries about or from zones that this proxy does not know

	mu              sync.Mutex
	remoteOverrides map[string]bool // by server: suspended; as of the last snapshot or a later call of NotifyOverride
}

// timedSnapshot is a snapshot with the time at which it was received.
type timedSnapshot struct {
	transport.Snapshot
	receivedAt int64 // microseconds
}

// newMember binds the cluster address. If another process has it, usually a predecessor of this one, Run
// tries again: the start of a proxy waits neither for its cluster nor for a predecessor. Other errors are
// those of transport.Open.
func newMember(cfg transport.Config, identity proxy.ClusterIdentity) (*member, error) {
	cfg.Zone, cfg.Tier = identity.Zone, strconv.Itoa(identity.Tier)
	cfg.StartedAtMs, cfg.StateDir = identity.StartedAtMs, identity.StateDir
	cfg.Now, cfg.Logger = identity.Now, identity.Logger
	m := &member{cfg: cfg, overrides: identity.Overrides}
	if err := m.open(); err != nil && !errors.Is(err, syscall.EADDRINUSE) {
		return nil, err
	}
	return m, nil
}

// open tries once to open the cluster address.
func (m *member) open() error {
	node, err := transport.Open(m.cfg)
	if err == nil {
		m.node.Store(node)
	}
	return err
}

// Run takes part in the cluster until the context ends.
func (m *member) Run(ctx context.Context) {
	if !m.bind(ctx) {
		return
	}
	node := m.node.Load()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		node.Run(ctx)
	}()
	for {
		select {
		case snapshot := <-node.Snapshots():
			m.latest.Store(&timedSnapshot{snapshot, m.cfg.Now()})
			m.applyOverrides(snapshot.Overrides)
		case <-ended:
			return
		}
	}
}

// bind tries to open the address until it succeeds. It returns false if the context ended before.
func (m *member) bind(ctx context.Context) bool {
	ticker := time.NewTicker(bindInterval)
	defer ticker.Stop()
	var lastLogged time.Time
	for m.node.Load() == nil {
		err := m.open()
		if err == nil {
			break
		}
		if time.Since(lastLogged) >= bindLogInterval {
			lastLogged = time.Now()
			m.cfg.Logger.Warn("cluster address not open, retrying", "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// applyOverrides passes the cluster's overrides to the proxy. If the cluster resumed a server, it removes the
// proxy's own suspension of that server.
func (m *member) applyOverrides(overrides map[string]bool) {
	if m.overrides == nil {
		return
	}
	m.mu.Lock()
	previous := m.remoteOverrides
	if maps.Equal(previous, overrides) {
		m.mu.Unlock()
		return
	}
	m.remoteOverrides = overrides
	m.overrides.SetRemote(overrides)
	m.mu.Unlock()
	for server, suspended := range overrides {
		if suspended || !previous[server] {
			continue
		}
		if err := m.overrides.ClearLocal(server); err != nil {
			m.cfg.Logger.Error("resumed server still suspended by this proxy", "endpoint", server, "error", err)
		}
	}
}

// NotifyOverride passes an operator's suspension or resumption to all members. The error is one of
// transport.Node.Suspend.
func (m *member) NotifyOverride(server string, suspended bool) error {
	node := m.node.Load()
	if node == nil {
		return transport.ErrClosed
	}
	set := node.Resume
	if suspended {
		set = node.Suspend
	}
	if err := set(server); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	overrides := maps.Clone(m.remoteOverrides)
	if overrides == nil {
		overrides = map[string]bool{}
	}
	overrides[server] = suspended
	m.remoteOverrides = overrides
	m.overrides.SetRemote(overrides)
	return nil
}

// Metrics returns the member's metrics. Until the address is open, they say only that the member is isolated.
func (m *member) Metrics() *management.Cluster {
	node := m.node.Load()
	if node == nil {
		return &management.Cluster{LiveMembers: 1, LiveMembersInZone: 1, Isolated: true}
	}
	metrics := node.Metrics()
	metrics.Rejected["zone"] = m.unknownZone.Load()
	return &management.Cluster{
		Open:              true,
		LiveMembers:       metrics.LiveMembers,
		LiveMembersInZone: metrics.LiveMembersInZone,
		Isolated:          metrics.Isolated,
		Isolations:        metrics.Isolations,
		Entries:           metrics.Entries,
		OldestEntry:       metrics.OldestEntry,
		SuspendedServers:  metrics.SuspendedServers,
		BytesIn:           metrics.BytesIn,
		BytesOut:          metrics.BytesOut,
		Sent:              metrics.Sent,
		Dropped:           metrics.Dropped,
		Joined:            metrics.Joined,
		Left:              metrics.Left,
		JoinAttempts:      metrics.JoinAttempts,
		JoinFailures:      metrics.JoinFailures,
		Rejected:          metrics.Rejected,
	}
}

// ExchangeReports publishes this proxy's reports and returns those of the other live members. Until the
// address is open, ok is false and the balancer works as if there were no cluster. now is in microseconds.
func (m *member) ExchangeReports(now int64, reports func(int64) []balancer.Report, zones map[string]int) (
	peers balancer.PeerReports, ok bool) {
	node := m.node.Load()
	if node == nil {
		return balancer.PeerReports{}, false
	}
	node.Publish(adapter.ToObservations(reports(now), zones))
	snapshot := m.latest.Load()
	if snapshot == nil || now-snapshot.receivedAt > maxSnapshotAge.Microseconds() {
		return balancer.PeerReports{LiveReplicas: 1, LiveReplicasInZone: 1, Isolated: true}, true
	}
	peerReports, unknownZone := adapter.ToReports(now, snapshot.PeerEntries, zones)
	m.unknownZone.Add(unknownZone)
	return balancer.PeerReports{LiveReplicas: snapshot.LiveMembers, LiveReplicasInZone: snapshot.LiveMembersInZone,
		Isolated: snapshot.Isolated, Reports: peerReports}, true
}
