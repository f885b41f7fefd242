// Package proxy forwards HTTP/1.1 requests from clients to the backends that the balancer chooses. It carries
// out decisions but makes none: package balancer decides which server gets an attempt, whether to retry, and
// when to give up a request.
//
// Goroutines and what each owns:
//   - the event loop (eventLoop.run): the balancer, the table of requests, the endpoint list, the operators'
//     overrides.
//   - one per client connection (net/http): its clientconn.Conn, and the request that it reads and responds
//     to (downstream).
//   - one per attempt (upstream.Attempt.Run): its connection to a backend, until it posts the result to the
//     loop.
//   - one per lingering client connection (clientconn), per response without a length (upstream) and per
//     streamed upload (downstream). Each ends when the owner of its source closes that source.
//   - those that Proxy.Run starts: the discovery client, the store of overrides, the cluster member, the
//     wait for a predecessor's exit, the handover server. Run returns after all of these have ended.
//
// Types that several goroutines share have a lock: downstream.Server (connections, uploads, settings in use),
// upstream.Pool, metrics, audit.Recorder.
package proxy

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/management"
	"merlinpick/internal/override"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/handover"
	"merlinpick/internal/proxy/upstream"
)

// Proxy is one process of a proxy, with its listener open. During a handover two processes of the same proxy
// run.
type Proxy struct {
	config     Config
	loop       *eventLoop
	frontend   *downstream.Server
	metrics    *metrics
	listClient *discovery.Client
	overrides  *override.Overrides // nil without a management address
	cluster    Cluster             // nil for a proxy without a cluster

	predecessor    *handover.Predecessor           // nil if none was found at the start
	handover       atomic.Pointer[handover.Server] // set once this process serves, with a management address
	otherProcesses atomic.Int32                    // processes of this proxy that run besides this one

	// drainTimes returns for how long a draining process keeps accepting, and within what time it must end.
	drainTimes func([]balancer.Class) (acceptFor, endWithin time.Duration)
	// syncTimeout limits the wait for discovery to confirm the list before this process is ready; 0: no wait.
	syncTimeout time.Duration
}

// New opens the listener; Run serves clients. It fails with a DescriptorLimitError, or an error of the
// settings, the listener, the state directory or the cluster's address.
func New(cfg Config) (*Proxy, error) {
	engine, err := balancer.New(cfg.balancerSettings(), cfg.Seed)
	if err != nil {
		return nil, err
	}
	clients, backends, _ := cfg.connLimits(false)
	if min(clients, backends) < minConns {
		return nil, &DescriptorLimitError{cfg.MaxDescriptors, clients, backends}
	}
	predecessor, err := cfg.findPredecessor()
	if err != nil {
		return nil, err
	}
	listener, err := cfg.listen(predecessor)
	if err != nil {
		return nil, err
	}
	p := assemble(cfg, engine, predecessor, listener)
	p.inheritState()
	p.applyInitialList()
	if err := p.openOverrides(); err != nil {
		listener.Close()
		return nil, err
	}
	if err := p.openCluster(); err != nil {
		listener.Close()
		return nil, err
	}
	return p, nil
}

// findPredecessor creates the state directory if needed and connects to the process that serves from it. It
// returns nil if there is none, or without a management address.
func (cfg Config) findPredecessor() (*handover.Predecessor, error) {
	if !cfg.Managed {
		return nil, nil
	}
	if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
		return nil, fmt.Errorf("open the state directory: %w", err)
	}
	return handover.ConnectPredecessor(cfg.StateDir, cfg.Logger), nil
}

// assemble creates the components of a proxy and connects them.
func assemble(cfg Config, engine *balancer.Balancer, predecessor *handover.Predecessor, listener net.Listener) *Proxy {
	metrics := newMetrics(cfg.Site.Classes)
	_, backends, _ := cfg.connLimits(false)
	recorder := audit.New(cfg.Logger)
	pool := upstream.NewPool(upstream.Config{DialTimeout: cfg.Site.DialTimeout, IdleClose: cfg.Site.IdleTimeout, MaxOpen: backends,
		LocalZone: cfg.Site.LocalZone(), Audit: recorder, Logger: cfg.Logger, OnForwarded: metrics.attemptForwarded})
	pool.SetDrainGrace(cfg.Site.Balancer.DrainGrace)
	l := newEventLoop(loopConfig{
		balancer: engine, clock: clock{time.Now()}, pool: pool, zoneNumbers: newZoneNumbers(cfg.Site.Zones),
		metrics: metrics, audit: recorder, logger: cfg.Logger, managed: cfg.Managed, maxListAge: cfg.maxListAge(),
	})
	p := &Proxy{config: cfg, loop: l, metrics: metrics, predecessor: predecessor, drainTimes: downstream.DrainTimes, syncTimeout: cfg.syncTimeout()}
	if cfg.Managed {
		l.executions.share = p.shareExecution
		l.list.changed = p.notifyListChanged
	}
	p.openListClient()
	p.frontend = downstream.NewServer(downstream.Config{
		Site: cfg.Site, Settings: engine.Settings(), Listener: listener, Handler: l,
		RequestStarted: func(class string) func(int) { return metrics.requestStarted(class).finish },
		ListAvailable:  l.list.available, Audit: recorder, Logger: cfg.Logger,
	})
	p.applyResourceShare(false)
	return p
}

// openListClient creates the discovery client and passes its updates to the loop.
func (p *Proxy) openListClient() {
	site := p.config.Site
	topology := discovery.Topology{Tier: site.Balancer.Tier, TierCount: site.Tiers, Replicas: site.Balancer.Replicas}
	p.listClient = discovery.New(discovery.Config{
		Source: p.config.Discovery, LocalAgent: !site.Balancer.WatchEndpoints, Seed: p.config.Seed,
		Callers: discovery.EstimateCallers(topology), CacheDir: p.config.ListCacheDir, Logger: p.config.Logger,
	})
	p.loop.list.updates = p.listClient.Updates()
}

// openOverrides loads the operators' overrides and applies them. Without a management address it does
// nothing.
func (p *Proxy) openOverrides() error {
	if !p.config.Managed {
		return nil
	}
	l := p.loop
	cfg := override.Config{Dir: p.config.StateDir, KnownServers: l.list.knownServers, KnownZones: l.overrides.zones.knownZones,
		ServingZones: l.pool.ServingZones, Stopped: l.done, Logger: p.config.Logger}
	if p.config.Cluster != nil {
		cfg.Notify = func(server string, suspended bool) error { return p.cluster.NotifyOverride(server, suspended) }
	}
	var err error
	if p.overrides, err = override.Open(cfg); err != nil {
		return err
	}
	l.overrides.updates = p.overrides.Sets()
	l.applyOverrides(p.overrides.Current())
	return nil
}

// openCluster opens this proxy's membership in its cluster, if one is configured.
func (p *Proxy) openCluster() (err error) {
	if p.config.Cluster == nil {
		return nil
	}
	if p.cluster, err = p.config.Cluster.Open(p.clusterIdentity()); err != nil {
		return err
	}
	p.loop.cluster = p.cluster
	return nil
}

// Reload applies the settings of a new configuration to the requests that arrive from now on, and switches to
// its discovery address. The rest of the configuration takes effect at the next start. If Reload fails, with
// ErrStopped or an error of the settings, the current settings stay in force.
func (p *Proxy) Reload(cfg Config) error {
	failed := make(chan error, 1)
	p.loop.post(func() { failed <- p.loop.reconfigure(cfg.Site, cfg.balancerSettings(), p.frontend) })
	select {
	case err := <-failed:
		if err != nil {
			return err
		}
	case <-p.loop.done:
		return ErrStopped
	}
	p.metrics.setClasses(cfg.Site.Classes)
	p.loop.post(func() { p.loop.list.status.sourceChanged(time.Now()) })
	p.listClient.SetSource(cfg.Discovery)
	return nil
}

// RecordReload counts a reload as applied or rejected.
func (p *Proxy) RecordReload(applied bool) { p.metrics.recordReload(applied) }

// Metrics returns the current counters and gauges.
func (p *Proxy) Metrics() management.Metrics {
	m := p.metrics.snapshot()
	m.RuleViolations = p.loop.audit.Violations()
	maps.Copy(m.Events, p.loop.audit.Events())
	list := p.listClient.Metrics()
	m.EndpointList = &management.EndpointList{Age: list.Age, Failures: list.Failures, Calls: list.CallResults, Stale: p.loop.list.status.isStale()}
	if list.FromRegistry {
		m.EndpointList.Registry = &management.RegistryClient{Failovers: list.Failovers, RetainedEndpoints: list.RetainedEndpoints}
	}
	if p.cluster != nil {
		m.Cluster = p.cluster.Metrics()
	}
	return m
}

// Addr returns the address on which clients connect.
func (p *Proxy) Addr() string { return p.frontend.Listener.Addr().String() }

// Run serves until the context ends, then drains: it finishes the requests that it has accepted. It returns
// when all of the proxy's goroutines have ended, with an error if the listener failed.
func (p *Proxy) Run(ctx context.Context) error {
	afterDrain, stop := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer stop()
	goroutines.Go(func() { p.loop.run(afterDrain) })
	if p.overrides != nil {
		goroutines.Go(func() { p.overrides.Run(afterDrain) })
	}
	goroutines.Go(func() { p.listClient.Run(afterDrain) })
	if p.cluster != nil {
		// The proxy leaves the cluster when the drain begins, to free the address for a successor.
		memberCtx, leave := context.WithCancel(ctx)
		defer leave()
		goroutines.Go(func() { p.cluster.Run(memberCtx) })
	}
	if p.predecessor != nil {
		goroutines.Go(func() { p.predecessor.AwaitExit(p.otherProcessReceiver()); p.addOtherProcesses(-1) })
		p.predecessor.ShareLists(p.exportList)
		defer p.predecessor.Close()
	}
	if p.syncTimeout > 0 {
		p.frontend.SetAwaitingSync(true)
		goroutines.Go(func() { p.awaitSync(afterDrain) })
	}
	served := make(chan error, 1)
	goroutines.Go(func() { served <- p.serve(ctx) })
	defer p.closeHandover()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	p.drain()
	return <-served
}
