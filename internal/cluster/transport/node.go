// Package transport makes a proxy a member of its cluster: it runs memberlist, which detects live members and
// carries gossip, and the goroutine that owns the proxy's state.Store. Input from the network is limited and
// counted, and no input stops the process. The package does not decide how to act on the observations of
// other members.
//
// Published entries reach the other members by gossip, every 100 ms to three of them. A full exchange with
// one member every 5 s repairs losses. The ages of entries grow while they wait in this process. A datagram
// that waited for more than 500 ms in the kernel, because the process was stopped, is dropped. A full
// exchange may be in transit for up to streamTimeout, so its entries may appear younger than they are by at
// most that time.
package transport

import (
	"context"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/memberlist"

	"merlinpick/internal/cluster/queue"
	"merlinpick/internal/cluster/state"
)

// Snapshot is this member's view of the cluster at one moment.
type Snapshot struct {
	LiveMembers       int             // including this one
	LiveMembersInZone int             // live members in this one's zone, including this one
	Isolated          bool            // no other member was heard from for isolationTimeout, or ever
	PeerEntries       []state.Entry   // live entries of live members
	Overrides         map[string]bool // by server: suspended, or resumed in the last 24 hours; read-only
}

// Node is one member of a cluster.
type Node struct {
	cfg          Config
	network      *network
	memberlist   *memberlist.Memberlist
	members      *liveMembers
	outbound     *queue.Queue
	rejected     rejections
	overrideFile *overrideFile // nil without a state directory
	seeds        []string

	inbound    chan message
	ownerCalls chan func()   // run by the owner goroutine
	wake       chan struct{} // wakes the owner before its next tick
	joinNow    chan struct{} // makes joinLoop try the seeds at once
	snapshots  chan Snapshot
	done       chan struct{} // closed when the owner has ended

	// Times are on Config.Now's clock.
	lastHeard      atomic.Int64 // when another member was last heard from; 0: never
	lastTick       atomic.Int64 // when the owner last ticked
	staleUntil     atomic.Int64 // messages received before this time waited while the process was stopped
	inboundDropped atomic.Int64 // messages dropped because the inbound queue was full
	joinAttempts   atomic.Int64
	joinFailures   atomic.Int64

	mu             sync.Mutex
	observations   []state.Observation // as last given to Publish
	publishPending bool                // the owner must publish or renew the observations
	metrics        Metrics

	closeOnce sync.Once
	owner     ownerState // used by the owner goroutine only
}

// message is a gossip packet, or the packets of a full exchange.
type message struct {
	receivedAt   int64
	fullExchange bool
	payload      []byte
}

// Open binds the member's address and restores the overrides that the previous process stored. From then on
// other members may see this one, but it joins them and merges their entries only in Run. The error is an
// *OpenError, a *ConfigError or a *StoreError.
func Open(cfg Config) (*Node, error) {
	bind, advertise, err := cfg.addresses()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, inbound: make(chan message, maxInbound), ownerCalls: make(chan func()),
		wake: make(chan struct{}, 1), joinNow: make(chan struct{}, 1), snapshots: make(chan Snapshot, 1),
		done: make(chan struct{})}
	identity := state.Identity{Name: cfg.Name, Zone: cfg.Zone, StartedAtMs: cfg.StartedAtMs}
	n.owner = ownerState{store: state.New(identity, state.Limits{})}
	if cfg.StateDir != "" {
		n.overrideFile = newOverrideFile(filepath.Join(cfg.StateDir, overrideFileName))
		if err := n.restoreOverrides(); err != nil {
			return nil, err
		}
	}
	n.members = newLiveMembers(cfg.Name, cfg.Tier, &n.rejected, cfg.Logger, n.wakeOwner)
	n.outbound = queue.New(func() int { return queue.TransmitCount(n.members.liveCount()) })
	n.lastTick.Store(cfg.Now())
	if n.network, err = listen(bind, cfg.Label, &n.rejected, func() { n.lastHeard.Store(cfg.Now()) }); err != nil {
		return nil, err
	}
	for _, seed := range cfg.Seeds {
		if seed != n.network.address() && seed != cfg.Advertise {
			n.seeds = append(n.seeds, seed)
		}
	}
	if n.memberlist, err = memberlist.Create(n.memberlistConfig(advertise)); err != nil {
		_ = n.network.Shutdown()
		return nil, &OpenError{cfg.Bind, err}
	}
	return n, nil
}

// Addr returns the address that the member is bound to.
func (n *Node) Addr() string { return n.network.address() }

// Snapshots returns a channel with the newest snapshot, for one reader. A snapshot is sent at most once per
// snapshotInterval, and at once when an override changes.
func (n *Node) Snapshots() <-chan Snapshot { return n.snapshots }

// Publish replaces the observations that this member advertises. It never blocks. The caller must not use the
// slice afterwards.
func (n *Node) Publish(observations []state.Observation) {
	n.mu.Lock()
	n.observations, n.publishPending = observations, true
	n.mu.Unlock()
	n.wakeOwner()
}

// wakeOwner wakes the owner goroutine before its next tick. It never blocks.
func (n *Node) wakeOwner() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run takes part in the cluster until the context ends, then leaves it.
func (n *Node) Run(ctx context.Context) {
	inner, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { n.joinLoop(inner) })
	if n.overrideFile != nil {
		tasks.Go(func() { n.overrideFile.run(inner) })
	}
	n.ownerLoop(ctx)
	stop()
	close(n.done)
	n.Close()
	tasks.Wait()
}

// Close leaves the cluster and releases the address. It may be called without Run and more than once.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		if err := n.memberlist.Leave(leaveTimeout); err != nil {
			n.cfg.Logger.Info("cluster leave not announced", "error", err)
		}
		if err := n.memberlist.Shutdown(); err != nil {
			n.cfg.Logger.Warn("cluster shutdown failed", "error", err)
		}
	})
}
