// Package proxy is the real proxy round the decision module: clients on one side, backends and discovery on
// the other. One goroutine, the loop, owns the module; the rest carry out what it decides and report back.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"fernlanding/internal/mgmt"
	"fernlanding/internal/settings"
	"fernlanding/logic"
)

const (
	ownSockets = 32 // descriptors that are neither a client's nor a backend's, generously
	leastEach  = 8  // connections on either side, at least

	acceptAfter = 550 * time.Millisecond // new connections may still come for this long after SIGTERM
	killAfter   = 3 * time.Second        // SIGKILL comes the longest deadline, or this, after SIGTERM
	killLeeway  = 500 * time.Millisecond // and somewhat more
	drainStep   = 20 * time.Millisecond
)

// Config is what a proxy is told at its start.
type Config struct {
	Listen    string
	Discovery string
	Seed      uint64
	Sockets   int    // descriptors that the process may hold
	Known     *List  // the list as last known; may be nil
	State     string // folder of what outlives the process; with Watched
	Watched   bool   // there is a management address: figures are kept up and descriptors reserved for its callers
	Site      *settings.Site
	Log       *slog.Logger
}

// Proxy is one proxy with its listener open.
type Proxy struct {
	cfg   Config
	loop  *loop
	front *frontend
	figs  *figures
	bans  *bans       // nil unless watched
	moved chan string // discovery's new address, the latest only

	stay, left time.Duration // after SIGTERM: see drainTimes
}

// New opens the listener; clients are served from Run on.
func New(cfg Config) (*Proxy, error) {
	bal, err := logic.New(cfg.Site.Logic, cfg.Seed)
	if err != nil {
		return nil, err
	}
	own := ownSockets
	if cfg.Watched {
		own += mgmt.MaxConns + 1
	}
	each := (cfg.Sockets - own - overCap) / 2
	if each < leastEach {
		return nil, fmt.Errorf("%d sockets are too few", cfg.Sockets)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	figs := newFigures(cfg.Site.Classes)
	pool := newBackends(cfg.Site.DialTimeout, cfg.Site.IdleClose, each, figs)
	pool.log = cfg.Log
	l := newLoop(bal, clock{time.Now()}, pool, newZones(cfg.Site.Zones), figs, cfg.Log)
	l.watched = cfg.Watched
	if cfg.Known != nil {
		l.apply(logic.Cached, cfg.Known)
	}
	var held *bans
	if cfg.Watched {
		if held, err = openBans(cfg.State, l); err != nil {
			listener.Close()
			return nil, err
		}
	}
	stay, left := drainTimes(cfg.Site.Logic.Classes)
	return &Proxy{cfg: cfg, stay: stay, left: left, loop: l, figs: figs, bans: held, front: newFrontend(cfg.Site, l, listener, each, cfg.Log),
		moved: make(chan string, 1)}, nil
}

// MoveDiscovery has the proxy take its list from another address from now on. What it knows stands until
// that address has answered.
func (p *Proxy) MoveDiscovery(addr string) {
	for {
		select {
		case p.moved <- addr:
			return
		case <-p.moved: // an older one that was not taken yet
		}
	}
}

// Ready tells whether requests that come now are served: clients can connect and there is a list of servers.
func (p *Proxy) Ready() bool { return p.front.serving.Load() && p.front.healthy() }

// Suspend has a server get nothing new, whatever the list says, until Resume. Any process of this proxy may be
// told. The answer comes once this one acts on it; that of a server that no list has named is mgmt.ErrUnknown.
func (p *Proxy) Suspend(server string) error { return p.bans.suspend(server) }

// Resume ends the ban of a server.
func (p *Proxy) Resume(server string) error { return p.bans.resume(server) }

// Figures are the counts so far.
func (p *Proxy) Figures() mgmt.Figures { return p.figs.snapshot() }

// Reloaded counts a configuration that came with SIGHUP.
func (p *Proxy) Reloaded(taken bool) { p.figs.reloaded(taken) }

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
		parts.Go(func() { p.bans.watch(inner) })
	}
	parts.Go(func() {
		newDiscovery(p.cfg.Discovery, p.cfg.Log, p.loop.lists, p.loop.asked, p.moved).run(inner, p.cfg.Site.Logic.Subscribe)
	})
	served := make(chan error, 1)
	parts.Go(func() { served <- p.front.serve() })
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	cutoff := time.Now().Add(p.left)
	p.loop.post(func() { p.loop.hurry(p.loop.clock.at(cutoff)) })
	p.front.drain(p.stay, cutoff)
	return nil
}

// drainTimes tells how long after SIGTERM clients are served on, and when all must have ended. The last that
// come in still have as long as the longest aim.
func drainTimes(classes []logic.Class) (stay, left time.Duration) {
	deadline, aim := int64(0), int64(0)
	for _, c := range classes {
		deadline, aim = max(deadline, c.Deadline), max(aim, c.Aim)
	}
	left = min(time.Duration(deadline)*time.Microsecond, killAfter) + killLeeway
	return max(acceptAfter, left-time.Duration(aim)*time.Microsecond), left
}
