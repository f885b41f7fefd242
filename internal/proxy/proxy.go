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
	acceptAfter = 550 * time.Millisecond // new connections may still come for this long after SIGTERM
	killAfter   = 3 * time.Second        // SIGKILL comes the longest deadline, or this, after SIGTERM
	killLeeway  = 500 * time.Millisecond // and somewhat more
	drainStep   = 20 * time.Millisecond
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
	cfg         Config
	loop        *loop
	front       *frontend
	figs        *figures
	lists       *discovery.Client
	bans        *override.Overrides                               // nil unless watched
	fleet       Cluster                                           // nil on its own
	predecessor *predecessor                                      // the one that lives, or nil
	successors  atomic.Pointer[successors]                        // once this process serves, if watched
	others      atomic.Int32                                      // processes of this proxy that live beside this one
	times       func([]balancer.Class) (stay, left time.Duration) // of a drain

	syncPatience time.Duration // for discovery to confirm the list, before this process is ready without
}

// New opens the listener; clients are served from Run on.
func New(cfg Config) (*Proxy, error) {
	bal, err := balancer.New(cfg.rules(), cfg.Seed)
	if err != nil {
		return nil, err
	}
	clients, backends, _ := cfg.parts(false)
	if min(clients, backends) < leastEach {
		return nil, fmt.Errorf("%d sockets are too few", cfg.MaxDescriptors)
	}
	var before *predecessor
	if cfg.Managed {
		if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
		before = findPredecessor(cfg.StateDir, cfg.Logger)
	}
	listener, err := cfg.listen(before)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	figs := newFigures(cfg.Site.Classes)
	pool := newBackends(cfg.Site.DialTimeout, cfg.Site.IdleClose, backends, figs)
	pool.log = cfg.Logger
	l := newLoop(bal, clock{time.Now()}, pool, newZones(cfg.Site.Zones), figs, cfg.Logger)
	l.watched = cfg.Managed
	l.list.bound = cfg.listBound()
	pool.audit = l.audit
	pool.setGrace(cfg.Site.Balancer.DrainGrace)
	p := &Proxy{cfg: cfg, loop: l, figs: figs, predecessor: before, times: drainTimes, syncPatience: cfg.syncPatience()}
	p.follow()
	p.front = newFrontend(cfg.Site, l, listener, cfg.Logger)
	p.share(false)
	if before != nil {
		p.syncPatience = min(p.syncPatience, freshPatience)
		bal.ImportRetryBudget(before.legacy.spentBy(l.clock.now()))
		l.seen.Add(before.legacy.Seen...)
		p.join(1)
	}
	if known := p.known(); known != nil {
		l.list.known(known)
		l.apply(balancer.UpdateCached, known)
	}
	l.list.look(time.Now())
	if cfg.Managed {
		of := override.Config{Dir: cfg.StateDir, KnownServers: l.seen, KnownZones: l.hands.named, ServingZones: l.pool.servingZones,
			Stopped: l.done, Logger: cfg.Logger}
		if cfg.Cluster != nil {
			of.Notify = func(nodo string, suspended bool) error { return p.fleet.NotifyOverride(nodo, suspended) }
		}
		p.bans, err = override.Open(of)
		if err != nil {
			listener.Close()
			return nil, err
		}
		l.bans = p.bans.Sets()
		l.ban(p.bans.Current())
	}
	if cfg.Cluster != nil {
		if p.fleet, err = cfg.Cluster.Open(p.self()); err != nil {
			listener.Close()
			return nil, err
		}
		l.fleet = p.fleet
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
func (p *Proxy) handOver() (legacy, error) {
	out := make(chan legacy, 1)
	p.loop.post(func() {
		now := p.loop.clock.now()
		used := p.loop.bal.ExportRetryBudget(now)
		out <- legacy{Spent: spent{used.Requests, used.Retries}, Seen: p.loop.seen.All(), Now: now}
	})
	select {
	case l := <-out:
		p.join(1)
		return l, nil
	case <-p.loop.done:
		return legacy{}, errors.New("this process is at its end")
	}
}

// serve takes clients. With a predecessor alive that waits for a list from discovery, or for too long: until then
// the predecessor takes them all.
func (p *Proxy) serve(ctx context.Context) error {
	if p.predecessor != nil {
		late := time.NewTimer(freshPatience)
		defer late.Stop()
		select {
		case <-p.loop.fresh:
		case <-late.C:
			p.cfg.Logger.Warn("no list from discovery yet, serving by the one last known")
		case <-ctx.Done():
			return nil
		}
	}
	if p.cfg.Managed {
		if err := p.openSuccessors(); err != nil { // not worth an end: a successor then shares the address, at some cost
			p.cfg.Logger.Error("no successor can take over", "error", err)
		}
	}
	if !p.front.healthy() {
		p.cfg.Logger.Info("not ready yet", "missing", p.NotReadyReason())
	}
	if p.predecessor != nil {
		if err := p.predecessor.serving(); err != nil {
			p.cfg.Logger.Warn("the predecessor has ended", "error", err)
		}
	}
	return p.front.serve()
}

// Reload puts another configuration in force: its settings for the requests that come from now on, and its
// address of discovery. The rest of it waits for a restart. With an error nothing has changed.
func (p *Proxy) Reload(cfg Config) error {
	failed := make(chan error, 1)
	p.loop.post(func() { failed <- p.loop.reconfigure(cfg.Site, cfg.rules(), p.front) })
	select {
	case err := <-failed:
		if err != nil {
			return err
		}
	case <-p.loop.done:
		return errors.New("the proxy is at its end")
	}
	p.figs.name(cfg.Site.Classes)
	p.loop.post(func() { p.loop.list.moved(time.Now()) })
	p.lists.SetSource(cfg.Discovery)
	return nil
}

// follow has the loop hear of the list.
func (p *Proxy) follow() {
	site := p.cfg.Site
	p.lists = discovery.New(discovery.Config{Source: p.cfg.Discovery, Pushed: !site.Balancer.WatchEndpoints, Seed: p.cfg.Seed,
		Callers: discovery.EstimateCallers(discovery.Topology{Tier: site.Balancer.Tier, TierCount: site.Tiers, Replicas: site.Balancer.Replicas}), StateDir: p.cfg.ListCacheDir, Logger: p.cfg.Logger})
	p.loop.lists = p.lists.Updates()
}

// known is the newest list that the proxy can begin with: what it kept itself, or what its configuration says.
func (p *Proxy) known() *discovery.List {
	if p.cfg.ListCacheDir == "" {
		if p.cfg.InitialList != nil && len(p.cfg.Discovery.Members) == 0 {
			p.lists.SetInitialList(p.cfg.InitialList)
		}
		return p.cfg.InitialList
	}
	kept, err := discovery.LoadCachedList(p.cfg.ListCacheDir)
	if err != nil { // it is of use, not needed: the members tell all
		p.cfg.Logger.Error("the list of the last run is not used", "error", err)
	}
	if kept == nil || p.cfg.InitialList != nil && p.cfg.InitialList.Version > kept.Version {
		return p.cfg.InitialList
	}
	p.lists.SetInitialList(kept)
	return kept
}

// Ready tells whether requests that come now are served: clients can connect and there is a list of servers.
func (p *Proxy) Ready() bool { return p.NotReadyReason() == "" }

// Missing is what this proxy lacks to be ready, for on-call staff; nothing if it is.
func (p *Proxy) NotReadyReason() string {
	if p.front.draining.Load() {
		return "it drains"
	}
	select {
	case <-p.loop.listed:
	default:
		return fmt.Sprintf("no list of servers: the configuration has none (known), and discovery at %v has not answered yet",
			p.cfg.Discovery)
	}
	if !p.front.serving.Load() {
		return "clients are not accepted yet"
	}
	if p.front.waits.Load() {
		return fmt.Sprintf("the list of the configuration is not confirmed: discovery at %v has not answered yet", p.cfg.Discovery)
	}
	return ""
}

// Suspend has a server get nothing new, whatever the list says, until Resume. Any process of this proxy may be
// told. The answer comes once this one acts on it; its errors are those of
// bans.Bans.Suspend.
func (p *Proxy) SuspendServer(server string) error { return p.bans.SuspendServer(server) }

// Resume ends the ban of a server.
func (p *Proxy) ResumeServer(server string) error { return p.bans.ResumeServer(server) }

// Figures are the counts so far.
func (p *Proxy) Metrics() management.Metrics {
	f := p.figs.snapshot()
	f.RuleViolations = p.loop.audit.counts.All()
	maps.Copy(f.Events, p.loop.audit.all())
	l := p.lists.Metrics()
	f.EndpointList = &management.EndpointList{Age: l.Age, Failures: l.Failures, Calls: l.CallResults, Stale: p.loop.list.isStale()}
	if l.FromRegistry {
		f.EndpointList.Registry = &management.RegistryClient{Failovers: l.Failovers, RetainedEndpoints: l.RetainedEndpoints}
	}
	if p.fleet != nil {
		f.Cluster = p.fleet.Metrics()
	}
	return f
}

// Reloaded counts a configuration that came with SIGHUP.
func (p *Proxy) RecordReload(taken bool) { p.figs.reloaded(taken) }

// Addr is where clients connect.
func (p *Proxy) Addr() string { return p.front.listener.Addr().String() }

// Run serves until the context ends, then finishes what it has taken.
func (p *Proxy) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { p.loop.run(inner) })
	if p.bans != nil {
		parts.Go(func() { p.bans.Run(inner) })
	}
	parts.Go(func() { p.lists.Run(inner) })
	if p.fleet != nil {
		present, leave := context.WithCancel(ctx) // it leaves as it begins to drain: a successor may want the address
		defer leave()
		parts.Go(func() { p.fleet.Run(present) })
	}
	if p.predecessor != nil {
		parts.Go(func() { p.predecessor.wait(); p.join(-1) })
		defer p.predecessor.conn.Close()
	}
	if p.syncPatience > 0 {
		p.front.waits.Store(true)
		parts.Go(func() { p.awaitSync(inner) })
	}
	served := make(chan error, 1)
	parts.Go(func() { served <- p.serve(ctx) })
	defer func() {
		if s := p.successors.Load(); s != nil {
			s.close()
		}
	}()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	stay, left := p.times(p.front.classes())
	cutoff := time.Now().Add(left)
	p.loop.post(func() { p.loop.hurry(p.loop.clock.at(cutoff)) })
	p.front.drain(stay, cutoff, func() bool {
		s := p.successors.Load()
		return s != nil && s.served()
	})
	return <-served
}

func (p *Proxy) openSuccessors() error {
	shared, ok := p.front.listener.Listener.(syscall.Conn)
	if !ok {
		return errors.New("the listener has no descriptor")
	}
	s, err := openSuccessors(p.cfg.StateDir, shared, p.cfg.Logger)
	if err != nil {
		return err
	}
	s.tell, s.gone = p.handOver, func() { p.join(-1) }
	s.done.Go(s.serve)
	p.successors.Store(s)
	return nil
}

// drainTimes tells how long after SIGTERM clients are served on, and when all must have ended. The last that
// come in still have as long as the longest aim.
func drainTimes(classes []balancer.Class) (stay, left time.Duration) {
	deadline, aim := int64(0), int64(0)
	for _, c := range classes {
		deadline, aim = max(deadline, c.Deadline), max(aim, c.LatencyObjective)
	}
	left = min(time.Duration(deadline)*time.Microsecond, killAfter) + killLeeway
	stay = max(acceptAfter, left-time.Duration(aim)*time.Microsecond)
	return min(stay, left-killMargin), left // with deadlines of some tens of milliseconds the doors close before the cutoff
}
