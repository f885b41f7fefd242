// Package raftnode runs one member of the registry: the replicated state machine, the leases while this
// member leads, and the confirmation that its copy of the list is up to date. Consensus is hashicorp/raft.
// Package api serves the clients' requests; package state decides the effect of a command on the list.
//
// List age. The age of a member's list is the time, by the member's own clock, since the list was last known
// to be up to date: the member asked the leader for its read index, the leader confirmed its leadership with
// a quorum, and the member applied everything up to that index. Each member does this every
// FreshnessInterval. A member whose list is older than Config.MaxListAge serves no reads; the API answers
// 503. This one rule covers members that are partitioned, suspended or catching up, and never compares clocks
// of different machines. A linearizable read waits for a confirmation that began after the read did.
//
// Leadership. A leader renews and expires leases only after a barrier, when it has applied everything
// committed before its term, and while its own list is up to date: before that, it cannot tell an unknown
// endpoint from one whose registration it has not applied.
//
// Bootstrap. A member with an empty directory may have voted and acknowledged entries before it lost its
// disk. It starts a new cluster only if it reaches all other members and all are empty too. Otherwise it
// abstains from elections, across restarts, until it has applied all that the leader has committed.
//
// Raft's LastContact does not bound the age of the list, since a member that is catching up has constant
// contact with the leader. Renewals are not written to the log, since a new leader restarts every lease
// anyway.
package raftnode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/lease"
	"merlinpick/internal/registry/state"
	"merlinpick/internal/registry/store"
	"merlinpick/internal/registry/watch"
)

const (
	// FreshnessInterval is the time between two attempts to confirm that the list is up to date.
	FreshnessInterval = 250 * time.Millisecond

	leaseSweepInterval = 100 * time.Millisecond

	applyTimeout    = 2 * time.Second // until a command is committed and applied
	barrierTimeout  = 10 * applyTimeout
	restoreTimeout  = 10 * applyTimeout
	shutdownTimeout = 3 * time.Second
)

// Peer names a member of the cluster and its addresses, HOST:PORT.
type Peer struct {
	Name string
	Raft string // address for raft's traffic
	API  string // address of the HTTP API
}

// Config holds the settings of a node.
type Config struct {
	Name            string
	Dir             string
	Listen          string        // address for raft's traffic; empty: the node's own address in Peers
	Peers           []Peer        // all members including this one; empty: a cluster of one
	ElectionTimeout time.Duration // without a heartbeat from the leader, a member starts an election after it
	MaxListAge      time.Duration // the node does not serve a list that is older
	Lease           lease.Config
	Logger          *slog.Logger
}

// Errors of calls that may be retried, here or on another member. After ErrUncertain the command may still
// take effect.
var (
	ErrNotLeader = errors.New("this member does not lead")
	ErrNoLeader  = errors.New("no leader is known")
	ErrStale     = errors.New("this member has lost the leader: its list may be old")
	ErrUncertain = errors.New("not confirmed in time; it may have happened: repeat it")
)

// errShutdownTimeout reports that raft was still running when Close returned. It is harmless: the next start
// recovers the log as after a kill.
var errShutdownTimeout = errors.New(
	"raft did not shut down in time; the next start recovers its directory as after a kill")

// unreadableCommandError reports a committed command that this build cannot decode.
type unreadableCommandError struct{ response any }

func (e *unreadableCommandError) Error() string {
	return fmt.Sprintf("a command of the raft log cannot be decoded: %v", e.response)
}

// Node is one member of the cluster. Its methods may be called concurrently.
type Node struct {
	cfg       Config
	logger    *slog.Logger
	store     *store.Store
	raft      *raft.Raft
	transport raft.Transport
	voting    *votingTransport // nil in a cluster of one
	peers     *peerClient
	watches   *watch.Hub

	lifetime   context.Context // ends with Close
	stop       context.CancelFunc
	background sync.WaitGroup

	configWrites sync.RWMutex // read-locked by writes of configurations, write-locked by a restore

	confirmedAt atomic.Pointer[time.Time] // latest moment at which the list was known to be up to date
	confirmNow  chan struct{}             // requests a confirmation before the next interval
	confirmedMu sync.Mutex
	confirmed   chan struct{} // closed at the next confirmation

	mu            sync.Mutex // guards the fields below
	state         *state.State
	stateChanged  chan struct{} // closed when the state changes
	leases        *lease.Table
	leaderReady   bool // this node leads and has applied all that was committed before its term
	lastSweep     lease.Sweep
	expiredLeases int64 // number of leases that expired since this node leads
}

// Open opens the node's directory and joins the cluster. A node whose directory is empty waits for all its
// peers until ctx ends; meanwhile the caller has to answer the peers' status requests with WaitingStatus.
func Open(ctx context.Context, cfg Config) (*Node, error) {
	snapshots, newest, err := openSnapshots(cfg.Dir, newLogger(cfg.Logger))
	if err != nil {
		return nil, err
	}
	disk, empty, err := store.Open(cfg.Dir, cfg.Name, newest, cfg.Logger)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, logger: cfg.Logger, store: disk, state: state.New(), leases: lease.New(cfg.Lease),
		confirmNow: make(chan struct{}, 1), confirmed: make(chan struct{}), stateChanged: make(chan struct{})}
	n.watches = watch.New(n)
	n.lifetime, n.stop = context.WithCancel(context.Background())
	n.peers = newPeerClient()
	if err := n.startRaft(ctx, snapshots, empty); err != nil {
		n.stop()
		return nil, errors.Join(err, disk.Close())
	}
	n.background.Go(func() { n.watches.Run(n.lifetime) })
	n.background.Go(n.runFreshness)
	n.background.Go(n.runLeadership)
	return n, nil
}

// Close stops the node. A leader transfers its leadership first. The node remains a member of the cluster.
func (n *Node) Close() error {
	if n.raft.State() == raft.Leader && len(n.cfg.Peers) > 1 {
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			n.logger.Warn("leadership transfer failed", "error", err)
		}
	}
	n.stop()
	n.background.Wait()
	done := make(chan error, 1)
	go func() { done <- n.raft.Shutdown().Error() }()
	select {
	case err := <-done:
		if c, ok := n.transport.(io.Closer); ok {
			err = errors.Join(err, c.Close())
		}
		return errors.Join(err, n.store.Close())
	case <-time.After(shutdownTimeout):
		return errShutdownTimeout
	}
}

// Propose commits a command and returns its result. It fails with ErrNotLeader on members that do not lead.
// After ErrUncertain the command may still take effect.
func (n *Node) Propose(c state.Command) (state.Result, error) {
	if !n.isLeader() {
		return state.Result{}, ErrNotLeader
	}
	return n.apply(c)
}

func (n *Node) apply(c state.Command) (state.Result, error) {
	future := n.raft.Apply(c.Encode(), applyTimeout)
	done := make(chan error, 1)
	go func() { done <- future.Error() }()
	select {
	case err := <-done:
		switch {
		case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout),
			errors.Is(err, raft.ErrLeadershipTransferInProgress):
			return state.Result{}, ErrNotLeader
		case err != nil:
			return state.Result{}, fmt.Errorf("%w (%w)", ErrUncertain, err)
		}
	case <-time.After(applyTimeout):
		return state.Result{}, ErrUncertain
	}
	result, ok := future.Response().(state.Result)
	if !ok {
		return state.Result{}, &unreadableCommandError{future.Response()}
	}
	return result, nil
}

func (n *Node) isLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaderReady
}

// Renew renews an endpoint's lease. It returns the endpoint's record, the newest version of the list, and a
// result code of package state. It fails with ErrNotLeader, or with ErrStale on a leader that cannot confirm
// its leadership: the next leader would not know of the renewal.
func (n *Node) Renew(ref state.InstanceRef) (record state.Record, version int64, code state.ResultCode, err error) {
	if n.Age() > n.cfg.MaxListAge {
		return record, 0, "", ErrStale
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaderReady {
		return record, 0, "", ErrNotLeader
	}
	version = n.state.Version()
	record, ok := n.state.Get(ref.Name)
	switch {
	case !ok && n.state.IsEnded(ref):
		code = state.ResultEnded
	case !ok:
		code = state.ResultUnknown
	case record.Instance != ref.Instance:
		code = state.ResultReplaced
	case !n.leases.Renew(time.Now(), ref): // it is expiring: a registration now is ordered after the expiry
		code = state.ResultUnknown
	default:
		code = state.ResultDone
	}
	return record, version, code, nil
}
