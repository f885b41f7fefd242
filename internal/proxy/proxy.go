// Package proxy forwards HTTP/1.1 requests from clients to the backends that the balancer chooses. It carries decisions
// out and makes none: which server takes an attempt, whether there is another, and when a request is given up are package
// balancer's.
//
// Goroutines and what each owns:
//   - the event loop (eventLoop.run): the balancer, the table of requests, the endpoint list, the operators' overrides.
//   - one for each client connection (net/http): its clientconn.Conn, and the request that it reads and answers (downstream).
//   - one for each attempt (upstream.Attempt.Run): its connection to a backend, until it posts the result to the loop.
//   - one for each lingering connection of a client (clientconn), each response without a length (upstream) and each
//     streamed upload (downstream); the owner of what they read ends them.
//   - Proxy.Run's own: discovery's client, the overrides' store, the cluster member, the wait for a predecessor's exit,
//     the handover server. Run returns after all of these.
//
// What several of them use has a lock: downstream.Server (connections, uploads, settings in use), upstream.Pool, metrics,
// audit.Recorder.
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

// Proxy is one proxy with its listener open.
type Proxy struct {
	config     Config
	loop       *eventLoop
	frontend   *downstream.Server
	metrics    *metrics
	listClient *discovery.Client
	overrides  *override.Overrides // nil without a management address
	cluster    Cluster             // nil for a proxy on its own

	predecessor    *handover.Predecessor           // nil if none was found at the start
	handover       atomic.Pointer[handover.Server] // set once this process serves, with a management address
	otherProcesses atomic.Int32                    // of this proxy, that run beside this one

	drainTimes  func([]balancer.Class) (stay, left time.Duration)
	syncTimeout time.Duration // for discovery to confirm the list; this process is ready without after it; 0: at once
}

// New opens the listener; clients are served from Run on. It fails with a DescriptorLimitError, an error of the settings,
// or one of the listener, the state directory or the cluster's address.
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
	p.inherit()
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

// findPredecessor opens the state directory and looks for a process that serves; nil without one.
func (cfg Config) findPredecessor() (*handover.Predecessor, error) {
	if !cfg.Managed {
		return nil, nil
	}
	if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
		return nil, fmt.Errorf("open the state directory: %w", err)
	}
	return handover.ConnectPredecessor(cfg.StateDir, cfg.Logger), nil
}

// assemble connects the parts.
func assemble(cfg Config, engine *balancer.Balancer, predecessor *handover.Predecessor, listener net.Listener) *Proxy {
	metrics := newMetrics(cfg.Site.Classes)
	_, backends, _ := cfg.connLimits(false)
	recorder := audit.New(cfg.Logger)
	pool := upstream.NewPool(upstream.Config{DialTimeout: cfg.Site.DialTimeout, IdleClose: cfg.Site.IdleTimeout, MaxOpen: backends,
		Audit: recorder, Logger: cfg.Logger, OnForwarded: metrics.attemptForwarded})
	pool.SetDrainGrace(cfg.Site.Balancer.DrainGrace)
	l := newEventLoop(loopConfig{
		balancer: engine, clock: clock{time.Now()}, pool: pool, zoneNumbers: newZoneNumbers(cfg.Site.Zones),
		metrics: metrics, audit: recorder, logger: cfg.Logger, managed: cfg.Managed, maxListAge: cfg.maxListAge(),
	})
	p := &Proxy{config: cfg, loop: l, metrics: metrics, predecessor: predecessor, drainTimes: downstream.DrainTimes, syncTimeout: cfg.syncTimeout()}
	p.openListClient()
	p.frontend = downstream.NewServer(downstream.Config{
		Site: cfg.Site, Settings: engine.Settings(), Listener: listener, Handler: l,
		RequestStarted: func(class string) func(int) { return metrics.requestStarted(class).finish },
		ListAvailable:  l.list.available, Audit: recorder, Logger: cfg.Logger,
	})
	p.applyResourceShare(false)
	return p
}

// openListClient connects discovery's updates to the loop.
func (p *Proxy) openListClient() {
	site := p.config.Site
	topology := discovery.Topology{Tier: site.Balancer.Tier, TierCount: site.Tiers, Replicas: site.Balancer.Replicas}
	p.listClient = discovery.New(discovery.Config{
		Source: p.config.Discovery, Pushed: !site.Balancer.WatchEndpoints, Seed: p.config.Seed,
		Callers: discovery.EstimateCallers(topology), CacheDir: p.config.ListCacheDir, Logger: p.config.Logger,
	})
	p.loop.list.updates = p.listClient.Updates()
}

// applyInitialList has requests routed by a list before discovery has answered, if there is one.
func (p *Proxy) applyInitialList() {
	if list := p.initialList(); list != nil {
		p.loop.list.status.setInitial(list)
		p.loop.applyList(balancer.UpdateCached, list)
	}
	p.loop.list.status.checkStale(time.Now())
}

// initialList is the newest list that the proxy can begin with, its own cached one or the configuration's; nil without.
func (p *Proxy) initialList() *discovery.List {
	configured := p.config.InitialList
	if p.config.ListCacheDir == "" {
		if configured != nil && len(p.config.Discovery.Members) == 0 {
			p.listClient.SetInitialList(configured)
		}
		return configured
	}
	cached, err := discovery.LoadCachedList(p.config.ListCacheDir)
	if err != nil { // not needed: the registry sends the whole list
		p.config.Logger.Error("cached endpoint list not used", "error", err)
	}
	if cached == nil || configured != nil && configured.Version > cached.Version {
		return configured
	}
	p.listClient.SetInitialList(cached)
	return cached
}

// openOverrides loads the operators' overrides and puts them in force, with a management address.
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

// openCluster opens this proxy's part in a cluster, if it is to be one of it.
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

// Reload puts another configuration's settings in force for the requests that come from now on, and its discovery address.
// The rest of it waits for a restart. With an error (ErrStopped, or one of the settings) the settings in force are unchanged.
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

// RecordReload counts a reload by whether its configuration was applied.
func (p *Proxy) RecordReload(applied bool) { p.metrics.recordReload(applied) }

// Metrics are the counts and gauges at this moment.
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

// Addr is where clients connect.
func (p *Proxy) Addr() string { return p.frontend.Listener.Addr().String() }

// Run serves until the context ends, then drains: it finishes the requests that it has taken. It returns when all of the
// proxy's goroutines have ended, with an error if the listener failed.
func (p *Proxy) Run(ctx context.Context) error {
	afterDrain, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { p.loop.run(afterDrain) })
	if p.overrides != nil {
		parts.Go(func() { p.overrides.Run(afterDrain) })
	}
	parts.Go(func() { p.listClient.Run(afterDrain) })
	if p.cluster != nil {
		present, leave := context.WithCancel(ctx) // it leaves as the drain begins: a successor may want the address
		defer leave()
		parts.Go(func() { p.cluster.Run(present) })
	}
	if p.predecessor != nil {
		parts.Go(func() { p.predecessor.AwaitExit(); p.addOtherProcesses(-1) })
		defer p.predecessor.Close()
	}
	if p.syncTimeout > 0 {
		p.frontend.SetAwaitingSync(true)
		parts.Go(func() { p.awaitSync(afterDrain) })
	}
	served := make(chan error, 1)
	parts.Go(func() { served <- p.serve(ctx) })
	defer p.closeHandover()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	p.drain()
	return <-served
}
