package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/settings"
)

// proxy is a hollow proxy: it follows the endpoint list, the cluster and the configuration, and one event
// loop owns its balancer.
type proxy struct {
	Proxy
	cfg          *Config
	log          *slog.Logger
	endpointList *endpointListFollower
	cluster      *clusterMember // nil without a cluster
	simulator    *callSimulator
	rollout      *rolloutFollower // nil without a service
}

// seededFault is a deliberate fault of a hollow proxy that the calibration must detect. Only tests set one.
type seededFault uint8

const (
	noFault     seededFault = iota
	skipsWatch              // the proxy fetches the list once and does not watch it
	skipsGossip             // the proxy does not gossip
	skipsApply              // the proxy receives configurations but applies none
)

// endpointListFollower records the updates of a proxy's endpoint list.
type endpointListFollower struct {
	client *discovery.Client

	mu       sync.Mutex
	versions []VersionTime
	servers  map[string]string // status by name
	removed  []Death           // servers removed without draining
	baseline discovery.Metrics // metrics at the last ResetMetrics
}

// newProxy creates a hollow proxy without starting it, except that its cluster transport is already open.
func newProxy(c *Config, p Proxy, log *slog.Logger, fault seededFault) (*proxy, error) {
	site, err := settings.Decode(c.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	h := &proxy{Proxy: p, cfg: c, log: log.With("proxy", p.Name)}
	h.endpointList = &endpointListFollower{servers: map[string]string{}, client: discovery.New(discovery.Config{
		Source: discovery.Source{Members: p.RegistryMembers}, Seed: p.Seed, Logger: h.log})}
	if h.simulator, err = newCallSimulator(c, p, site); err != nil {
		return nil, err
	}
	if c.Cluster != nil && fault != skipsGossip {
		if h.cluster, err = joinCluster(c.Cluster, p, h.log); err != nil {
			return nil, err
		}
	}
	if p.Service != "" {
		h.rollout = newRolloutFollower(h)
		h.rollout.appliesNothing = fault == skipsApply
	}
	return h, nil
}

// run runs the proxy until the context ends.
func (p *proxy) run(ctx context.Context, fault seededFault) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	followCtx, stopFollowing := context.WithCancel(ctx)
	defer stopFollowing()
	tasks.Go(func() { p.endpointList.client.Run(followCtx) })
	if p.rollout != nil {
		tasks.Go(func() { p.rollout.run(ctx) })
	}
	var peers <-chan timedSnapshot
	var exchangeTicks <-chan time.Time
	if p.cluster != nil {
		tasks.Go(func() { p.cluster.run(ctx) })
		peers = p.cluster.snapshots
		tick := time.NewTicker(exchangeInterval)
		defer tick.Stop()
		exchangeTicks = tick.C
	}
	r := rand.New(rand.NewPCG(p.Seed, 7))
	calls := time.NewTimer(p.simulator.nextCall(r))
	defer calls.Stop()
	for {
		select {
		case n := <-p.endpointList.client.Updates():
			p.endpointList.record(n.List)
			p.simulator.updateEndpoints(n.List)
			if fault == skipsWatch {
				stopFollowing()
			}
		case w := <-peers:
			p.cluster.latest = w
		case <-exchangeTicks:
			p.cluster.exchangeReports(p.simulator)
		case <-calls.C:
			p.simulator.call(ctx, r)
			calls.Reset(p.simulator.nextCall(r))
		case do := <-p.simulator.events:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// record records an update of the list, with the servers that it removes without draining.
func (f *endpointListFollower) record(l *discovery.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.versions); n == 0 || l.Version > f.versions[n-1].Version {
		f.versions = append(f.versions, VersionTime{l.Version, unixNano()})
	}
	before := f.servers
	if l.Snapshot {
		f.servers = map[string]string{}
	}
	for _, e := range l.Endpoints {
		if e.Status != discovery.StatusDeleted {
			f.servers[e.Name] = e.Status
			continue
		}
		f.recordRemoved(e.Name, before[e.Name])
		delete(f.servers, e.Name)
	}
	if l.Snapshot {
		for name, status := range before {
			if _, ok := f.servers[name]; !ok {
				f.recordRemoved(name, status)
			}
		}
	}
}

// recordRemoved records the removal of a server unless it was draining.
func (f *endpointListFollower) recordRemoved(name, status string) {
	if status == discovery.StatusServing {
		f.removed = append(f.removed, Death{name, unixNano()})
	}
}

// resetMetrics starts a new measurement period; the last version is kept.
func (f *endpointListFollower) resetMetrics() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.baseline, f.removed = f.client.Metrics(), nil
	if n := len(f.versions); n > 0 {
		f.versions = append([]VersionTime(nil), f.versions[n-1])
	}
}

// metrics returns the current metrics; versions and removed servers only with steps.
func (f *endpointListFollower) metrics(steps bool) ListMetrics {
	x := f.client.Metrics()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := ListMetrics{Servers: len(f.servers), Failovers: x.Failovers - f.baseline.Failovers,
		Failures: x.Failures - f.baseline.Failures, AgeMs: -1}
	if steps {
		out.Versions, out.Removed = append(out.Versions, f.versions...), append(out.Removed, f.removed...)
	}
	if x.Age >= 0 {
		out.AgeMs = float64(x.Age.Microseconds()) / 1000
	}
	return out
}

// notReadyReason returns why the proxy is not ready for a run; empty if it is ready.
func (p *proxy) notReadyReason() string {
	if p.endpointList.client.Metrics().Age < 0 {
		return p.Name + " has received no endpoint list"
	}
	if p.cluster != nil && p.cluster.node.Metrics().LiveMembers < 2 && len(p.Seeds) > 0 {
		return p.Name + " has found no other cluster member"
	}
	return ""
}

// metrics returns the current metrics; versions and removed servers only with steps.
func (p *proxy) metrics(steps bool) ProxyMetrics {
	out := ProxyMetrics{Name: p.Name, List: p.endpointList.metrics(steps), Calls: p.simulator.metrics()}
	if p.cluster != nil {
		out.Cluster = p.cluster.metrics()
	}
	if p.rollout != nil {
		out.Config = p.rollout.metrics(steps)
	}
	return out
}
