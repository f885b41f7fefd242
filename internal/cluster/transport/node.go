// Package link keeps a proxy in touch with its fleet: it owns memberlist, which finds out who is alive and carries the
// entries of a view, and the one goroutine that owns that view. Whatever comes from the network is counted, bounded and
// never fatal. Nothing here decides what is done about what others say.
//
// An entry that is said reaches the others by gossip, each 100 ms to three of them, and a full exchange with one member
// each 5 s makes up for what was lost. Its age grows by what it waits in this process; a datagram that waited in the
// kernel for over 500 ms, since the process was stopped, is not read. A full exchange may be under way for as long as
// streamWait, and what it brings is taken for so much younger than it is, at most.
package transport

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"merlinpick/internal/cluster/queue"
	"merlinpick/internal/cluster/state"
)

const (
	// Gossip goes out in datagrams of up to 1,400 bytes, 10 times a second to 3 members: 42 KB/s at the very most, and
	// nothing while there is nothing to tell. Half a life of the shortest-lived entry, 1.5 s, is 15 rounds: enough for
	// 300 members at 30 % loss.
	gossipEvery = 100 * time.Millisecond
	gossipTo    = 3
	// Each member is probed about once in probeEvery by somebody, and an answer takes under a millisecond on a sound
	// network; probeWait leaves room for a starved process. A dead member is out of the count after its next probe, the
	// indirect probes and the suspicion: 1 to 2 s and suspectMult*probeEvery*max(1, log10(n)), that is 4 s in a fleet of
	// 9, 5.5 s of 30 and 7 s of 300; thrice the suspicion, 8 to 17 s, where few can confirm it.
	probeEvery  = 500 * time.Millisecond
	probeWait   = 250 * time.Millisecond
	suspectMult = 4
	suspectMost = 3
	// A member that is starved or on a bad link slows its own probes by up to this, so that it condemns nobody. The
	// library's 8 would slow them to one in 4 s, beyond aloneAfter.
	patienceMost = 3
	// A full exchange is 100 KB for 300 members with a few entries each; memberlist makes it rarer over 32 members.
	exchangeEvery = 5 * time.Second
	streamWait    = 2 * time.Second  // for each read and write of a connection
	toTheDead     = 30 * time.Second // gossip goes on to the dead: it mends short splits without seeds
	reclaimAfter  = 5 * time.Second  // a dead member's name may be had from another address
	handoff       = 256              // messages that wait within memberlist

	snapshotInterval = 100 * time.Millisecond
	isolationTimeout = 2 * time.Second // nobody was heard for this long; see readPackets
	leaveWait        = 500 * time.Millisecond
	maxInbound       = 256 // messages that wait for the owner, of 1.4 KB or, from exchanges, up to stateMost
	maxExchangeBytes = 1 << 20
	askWait          = 250 * time.Millisecond
	callWait         = 800 * time.Millisecond
)

// Config is what a link is told at its start.
type Config struct {
	Name        string   // of this proxy; no two members may have the same
	Zone        string   // by name; may be empty
	Tier        string   // members of another are no members
	Bind        string   // IP and port, for UDP and TCP; port 0: any
	Advertise   string   // IP and port under which others reach it; empty: as bound
	Label       string   // of the fleet: what bears another is refused
	Seeds       []string // members' addresses; this one's own may be among them
	StartedAtMs int64    // of this process, Unix milliseconds
	StateDir    string   // folder of what outlives the process; empty: none
	Now         func() int64
	Logger      *slog.Logger
}

// Snapshot is what is known of the fleet at one moment.
type Snapshot struct {
	LiveMembers       int             // members that are alive, this one included
	LiveMembersInZone int             // of them in this one's zone
	Isolated          bool            // nobody was heard for aloneAfter, or ever
	PeerEntries       []state.Entry   // what others say and has not ended
	Overrides         map[string]bool // by server: suspended by hand, or resumed not long ago; not to be changed
}

// Link is one member of a fleet.
type Node struct {
	cfg          Config
	network      *network
	memberlist   *memberlist.Memberlist
	members      *memberList
	outbound     *queue.Queue
	rejected     rejections
	overrideFile *overrideFile // nil without a folder
	seeds        []string

	inbound        chan incoming
	ownerCalls     chan func()
	wake           chan struct{} // something is to be looked at before the next tick
	joinNow        chan struct{} // seeds are to be tried now
	snapshots      chan Snapshot
	done           chan struct{} // closed when the owner has ended
	lastHeard      atomic.Int64  // when another was last heard, by Now; 0: never
	lastTick       atomic.Int64  // when the owner last looked about
	staleUntil     atomic.Int64  // until then what comes waited while the process was stopped
	inboundDropped atomic.Int64  // messages for which the owner had no room
	joinAttempts   atomic.Int64
	joinFailures   atomic.Int64

	mu             sync.Mutex
	observations   []state.Observation
	publishPending bool // said is to be taken
	metrics        Metrics

	closeOnce sync.Once
	own       ownerState // the owner's alone
}

// incoming is a message as it came.
type incoming struct {
	at    int64
	state bool // of a full exchange
	bytes []byte
}

// Open binds the link's address and reads what the last process kept. Others may hear of this member from then on; the
// link does its work in Run. The error is an *OpenError, a *ConfigError or a *KeepError.
func Open(cfg Config) (*Node, error) {
	bind, advertise, err := cfg.addresses()
	if err != nil {
		return nil, err
	}
	l := &Node{cfg: cfg, inbound: make(chan incoming, maxInbound), ownerCalls: make(chan func()), wake: make(chan struct{}, 1),
		joinNow: make(chan struct{}, 1), snapshots: make(chan Snapshot, 1), done: make(chan struct{})}
	l.own = ownerState{view: state.New(state.Identity{Name: cfg.Name, Zone: cfg.Zone, StartedAtMs: cfg.StartedAtMs}, state.Limits{})}
	if cfg.StateDir != "" {
		l.overrideFile = newOverrideFile(filepath.Join(cfg.StateDir, overrideFileName))
		if err := l.restore(); err != nil {
			return nil, err
		}
	}
	l.members = newMemberList(cfg.Name, cfg.Tier, &l.rejected, cfg.Logger, l.poke)
	l.outbound = queue.New(func() int { return queue.TransmitCount(l.members.living()) })
	l.lastTick.Store(cfg.Now())
	if l.network, err = listen(bind, cfg.Label, &l.rejected, func() { l.lastHeard.Store(cfg.Now()) }); err != nil {
		return nil, err
	}
	for _, s := range cfg.Seeds {
		if s != l.network.addr() && s != cfg.Advertise {
			l.seeds = append(l.seeds, s)
		}
	}
	ml := memberlist.DefaultLANConfig()
	ml.Name, ml.Label, ml.SkipInboundLabelCheck = cfg.Name, cfg.Label, true // the transport checks it
	ml.Transport, ml.BindAddr, ml.BindPort = l.network, l.network.bound.IP.String(), l.network.bound.Port
	if advertise.IsValid() {
		ml.AdvertiseAddr, ml.AdvertisePort = advertise.Addr().String(), int(advertise.Port())
	}
	ml.Logger = log.New(logWriter{cfg.Logger, newLogLimiter()}, "", 0)
	ml.Delegate, ml.Events, ml.Alive, ml.Conflict = delegate{l}, l.members, l.members, l.members
	ml.GossipInterval, ml.GossipNodes, ml.GossipToTheDeadTime = gossipEvery, gossipTo, toTheDead
	ml.ProbeInterval, ml.ProbeTimeout, ml.AwarenessMaxMultiplier = probeEvery, probeWait, patienceMost
	ml.SuspicionMult, ml.SuspicionMaxTimeoutMult, ml.RetransmitMult = suspectMult, suspectMost, queue.RetransmitMultiplier
	ml.PushPullInterval, ml.TCPTimeout, ml.DeadNodeReclaimTime = exchangeEvery, streamWait, reclaimAfter
	ml.UDPBufferSize, ml.HandoffQueueDepth = maxDatagramBytes, handoff
	ml.EnableCompression = false // it takes more of a core than a loopback's or a rack's bytes are worth
	if l.memberlist, err = memberlist.Create(ml); err != nil {
		_ = l.network.Shutdown()
		return nil, &OpenError{cfg.Bind, err}
	}
	return l, nil
}

// Check tells of the first key that cannot be used, by a *ConfigError.
func (cfg *Config) Check() error {
	_, _, err := cfg.addresses()
	return err
}

func (cfg *Config) addresses() (bind, advertise netip.AddrPort, err error) {
	for _, n := range []struct{ key, name string }{{"name", cfg.Name}, {"label", cfg.Label}} {
		if n.name == "" || len(n.name) > maxNameBytes {
			return bind, advertise, &ConfigError{n.key, "missing, or over 64 bytes", "give one of 1 to 64 bytes"}
		}
	}
	if len(cfg.Zone) > maxNameBytes || len(cfg.Tier) > maxNameBytes {
		return bind, advertise, &ConfigError{"zone", "its name is over 64 bytes", "give zones shorter names"}
	}
	if bind, err = netip.ParseAddrPort(cfg.Bind); err != nil {
		return bind, advertise, &ConfigError{"bind", fmt.Sprintf("%q: %v", cfg.Bind, err), "give an IP address and a port, like 127.0.0.1:7946"}
	}
	if cfg.Advertise != "" {
		advertise, err = netip.ParseAddrPort(cfg.Advertise)
		if err != nil || advertise.Port() == 0 || advertise.Addr().IsUnspecified() {
			return bind, advertise, &ConfigError{"advertise", fmt.Sprintf("%q is no address that others could reach", cfg.Advertise),
				"give the IP address and port under which the other members reach this one"}
		}
	} else if bind.Addr().IsUnspecified() {
		return bind, advertise, &ConfigError{"bind", "an address of all interfaces tells others nothing",
			"give one address, or fleet.advertise too"}
	}
	for _, s := range cfg.Seeds {
		if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			return bind, advertise, &ConfigError{"seeds", fmt.Sprintf("%q is no member's address", s),
				"give IP addresses and ports, like 127.0.0.1:7946"}
		}
	}
	return bind, advertise, nil
}

// Addr is the address the link is bound to.
func (n *Node) Addr() string { return n.network.addr() }

// Peers gives the newest snapshot, to one reader: at most one each publishEvery, and at once when a suspension by hand
// comes or goes.
func (n *Node) Snapshots() <-chan Snapshot { return n.snapshots }

// Say has this member say these items and no others. It never waits, and of two calls the later holds. The items are
// the link's from then on.
func (n *Node) Publish(items []state.Observation) {
	n.mu.Lock()
	n.observations, n.publishPending = items, true
	n.mu.Unlock()
	n.poke()
}

func (n *Node) poke() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Suspend suspends a server by hand at all members. It returns once that would outlive this process, where there is a
// folder for it: the error is a *KeepError, ErrEnded or the view's, and
// then the server stays as it was, or a *LateError.
func (n *Node) Suspend(nodo string) error { return n.hand(nodo, true) }

// Resume ends a suspension at all members, in the same way.
func (n *Node) Resume(nodo string) error { return n.hand(nodo, false) }

func (n *Node) hand(nodo string, suspend bool) error {
	late := time.NewTimer(callWait)
	defer late.Stop()
	said := make(chan error, 1)
	select {
	case n.ownerCalls <- func() { n.setHand(nodo, suspend, said) }:
	case <-n.done:
		return ErrClosed
	case <-late.C:
		return &NotConfirmedError{callWait}
	}
	select {
	case err := <-said:
		return err
	case <-n.done:
		return ErrClosed
	case <-late.C:
		return &NotConfirmedError{callWait}
	}
}

// Run does the link's work until the context ends, then leaves the fleet.
func (n *Node) Run(ctx context.Context) {
	inner, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { n.join(inner) })
	if n.overrideFile != nil {
		tasks.Go(func() { n.overrideFile.run(inner) })
	}
	n.serve(ctx)
	stop()
	close(n.done)
	n.Close()
	tasks.Wait()
}

// Close ends a link, also one that was never run.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		if err := n.memberlist.Leave(leaveWait); err != nil {
			n.cfg.Logger.Info("fleet: left without a word", "error", err)
		}
		if err := n.memberlist.Shutdown(); err != nil {
			n.cfg.Logger.Warn("fleet: shutdown", "error", err)
		}
	})
}
