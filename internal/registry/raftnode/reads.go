package raftnode

import (
	"strings"
	"time"

	"merlinpick/internal/registry/state"
	"merlinpick/internal/registry/watch"
)

// Watches returns the hub that wakes the watches when the list or a configuration changes, or when this node
// starts or stops serving.
func (n *Node) Watches() *watch.Hub { return n.watches }

// Version implements watch.Source.
func (n *Node) Version() (epoch string, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Epoch(), n.state.Version()
}

// Snapshot implements watch.Source: it returns the whole list.
func (n *Node) Snapshot() (epoch string, version int64, endpoints []state.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	records := n.state.Records()
	endpoints = make([]state.Endpoint, len(records))
	for i, r := range records {
		endpoints[i] = r.Endpoint
	}
	return n.state.Epoch(), n.state.Version(), endpoints
}

// Changes implements watch.Source.
func (n *Node) Changes(from int64) (epoch string, version int64, changes []state.Change, retained bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changes, retained = n.state.Changes(from)
	return n.state.Epoch(), n.state.Version(), changes, retained
}

// StateSnapshot returns a copy of the replicated state.
func (n *Node) StateSnapshot() state.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Snapshot()
}

// EndpointStatus is an endpoint's record and the remaining time of its lease in ms. Only the leader knows
// LeaseLeftMs; it is negative if the lease has expired and its zone is held.
type EndpointStatus struct {
	state.Record
	LeaseLeftMs *int64 `json:"lease_left_ms,omitempty"`
}

// Endpoints returns all records, ordered by name.
func (n *Node) Endpoints() []EndpointStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	records := n.state.Records()
	out := make([]EndpointStatus, len(records))
	for i, r := range records {
		out[i].Record = r
		if left, ok := n.leases.Remaining(now, r.Name); ok && n.leaderReady {
			ms := left.Milliseconds()
			out[i].LeaseLeftMs = &ms
		}
	}
	return out
}

// Leader returns the leader that this node knows of, and false if it knows none. The addresses are empty for
// a leader that is not in this node's configuration.
func (n *Node) Leader() (Peer, bool) {
	_, id := n.raft.LeaderWithID()
	if id == "" {
		return Peer{}, false
	}
	for _, p := range n.cfg.Peers {
		if p.Name == string(id) {
			return p, true
		}
	}
	return Peer{Name: string(id)}, true
}

// Peers returns the other members.
func (n *Node) Peers() []Peer {
	var out []Peer
	for _, p := range n.cfg.Peers {
		if p.Name != n.cfg.Name {
			out = append(out, p)
		}
	}
	return out
}

// Status describes a node to operators and to its peers.
type Status struct {
	Name            string `json:"name"`
	Role            string `json:"role"` // of raft: follower, candidate, leader; or joining
	Leader          string `json:"leader"`
	Term            uint64 `json:"term"`
	Epoch           string `json:"line"`
	Version         int64  `json:"index"`
	Endpoints       int    `json:"nodos"`
	AgeMs           int64  `json:"age_ms"` // age of the list in ms; -1: never confirmed up to date
	Serving         bool   `json:"serving"`
	Abstains        bool   `json:"abstains"`   // lost its directory, is catching up, does not vote yet
	Empty           bool   `json:"empty"`      // has nothing in its log yet
	SupportsConfigs bool   `json:"configs"`    // false in a response of a build without configurations
	HeldLeases      int    `json:"overdue"`    // expired, but their endpoints are kept; on the leader
	HeldZones       int    `json:"held_zones"` // on the leader
	ExpiredLeases   int64  `json:"expired"`    // since this node leads
	Configurations  int    `json:"configurations"`
}

// WaitingStatus returns the status of a node whose Open has not returned yet.
func WaitingStatus(name string) Status {
	return Status{Name: name, Role: "joining", AgeMs: -1, Empty: true, SupportsConfigs: true}
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	s := Status{Name: n.cfg.Name, SupportsConfigs: true, Role: strings.ToLower(n.raft.State().String()),
		Term: n.raft.CurrentTerm(), AgeMs: -1, Empty: n.raft.LastIndex() <= bootstrapEntries,
		Abstains: n.voting != nil && n.voting.abstains.Load()}
	if p, ok := n.Leader(); ok {
		s.Leader = p.Name
	}
	if n.confirmedAt.Load() != nil {
		s.AgeMs = n.Age().Milliseconds()
	}
	s.Serving = n.Serving()
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Epoch, s.Version, s.Endpoints = n.state.Epoch(), n.state.Version(), n.state.Len()
	s.Configurations = n.state.ConfigurationsLen()
	if n.leaderReady {
		s.HeldLeases, s.HeldZones, s.ExpiredLeases = n.lastSweep.HeldLeases, n.lastSweep.HeldZones, n.expiredLeases
	}
	return s
}
