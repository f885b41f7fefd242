// Package member is one member of the list service: the state that consensus feeds, the leases while it leads, and what
// it knows of how fresh its list is.
//
// Consensus is hashicorp/raft. What is decided here:
//
// Freshness. A member's list was current at some moment of its own clock, and Age counts from the latest such moment: it
// asked the leader for its version, the leader made sure with a majority that it still leads, and this member has come
// up to there since. Each member asks every Poll; one that is older than Config.Stale answers nobody (the API
// turns that into 503). So a member cut off, one on a minority's side, one that was stopped and one that is still
// catching up all fall silent by one rule, and none needs a clock that agrees with another's. A read that must be
// linearizable waits for a moment after its own beginning.
//
// Leading. A leader takes renewals and lets leases end only once a barrier has shown it all that was committed before
// it, and while it is fresh itself: until then it cannot tell an unknown nodo from one it has not read of yet.
//
// Beginning. A member with an empty directory must not vote as if nothing had been: it may have voted, and have
// acknowledged entries, before its disk was lost, and a majority that counts on it could then forget what was confirmed.
// It starts a service only if it reaches all other members and all are as empty. If any has something, it abstains from
// elections, over restarts too, until it holds all that the leader has committed.
//
// Rejected: trust in raft's LastContact for freshness (a member that is catching up hears from the leader all the time);
// renewals in the log (a write and a sync for each nodo every few seconds, to keep what a new leader counts afresh anyway).
package raftnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/lease"
	"merlinpick/internal/registry/state"
	"merlinpick/internal/registry/store"
	"merlinpick/internal/registry/watch"
)

const (
	// Poll is between two proofs of freshness.
	FreshnessInterval  = 250 * time.Millisecond
	leaseSweepInterval = 100 * time.Millisecond // between two looks at the leases

	applyTimeout         = 2 * time.Second // for a command to be committed
	snapshotThreshold    = 2048            // entries
	trailingLogs         = 2048            // and are kept after it, for members that are behind
	retainedSnapshots    = 2
	maxPooledConnections = 3
	ioTimeout            = 5 * time.Second
	shutdownTimeout      = 3 * time.Second
	bootstrapEntries     = 1 // of the log, that a member begins with: nothing was promised in them
)

// Peer is a member as others find it.
type Peer struct {
	Name string
	Raft string // address of the consensus
	API  string // address of the list
}

// Config is what a member is told.
type Config struct {
	Name            string
	Dir             string
	Listen          string        // of the consensus; empty: the peer's own address
	Peers           []Peer        // all members, this one too; empty: it is the only one
	ElectionTimeout time.Duration // without a word from the leader
	MaxListAge      time.Duration // a list that is older is not told
	Lease           lease.Config
	Logger          *slog.Logger
}

// The ways in which a call can fail. The caller repeats it, elsewhere or later.
var (
	ErrNotLeader = errors.New("this member does not lead")
	ErrNoLeader  = errors.New("no leader is known")
	ErrStale     = errors.New("this member has lost the leader: its list may be old")
	ErrUncertain = errors.New("not confirmed in time; it may have happened: repeat it")
)

// Member is one member.
type Node struct {
	cfg          Config
	logger       *slog.Logger
	store        *store.Store
	raft         *raft.Raft
	transport    raft.Transport
	voting       *votingTransport // nil for an only member
	watches      *watch.Hub
	peers        *peerClient
	configWrites sync.RWMutex // a restore waits for the puts that are under way, and they for it
	lifetime     context.Context
	stop         context.CancelFunc
	background   sync.WaitGroup
	confirmedAt  atomic.Pointer[time.Time]
	confirmNow   chan struct{} // asks for a proof now, not at the next poll
	confirmedMu  sync.Mutex
	confirmed    chan struct{} // closed at the next proof

	mu            sync.Mutex // of what follows
	state         *state.State
	leases        *lease.Table
	leaderReady   bool
	lastSweep     lease.Sweep // the last one's figures
	expiredLeases int64
	stateChanged  chan struct{} // closed when the state has moved
}

// Open opens a member's directory and joins the others. One whose directory is empty waits for them, for as long as the
// context lasts; meanwhile its caller has to answer them with Waiting.
func Open(ctx context.Context, cfg Config) (*Node, error) {
	snaps, newest, err := openSnapshots(cfg.Dir, newLogger(cfg.Logger))
	if err != nil {
		return nil, err
	}
	st, fresh, err := store.Open(cfg.Dir, cfg.Name, newest, cfg.Logger)
	if err != nil {
		return nil, err
	}
	m := &Node{cfg: cfg, logger: cfg.Logger, store: st, state: state.New(), leases: lease.New(cfg.Lease),
		confirmNow: make(chan struct{}, 1), confirmed: make(chan struct{}), stateChanged: make(chan struct{})}
	m.watches = watch.New(m)
	m.lifetime, m.stop = context.WithCancel(context.Background())
	m.peers = newPeerClient(cfg)
	if err := m.startRaft(ctx, snaps, fresh); err != nil {
		m.stop()
		st.Close()
		return nil, err
	}
	m.background.Go(func() { m.watches.Run(m.lifetime) })
	m.background.Go(m.runFreshness)
	m.background.Go(m.runLeadership)
	return m, nil
}

func (m *Node) startRaft(ctx context.Context, snaps raft.SnapshotStore, fresh bool) error {
	cfg := m.cfg
	logger := newLogger(cfg.Logger)
	var err error
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(cfg.Name)
	rc.Logger = logger
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout = cfg.ElectionTimeout, cfg.ElectionTimeout, cfg.ElectionTimeout/2
	rc.SnapshotThreshold, rc.TrailingLogs = snapshotThreshold, trailingLogs
	rc.SnapshotInterval = 30 * time.Second
	servers := []raft.Server{{ID: rc.LocalID, Address: raft.ServerAddress(cfg.Name)}}
	abstain := false
	if len(cfg.Peers) == 0 {
		_, m.transport = raft.NewInmemTransport(raft.ServerAddress(cfg.Name))
	} else {
		servers = nil
		for _, p := range cfg.Peers {
			servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Name)})
		}
		if abstain, err = m.mustAbstain(ctx, fresh); err != nil {
			return err
		}
		layer, err := listen(cfg)
		if err != nil {
			return err
		}
		m.voting = newVotingTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: layer, MaxPool: maxPooledConnections,
			Timeout: ioTimeout, Logger: logger, ServerAddressProvider: peerAddresses(cfg.Peers)}), abstain)
		m.transport = m.voting
	}
	if fresh && !abstain {
		if err := raft.BootstrapCluster(rc, m.store, m.store, snaps, m.transport, raft.Configuration{Servers: servers}); err != nil {
			return fmt.Errorf("begin the service: %w", err)
		}
	}
	if m.raft, err = raft.NewRaft(rc, (*fsm)(m), m.store, m.store, snaps, m.transport); err != nil {
		return fmt.Errorf("start from %s: %w", cfg.Dir, err)
	}
	return nil
}

// snapshots opens the consensus's own snapshots, and reads each: the consensus would pass over a damaged one, and begin
// with an older one and a gap. Newest is the index that the newest one reaches.
func openSnapshots(dir string, logger hclog.Logger) (s *raft.FileSnapshotStore, newest uint64, err error) {
	if s, err = raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, logger); err != nil {
		return nil, 0, fmt.Errorf("snapshots: %w", err)
	}
	below, err := os.ReadDir(filepath.Join(dir, "snapshots"))
	if err != nil {
		return nil, 0, fmt.Errorf("snapshots: %w", err)
	}
	for _, d := range below {
		if !d.IsDir() || strings.HasSuffix(d.Name(), ".tmp") { // one that was being written when the process ended
			continue
		}
		index, err := verifySnapshot(s, d.Name())
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w: %w; nothing was changed. If the other members serve, move the member's "+
				"directory away and start it empty", filepath.Join(dir, "snapshots", d.Name()), store.ErrDamaged, err)
		}
		newest = max(newest, index)
	}
	return s, newest, nil
}

func verifySnapshot(s *raft.FileSnapshotStore, id string) (index uint64, err error) {
	meta, r, err := s.Open(id)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	_, err = state.ReadSnapshot(r)
	return meta.Index, err
}

// Close leaves the others: one that leads hands over first.
func (m *Node) Close() error {
	if m.raft.State() == raft.Leader && len(m.cfg.Peers) > 1 {
		if err := m.raft.LeadershipTransfer().Error(); err != nil {
			m.logger.Warn("the lead could not be handed over", "error", err)
		}
	}
	m.stop()
	m.background.Wait()
	done := make(chan error, 1)
	go func() { done <- m.raft.Shutdown().Error() }()
	select {
	case err := <-done:
		if c, ok := m.transport.(io.Closer); ok {
			err = errors.Join(err, c.Close())
		}
		return errors.Join(err, m.store.Close())
	case <-time.After(shutdownTimeout):
		return errors.New("the consensus did not end in time; its directory is as after a kill, which does no harm")
	}
}

// Hub tells callers of changes.
func (m *Node) Watches() *watch.Hub { return m.watches }

// Version implements fanout.Source.
func (m *Node) Version() (string, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Epoch(), m.state.Version()
}

// Whole implements fanout.Source.
func (m *Node) Snapshot() (string, int64, []state.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := m.state.Records()
	out := make([]state.Endpoint, len(records))
	for i, r := range records {
		out[i] = r.Endpoint
	}
	return m.state.Epoch(), m.state.Version(), out
}

// Changes implements fanout.Source.
func (m *Node) Changes(from int64) (string, int64, []state.Change, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes, kept := m.state.Changes(from)
	return m.state.Epoch(), m.state.Version(), changes, kept
}

// Do has the members agree on a command. Only the leader can. With ErrUnsure it may happen yet.
func (m *Node) Propose(c state.Command) (state.Result, error) {
	if !m.isLeader() {
		return state.Result{}, ErrNotLeader
	}
	return m.apply(c)
}

func (m *Node) apply(c state.Command) (state.Result, error) {
	f := m.raft.Apply(c.Encode(), applyTimeout)
	done := make(chan error, 1)
	go func() { done <- f.Error() }()
	select {
	case err := <-done:
		switch {
		case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
			return state.Result{}, ErrNotLeader
		case err != nil:
			return state.Result{}, fmt.Errorf("%w (%w)", ErrUncertain, err)
		}
	case <-time.After(applyTimeout):
		return state.Result{}, ErrUncertain
	}
	r, ok := f.Response().(state.Result)
	if !ok {
		return state.Result{}, fmt.Errorf("a command of the log cannot be read: %v", f.Response())
	}
	return r, nil
}

func (m *Node) isLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaderReady
}

// Renew has a nodo's lease last on, and tells its record and the newest version. ErrStale: a leader that cannot tell
// whether it still leads takes no renewal, since the next one would not know of it.
func (m *Node) Renew(ref state.InstanceRef) (r state.Record, index int64, end string, err error) {
	if m.Age() > m.cfg.MaxListAge {
		return r, 0, "", ErrStale
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leaderReady {
		return r, 0, "", ErrNotLeader
	}
	r, ok := m.state.Get(ref.Name)
	switch {
	case !ok && m.state.IsEnded(ref):
		return r, m.state.Version(), state.ResultEnded, nil
	case !ok:
		return r, m.state.Version(), state.ResultUnknown, nil
	case r.Instance != ref.Instance:
		return r, m.state.Version(), state.ResultReplaced, nil
	case !m.leases.Renew(time.Now(), ref): // it is being let go: the registration that follows comes after that
		return r, m.state.Version(), state.ResultUnknown, nil
	}
	return r, m.state.Version(), state.ResultDone, nil
}

// Nodo is a record with what its lease has left, which only the leader knows.
type EndpointStatus struct {
	state.Record
	LeaseLeftMs *int64 `json:"lease_left_ms,omitempty"`
}

// Nodos are all records.
func (m *Node) Endpoints() []EndpointStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	records := m.state.Records()
	out := make([]EndpointStatus, len(records))
	for i, r := range records {
		out[i].Record = r
		if left, ok := m.leases.Remaining(now, r.Name); ok && m.leaderReady {
			ms := left.Milliseconds()
			out[i].LeaseLeftMs = &ms
		}
	}
	return out
}

// Image copies the state.
func (m *Node) StateSnapshot() state.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

func newEpoch() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Leader is the member that leads, as far as this one knows.
func (m *Node) Leader() (Peer, bool) {
	_, id := m.raft.LeaderWithID()
	if id == "" {
		return Peer{}, false
	}
	for _, p := range m.cfg.Peers {
		if p.Name == string(id) {
			return p, true
		}
	}
	return Peer{Name: string(id)}, true
}

// Status is a member as operators see it.
type Status struct {
	Name            string `json:"name"`
	Role            string `json:"role"`
	Leader          string `json:"leader"`
	Term            uint64 `json:"term"`
	Epoch           string `json:"line"`
	Version         int64  `json:"index"`
	Endpoints       int    `json:"nodos"`
	AgeMs           int64  `json:"age_ms"` // since its list was last proved current; -1: never
	Serving         bool   `json:"serving"`
	Abstains        bool   `json:"abstains"` // it has lost its directory and is catching up: it does not vote
	Empty           bool   `json:"empty"`    // it holds nothing yet
	SupportsConfigs bool   `json:"configs"`  // its build knows configurations; one that does not say so has none
	HeldLeases      int    `json:"overdue"`  // leases that are over and held, on the leader
	HeldZones       int    `json:"held_zones"`
	ExpiredLeases   int64  `json:"expired"` // leases that this leader has let end

	Configurations int `json:"configurations"` // that are kept
}

// Status tells how the member is.
func (m *Node) Status() Status {
	s := Status{Name: m.cfg.Name, SupportsConfigs: true, Role: strings.ToLower(m.raft.State().String()), Term: m.raft.CurrentTerm(), AgeMs: -1,
		Empty: m.raft.LastIndex() <= bootstrapEntries, Abstains: m.voting != nil && m.voting.abstains.Load()}
	if p, ok := m.Leader(); ok {
		s.Leader = p.Name
	}
	if m.confirmedAt.Load() != nil {
		s.AgeMs = m.Age().Milliseconds()
	}
	s.Serving = m.Serving()
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Epoch, s.Version, s.Endpoints = m.state.Epoch(), m.state.Version(), m.state.Len()
	s.Configurations = m.state.ConfigurationsLen()
	if m.leaderReady {
		s.HeldLeases, s.HeldZones, s.ExpiredLeases = m.lastSweep.HeldLeases, m.lastSweep.HeldZones, m.expiredLeases
	}
	return s
}

// addresses finds members by name, each where this member's configuration has it.
type peerAddresses []Peer

func (a peerAddresses) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, p := range a {
		if p.Name == string(id) {
			return raft.ServerAddress(p.Raft), nil
		}
	}
	return "", fmt.Errorf("member %q is not in the configuration", id)
}

// stream is the consensus's connections: plain TCP.
type streamLayer struct{ net.Listener }

func (streamLayer) Dial(a raft.ServerAddress, patience time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(a), patience)
}

func listen(cfg Config) (streamLayer, error) {
	at := cfg.Listen
	for _, p := range cfg.Peers {
		if p.Name == cfg.Name && at == "" {
			at = p.Raft
		}
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return streamLayer{}, fmt.Errorf("listen for the other members: %w", err)
	}
	return streamLayer{l}, nil
}

// Check reads all that a member's directory holds, and changes nothing in it. Empty tells that it holds nothing.
func Check(dir, name string, log *slog.Logger) (empty bool, err error) {
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		return true, nil
	}
	_, newest, err := openSnapshots(dir, newLogger(log))
	if err != nil {
		return false, err
	}
	return store.Check(dir, name, newest, log)
}
