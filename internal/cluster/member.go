// Package fleet makes a proxy a member of a fleet: it reads the configuration's section, and joins package link with the
// proxy's module and bans. Only a program that is to have it imports it.
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
	deafAfter = time.Second            // without word from the link the module is told that it is alone
	bindEvery = 200 * time.Millisecond // the address is tried while another process has it: a predecessor, mostly
	bindSay   = time.Minute            // and it is said again
)

// part is a proxy's part in its fleet.
type part struct {
	cfg  transport.Config
	bans *override.Overrides // nil unless watched
	link atomic.Pointer[transport.Node]
	last atomic.Pointer[word]
	lost atomic.Int64 // notices of zones that this proxy does not know

	mu    sync.Mutex
	hands map[string]bool // as the link last told, or a call here changed it
}

// word is what the link told, and when.
type word struct {
	transport.Snapshot
	at int64
}

// open binds the fleet's address. One that another process has is tried again in Run: a start waits neither for the
// fleet nor for a predecessor.
func open(c transport.Config, self proxy.ClusterIdentity) (*part, error) {
	c.Zone, c.Tier, c.StartedAtMs, c.StateDir = self.Zone, strconv.Itoa(self.Tier), self.StartedAtMs, self.StateDir
	c.Now, c.Logger = self.Now, self.Logger
	f := &part{cfg: c, bans: self.Overrides}
	if err := f.open(); err != nil && !errors.Is(err, syscall.EADDRINUSE) {
		return nil, err
	}
	return f, nil
}

func (f *part) open() error {
	k, err := transport.Open(f.cfg)
	if err == nil {
		f.link.Store(k)
	}
	return err
}

// Run takes part until the context ends.
func (f *part) Run(ctx context.Context) {
	if !f.bind(ctx) {
		return
	}
	k := f.link.Load()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.Run(ctx)
	}()
	for {
		select {
		case s := <-k.Snapshots():
			f.last.Store(&word{s, f.cfg.Now()})
			f.suspended(s.Overrides)
		case <-ended:
			return
		}
	}
}

// bind waits until the address is this process's.
func (f *part) bind(ctx context.Context) bool {
	tick := time.NewTicker(bindEvery)
	defer tick.Stop()
	for said := (time.Time{}); f.link.Load() == nil; {
		err := f.open()
		if err == nil {
			break
		}
		if time.Since(said) >= bindSay {
			said = time.Now()
			f.cfg.Logger.Warn("this proxy decides alone, and tries again", "error", err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// suspended has the servers out that the fleet has suspended. What is kept here of one that was resumed goes.
func (f *part) suspended(hands map[string]bool) {
	if f.bans == nil {
		return
	}
	f.mu.Lock()
	before := f.hands
	if maps.Equal(before, hands) {
		f.mu.Unlock()
		return
	}
	f.hands = hands
	f.bans.SetRemote(hands)
	f.mu.Unlock()
	for nodo, is := range hands {
		if !is && before[nodo] {
			if err := f.bans.ClearLocal(nodo); err != nil {
				f.cfg.Logger.Error("a server that the fleet resumed is still out here; resume it here", "nodo", nodo, "error", err)
			}
		}
	}
}

// Told passes a call by hand on to the whole fleet.
func (f *part) NotifyOverride(nodo string, suspended bool) error {
	k := f.link.Load()
	if k == nil {
		return transport.ErrClosed
	}
	do := k.Resume
	if suspended {
		do = k.Suspend
	}
	if err := do(nodo); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	hands := maps.Clone(f.hands)
	if hands == nil {
		hands = map[string]bool{}
	}
	hands[nodo] = suspended
	f.hands = hands
	f.bans.SetRemote(hands)
	return nil
}

// Figures are nothing but that it is not open until the address is bound.
func (f *part) Metrics() *management.Cluster {
	k := f.link.Load()
	if k == nil {
		return &management.Cluster{LiveMembers: 1, LiveMembersInZone: 1, Isolated: true}
	}
	x := k.Metrics()
	x.Rejected["zone"] = f.lost.Load()
	return &management.Cluster{Open: true, LiveMembers: x.LiveMembers, LiveMembersInZone: x.LiveMembersInZone, Isolated: x.Isolated, Isolations: x.Isolations, Entries: x.Entries,
		OldestEntry: x.OldestEntry, SuspendedServers: x.SuspendedServers, BytesIn: x.BytesIn, BytesOut: x.BytesOut, Sent: x.Sent, Dropped: x.Dropped, Joined: x.Joined,
		Left: x.Left, JoinAttempts: x.JoinAttempts, JoinFailures: x.JoinFailures, Rejected: x.Rejected}
}

// Meet leaves the module alone until the address is bound: so long it decides as if there were no fleet.
func (f *part) ExchangeReports(now int64, seen func(int64) []balancer.Report, zones map[string]int) (balancer.PeerReports, bool) {
	k := f.link.Load()
	if k == nil {
		return balancer.PeerReports{}, false
	}
	k.Publish(adapter.ToObservations(seen(now), zones))
	w := f.last.Load()
	if w == nil || now-w.at > deafAfter.Microseconds() {
		return balancer.PeerReports{LiveReplicas: 1, LiveReplicasInZone: 1, Isolated: true}, true
	}
	notices, lost := adapter.ToReports(now, w.PeerEntries, zones)
	f.lost.Add(lost)
	return balancer.PeerReports{LiveReplicas: w.LiveMembers, LiveReplicasInZone: w.LiveMembersInZone, Isolated: w.Isolated, Reports: notices}, true
}
