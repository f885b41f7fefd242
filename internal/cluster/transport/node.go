// Package transport makes a proxy a member of its cluster: it runs memberlist, which detects live members and carries
// gossip, and the one goroutine that owns the proxy's state.Store. Whatever comes from the network is bounded, counted
// and never fatal. It never decides what is done about observations of other members.
//
// Published entries reach the others by gossip, every 100 ms to three members; a full exchange with one member every 5 s
// repairs what was lost. Ages grow while entries wait in this process. A datagram that waited for over 500 ms in the
// kernel, because the process was stopped, is dropped. A full exchange may be in transit for up to streamTimeout, and its
// entries are taken for younger by at most that.
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

// Snapshot is what is known of the cluster at one moment.
type Snapshot struct {
	LiveMembers       int             // this one included
	LiveMembersInZone int             // of them, in this one's zone
	Isolated          bool            // no member was heard for isolationTimeout, or ever
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
	wake       chan struct{} // the owner has something to do before the next tick
	joinNow    chan struct{} // seeds are to be tried at once
	snapshots  chan Snapshot
	done       chan struct{} // closed when the owner has ended

	// Times are on Config.Now's clock.
	lastHeard      atomic.Int64 // when another member was last heard; 0: never
	lastTick       atomic.Int64 // of the owner
	staleUntil     atomic.Int64 // inbound messages up to then waited while the process was stopped
	inboundDropped atomic.Int64 // messages that the owner had no room for
	joinAttempts   atomic.Int64
	joinFailures   atomic.Int64

	mu             sync.Mutex
	observations   []state.Observation // as last given to Publish
	publishPending bool                // observations are to be published or renewed
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

// Open binds the member's address and restores the overrides that the previous process stored. Other members may see
// this one from then on; its work is done in Run. The error is an *OpenError, a *ConfigError or a *StoreError.
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

// Snapshots returns a channel with the newest snapshot, for one reader: at most one per snapshotInterval, and at once
// when an override changes.
func (n *Node) Snapshots() <-chan Snapshot { return n.snapshots }

// Publish replaces the observations that this member advertises. It never blocks; the node owns the slice from then on.
func (n *Node) Publish(observations []state.Observation) {
	n.mu.Lock()
	n.observations, n.publishPending = observations, true
	n.mu.Unlock()
	n.wakeOwner()
}

func (n *Node) wakeOwner() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run gossips until the context ends, then leaves the cluster.
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

// Close leaves the cluster and releases the address, also of a node that never ran.
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
