// Package raftnode runs one member of the registry: the replicated state machine, the leases while this member leads, and
// the proof that its copy of the list is up to date. Consensus is hashicorp/raft. The package serves no requests of clients
// (package api does) and decides nothing about a list's content (package state does).
//
// List age. The age of a member's list counts from the latest moment of its own clock at which the list was known to be
// current: the member asked the leader for its read index, the leader confirmed its leadership with a quorum, and this
// member has applied everything up to that index. Each member does this every FreshnessInterval. A member whose list is
// older than Config.MaxListAge serves no reads; the API answers 503. That one rule covers members that are partitioned,
// suspended or catching up, and compares no clocks of different machines. A linearizable read waits for a confirmation
// that began after the read did.
//
// Leadership. A leader renews and expires leases only after a barrier has shown it everything committed before its term,
// and while its own list is up to date: before that, it cannot tell an unknown endpoint from one that it has not applied.
//
// Bootstrap. A member with an empty directory may have voted and acknowledged entries before it lost its disk. It starts
// a new service only if it reaches all other members and all are empty too. Otherwise it abstains from elections, across
// restarts, until it has applied all that the leader has committed.
//
// raft's LastContact does not bound the age of the list, since a member that is catching up hears from the leader all the
// time. Renewals are not in the log: a new leader restarts every lease in any case.
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
	// FreshnessInterval is the time between two confirmations that the list is up to date.
	FreshnessInterval = 250 * time.Millisecond

	leaseSweepInterval = 100 * time.Millisecond

	applyTimeout    = 2 * time.Second // for a command to be committed and applied
	barrierTimeout  = 10 * applyTimeout
	restoreTimeout  = 10 * applyTimeout
	shutdownTimeout = 3 * time.Second
)

// Peer is a member of the cluster and its addresses, HOST:PORT.
type Peer struct {
	Name string
	Raft string // for raft's traffic
	API  string // for the HTTP API
}

// Config configures a node.
type Config struct {
	Name            string
	Dir             string
	Listen          string        // address for raft's traffic; empty: the node's own address in Peers
	Peers           []Peer        // all members with this one; empty: a cluster of one
	ElectionTimeout time.Duration // without a heartbeat from the leader
	MaxListAge      time.Duration // an older list is not served
	Lease           lease.Config
	Logger          *slog.Logger
}

// Errors of calls that may be retried, here or on another member. After ErrUncertain the command may still take effect.
var (
	ErrNotLeader = errors.New("this member does not lead")
	ErrNoLeader  = errors.New("no leader is known")
	ErrStale     = errors.New("this member has lost the leader: its list may be old")
	ErrUncertain = errors.New("not confirmed in time; it may have happened: repeat it")
)

// errShutdownTimeout is harmless: the log recovers as after a kill.
var errShutdownTimeout = errors.New("raft did not shut down in time; the next start recovers its directory as after a kill")

// unreadableCommandError is a committed command that this build cannot decode.
type unreadableCommandError struct{ response any }

func (e *unreadableCommandError) Error() string {
	return fmt.Sprintf("a command of the log cannot be read: %v", e.response)
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

	lifetime   context.Context // until Close
	stop       context.CancelFunc
	background sync.WaitGroup

	configWrites sync.RWMutex // read-locked by writes of configurations, locked by a restore

	confirmedAt atomic.Pointer[time.Time] // latest moment at which the list was known to be up to date
	confirmNow  chan struct{}             // asks for a confirmation before the next interval
	confirmedMu sync.Mutex
	confirmed   chan struct{} // closed at the next confirmation

	mu            sync.Mutex // guards the fields below
	state         *state.State
	stateChanged  chan struct{} // closed when the state changes
	leases        *lease.Table
	leaderReady   bool // this node leads and has applied all that was committed before its term
	lastSweep     lease.Sweep
	expiredLeases int64 // since this node leads
}

// Open opens the node's directory and joins the cluster. A node whose directory is empty waits for all its peers until ctx
// ends; meanwhile the caller has to answer their requests with WaitingStatus.
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

// Close leaves the cluster. A leader transfers its leadership first.
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

// Propose has the cluster commit a command and returns its result. It fails with ErrNotLeader on other members. After
// ErrUncertain the command may still take effect.
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

// Renew extends an endpoint's lease. It returns the endpoint's record, the newest version, and a result code of package
// state. It fails with ErrNotLeader, or with ErrStale on a leader that cannot confirm its leadership: the next leader would
// not know of the renewal.
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
