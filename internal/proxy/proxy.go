// Package proxy is the real proxy round the decision module: clients on one side, backends and discovery on
// the other. One goroutine, the loop, owns the module; the rest carry out what it decides and report back.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/management"
	"merlinpick/internal/override"
	"merlinpick/internal/settings"
)

const (
	drainAcceptPeriod = 550 * time.Millisecond // new connections may still come for this long after SIGTERM
	killDelay         = 3 * time.Second        // SIGKILL comes the longest deadline, or this, after SIGTERM
	killDelayMargin   = 500 * time.Millisecond // and somewhat more
	drainPollInterval = 20 * time.Millisecond
)

// Config is what a proxy is told at its start.
type Config struct {
	Listen         string
	Discovery      discovery.Source
	Seed           uint64
	MaxDescriptors int             // descriptors that the process may hold
	InitialList    *discovery.List // the list as last known; may be nil
	ListCacheDir   string          // folder of the last list, for a Discovery with members; empty: none
	StateDir       string          // folder of what outlives the process; with Watched
	Managed        bool            // there is a management address: figures are kept up and descriptors reserved for its callers
	Site           *settings.Site
	Logger         *slog.Logger

	Cluster *ClusterPlan // has the proxy be one of a fleet; nil: it is on its own

	BodyMemory int // bytes of memory for bodies that are held; 0 for a default

	// Memory is told what part of the memory limit is this process's; may be nil.
	OnMemoryShare func(part float64)
}

// Proxy is one proxy with its listener open.
type Proxy struct {
	config         Config
	loop           *eventLoop
	frontend       *frontend
	metrics        *metrics
	listClient     *discovery.Client
	overrides      *override.Overrides                               // nil unless watched
	cluster        Cluster                                           // nil on its own
	predecessor    *predecessor                                      // the one that lives, or nil
	handover       atomic.Pointer[handoverServer]                    // once this process serves, if watched
	otherProcesses atomic.Int32                                      // processes of this proxy that live beside this one
	drainTimes     func([]balancer.Class) (stay, left time.Duration) // of a drain

	syncTimeout time.Duration // for discovery to confirm the list, before this process is ready without
}

// New opens the listener; clients are served from Run on.
func New(cfg Config) (*Proxy, error) {
	bal, err := balancer.New(cfg.balancerSettings(), cfg.Seed)
	if err != nil {
		return nil, err
	}
	clients, backends, _ := cfg.connLimits(false)
	if min(clients, backends) < minConns {
		return nil, fmt.Errorf("%d sockets are too few", cfg.MaxDescriptors)
	}
	var before *predecessor
	if cfg.Managed {
		if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
		before = connectPredecessor(cfg.StateDir, cfg.Logger)
	}
	listener, err := cfg.listen(before)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	figs := newMetrics(cfg.Site.Classes)
	pool := newBackendPool(cfg.Site.DialTimeout, cfg.Site.IdleClose, backends, figs)
	pool.logger = cfg.Logger
	l := newEventLoop(bal, clock{time.Now()}, pool, newZoneNumbers(cfg.Site.Zones), figs, cfg.Logger)
	l.managed = cfg.Managed
	l.listStatus.maxAge = cfg.maxListAge()
	pool.audit = l.audit
	pool.setDrainGrace(cfg.Site.Balancer.DrainGrace)
	p := &Proxy{config: cfg, loop: l, metrics: figs, predecessor: before, drainTimes: drainTimes, syncTimeout: cfg.syncTimeout()}
	p.openListClient()
	p.frontend = newFrontend(cfg.Site, l, listener, cfg.Logger)
	p.applyResourceShare(false)
	if before != nil {
		p.syncTimeout = min(p.syncTimeout, listSyncTimeout)
		bal.ImportRetryBudget(before.state.retryBudgetAt(l.clock.now()))
		l.knownServers.Add(before.state.KnownServers...)
		p.addOtherProcesses(1)
	}
	if known := p.initialList(); known != nil {
		l.listStatus.setInitial(known)
		l.applyList(balancer.UpdateCached, known)
	}
	l.listStatus.checkStale(time.Now())
	if cfg.Managed {
		of := override.Config{Dir: cfg.StateDir, KnownServers: l.knownServers, KnownZones: l.zoneOverrides.knownZones, ServingZones: l.pool.servingZones,
			Stopped: l.done, Logger: cfg.Logger}
		if cfg.Cluster != nil {
			of.Notify = func(nodo string, suspended bool) error { return p.cluster.NotifyOverride(nodo, suspended) }
		}
		p.overrides, err = override.Open(of)
		if err != nil {
			listener.Close()
			return nil, err
		}
		l.overrideUpdates = p.overrides.Sets()
		l.applyOverrides(p.overrides.Current())
	}
	if cfg.Cluster != nil {
		if p.cluster, err = cfg.Cluster.Open(p.clusterIdentity()); err != nil {
			listener.Close()
			return nil, err
		}
		l.cluster = p.cluster
	}
	return p, nil
}

// listen takes the predecessor's listener over, or opens one. On the platform a predecessor whose word did not come
// leaves the address to be shared.
func (cfg Config) listen(before *predecessor) (net.Listener, error) {
	if before != nil {
		return before.listener, nil
	}
	var lc net.ListenConfig
	if cfg.Managed {
		lc.Control = func(_, _ string, c syscall.RawConn) error {
			var set error
			if err := c.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
			}); err != nil {
				return err
			}
			return set
		}
	}
	return lc.Listen(context.Background(), "tcp", cfg.Listen)
}

// soReusePort is SO_REUSEPORT, which package syscall does not name on Linux.
const soReusePort = 0xf

// handOver tells a successor what it needs to know, and shares with it from then on.
func (p *Proxy) exportState() (handoverState, error) {
	out := make(chan handoverState, 1)
	p.loop.post(func() {
		now := p.loop.clock.now()
		used := p.loop.balancer.ExportRetryBudget(now)
		out <- handoverState{RetryBudget: retryBudgetUsage{used.Requests, used.Retries}, KnownServers: p.loop.knownServers.All(), Now: now}
	})
	select {
	case l := <-out:
		p.addOtherProcesses(1)
		return l, nil
	case <-p.loop.done:
		return handoverState{}, errors.New("this process is at its end")
	}
}

// serve takes clients. With a predecessor alive that waits for a list from discovery, or for too long: until then
// the predecessor takes them all.
func (p *Proxy) serve(ctx context.Context) error {
	if p.predecessor != nil {
		late := time.NewTimer(listSyncTimeout)
		defer late.Stop()
		select {
		case <-p.loop.listSynced:
		case <-late.C:
			p.config.Logger.Warn("no list from discovery yet, serving by the one last known")
		case <-ctx.Done():
			return nil
		}
	}
	if p.config.Managed {
		if err := p.openHandover(); err != nil { // not worth an end: a successor then shares the address, at some cost
			p.config.Logger.Error("no successor can take over", "error", err)
		}
	}
	if !p.frontend.isHealthy() {
		p.config.Logger.Info("not ready yet", "missing", p.NotReadyReason())
	}
	if p.predecessor != nil {
		if err := p.predecessor.notifyServing(); err != nil {
			p.config.Logger.Warn("the predecessor has ended", "error", err)
		}
	}
	return p.frontend.serve()
}

// Reload puts another configuration in force: its settings for the requests that come from now on, and its
// address of discovery. The rest of it waits for a restart. With an error nothing has changed.
func (p *Proxy) Reload(cfg Config) error {
	failed := make(chan error, 1)
	p.loop.post(func() { failed <- p.loop.reconfigure(cfg.Site, cfg.balancerSettings(), p.frontend) })
	select {
	case err := <-failed:
		if err != nil {
			return err
		}
	case <-p.loop.done:
		return errors.New("the proxy is at its end")
	}
	p.metrics.setClasses(cfg.Site.Classes)
	p.loop.post(func() { p.loop.listStatus.sourceChanged(time.Now()) })
	p.listClient.SetSource(cfg.Discovery)
	return nil
}

// follow has the loop hear of the list.
func (p *Proxy) openListClient() {
	site := p.config.Site
	p.listClient = discovery.New(discovery.Config{Source: p.config.Discovery, Pushed: !site.Balancer.WatchEndpoints, Seed: p.config.Seed,
		Callers: discovery.EstimateCallers(discovery.Topology{Tier: site.Balancer.Tier, TierCount: site.Tiers, Replicas: site.Balancer.Replicas}), StateDir: p.config.ListCacheDir, Logger: p.config.Logger})
	p.loop.listUpdates = p.listClient.Updates()
}

// known is the newest list that the proxy can begin with: what it kept itself, or what its configuration says.
func (p *Proxy) initialList() *discovery.List {
	if p.config.ListCacheDir == "" {
		if p.config.InitialList != nil && len(p.config.Discovery.Members) == 0 {
			p.listClient.SetInitialList(p.config.InitialList)
		}
		return p.config.InitialList
	}
	kept, err := discovery.LoadCachedList(p.config.ListCacheDir)
	if err != nil { // it is of use, not needed: the members tell all
		p.config.Logger.Error("the list of the last run is not used", "error", err)
	}
	if kept == nil || p.config.InitialList != nil && p.config.InitialList.Version > kept.Version {
		return p.config.InitialList
	}
	p.listClient.SetInitialList(kept)
	return kept
}

// Ready tells whether requests that come now are served: clients can connect and there is a list of servers.
func (p *Proxy) Ready() bool { return p.NotReadyReason() == "" }

// Missing is what this proxy lacks to be ready, for on-call staff; nothing if it is.
func (p *Proxy) NotReadyReason() string {
	if p.frontend.draining.Load() {
		return "it drains"
	}
	select {
	case <-p.loop.listAvailable:
	default:
		return fmt.Sprintf("no list of servers: the configuration has none (known), and discovery at %v has not answered yet",
			p.config.Discovery)
	}
	if !p.frontend.serving.Load() {
		return "clients are not accepted yet"
	}
	if p.frontend.awaitingSync.Load() {
		return fmt.Sprintf("the list of the configuration is not confirmed: discovery at %v has not answered yet", p.config.Discovery)
	}
	return ""
}

// Suspend has a server get nothing new, whatever the list says, until Resume. Any process of this proxy may be
// told. The answer comes once this one acts on it; its errors are those of
// bans.Bans.Suspend.
func (p *Proxy) SuspendServer(server string) error { return p.overrides.SuspendServer(server) }

// Resume ends the ban of a server.
func (p *Proxy) ResumeServer(server string) error { return p.overrides.ResumeServer(server) }

// Figures are the counts so far.
func (p *Proxy) Metrics() management.Metrics {
	f := p.metrics.snapshot()
	f.RuleViolations = p.loop.audit.counts.Snapshot()
	maps.Copy(f.Events, p.loop.audit.eventCounts())
	l := p.listClient.Metrics()
	f.EndpointList = &management.EndpointList{Age: l.Age, Failures: l.Failures, Calls: l.CallResults, Stale: p.loop.listStatus.isStale()}
	if l.FromRegistry {
		f.EndpointList.Registry = &management.RegistryClient{Failovers: l.Failovers, RetainedEndpoints: l.RetainedEndpoints}
	}
	if p.cluster != nil {
		f.Cluster = p.cluster.Metrics()
	}
	return f
}

// Reloaded counts a configuration that came with SIGHUP.
func (p *Proxy) RecordReload(taken bool) { p.metrics.recordReload(taken) }

// Addr is where clients connect.
func (p *Proxy) Addr() string { return p.frontend.listener.Addr().String() }

// Run serves until the context ends, then finishes what it has taken.
func (p *Proxy) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { p.loop.run(inner) })
	if p.overrides != nil {
		parts.Go(func() { p.overrides.Run(inner) })
	}
	parts.Go(func() { p.listClient.Run(inner) })
	if p.cluster != nil {
		present, leave := context.WithCancel(ctx) // it leaves as it begins to drain: a successor may want the address
		defer leave()
		parts.Go(func() { p.cluster.Run(present) })
	}
	if p.predecessor != nil {
		parts.Go(func() { p.predecessor.awaitExit(); p.addOtherProcesses(-1) })
		defer p.predecessor.conn.Close()
	}
	if p.syncTimeout > 0 {
		p.frontend.awaitingSync.Store(true)
		parts.Go(func() { p.awaitSync(inner) })
	}
	served := make(chan error, 1)
	parts.Go(func() { served <- p.serve(ctx) })
	defer func() {
		if s := p.handover.Load(); s != nil {
			s.close()
		}
	}()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	stay, left := p.drainTimes(p.frontend.currentClasses())
	cutoff := time.Now().Add(left)
	p.loop.post(func() { p.loop.shortenDeadlines(p.loop.clock.at(cutoff)) })
	p.frontend.drain(stay, cutoff, func() bool {
		s := p.handover.Load()
		return s != nil && s.isSuccessorServing()
	})
	return <-served
}

func (p *Proxy) openHandover() error {
	shared, ok := p.frontend.listener.Listener.(syscall.Conn)
	if !ok {
		return errors.New("the listener has no descriptor")
	}
	s, err := openHandoverServer(p.config.StateDir, shared, p.config.Logger)
	if err != nil {
		return err
	}
	s.exportState, s.onSuccessorExit = p.exportState, func() { p.addOtherProcesses(-1) }
	s.goroutines.Go(s.serve)
	p.handover.Store(s)
	return nil
}

// drainTimes tells how long after SIGTERM clients are served on, and when all must have ended. The last that
// come in still have as long as the longest aim.
func drainTimes(classes []balancer.Class) (stay, left time.Duration) {
	deadline, aim := int64(0), int64(0)
	for _, c := range classes {
		deadline, aim = max(deadline, c.Deadline), max(aim, c.LatencyObjective)
	}
	left = min(time.Duration(deadline)*time.Microsecond, killDelay) + killDelayMargin
	stay = max(drainAcceptPeriod, left-time.Duration(aim)*time.Microsecond)
	return min(stay, left-cutoffMargin), left // with deadlines of some tens of milliseconds the doors close before the cutoff
}
