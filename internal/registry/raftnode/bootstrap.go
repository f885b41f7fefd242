package raftnode

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

const (
	snapshotThreshold = 2048 // log entries since the last snapshot
	trailingLogs      = 2048 // log entries kept before a snapshot, for followers that lag behind
	snapshotInterval  = 30 * time.Second
	bootstrapEntries  = 1 // log entries of a new cluster: only its raft configuration

	peerPollInterval = 200 * time.Millisecond
	waitLogInterval  = 5 * time.Second // between log lines while waiting for peers
)

// abstainKey is the key in the stable store whose value is 1 while the node abstains from elections.
var abstainKey = []byte("Abstains")

func raftConfig(cfg Config) *raft.Config {
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(cfg.Name)
	rc.Logger = newLogger(cfg.Logger)
	rc.HeartbeatTimeout, rc.ElectionTimeout = cfg.ElectionTimeout, cfg.ElectionTimeout
	rc.LeaderLeaseTimeout = cfg.ElectionTimeout / 2
	rc.SnapshotThreshold, rc.TrailingLogs = snapshotThreshold, trailingLogs
	rc.SnapshotInterval = snapshotInterval
	return rc
}

// startRaft starts raft on the node's store. If empty is true, the store holds nothing yet, and the node
// either bootstraps a new cluster together with all its peers or abstains from elections.
func (n *Node) startRaft(ctx context.Context, snapshots raft.SnapshotStore, empty bool) error {
	rc := raftConfig(n.cfg)
	abstain, err := n.openTransport(ctx, empty)
	if err != nil {
		return err
	}
	if empty && !abstain {
		if err := raft.BootstrapCluster(rc, n.store, n.store, snapshots, n.transport, n.initialConfiguration()); err != nil {
			return fmt.Errorf("bootstrap the cluster: %w", err)
		}
	}
	if n.raft, err = raft.NewRaft(rc, (*fsm)(n), n.store, n.store, snapshots, n.transport); err != nil {
		return fmt.Errorf("start raft from %s: %w", n.cfg.Dir, err)
	}
	return nil
}

// initialConfiguration returns the raft configuration with all members. Their raft addresses are their names,
// which peerAddresses resolves.
func (n *Node) initialConfiguration() raft.Configuration {
	if len(n.cfg.Peers) == 0 {
		self := raft.Server{ID: raft.ServerID(n.cfg.Name), Address: raft.ServerAddress(n.cfg.Name)}
		return raft.Configuration{Servers: []raft.Server{self}}
	}
	var servers []raft.Server
	for _, p := range n.cfg.Peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Name)})
	}
	return raft.Configuration{Servers: servers}
}

// openTransport opens the raft transport to the peers and reports whether this node has to abstain from
// elections.
func (n *Node) openTransport(ctx context.Context, empty bool) (abstain bool, err error) {
	if len(n.cfg.Peers) == 0 {
		_, n.transport = raft.NewInmemTransport(raft.ServerAddress(n.cfg.Name))
		return false, nil
	}
	if abstain, err = n.decideAbstention(ctx, empty); err != nil {
		return false, err
	}
	layer, err := listen(n.cfg)
	if err != nil {
		return false, err
	}
	n.voting = newVotingTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: layer,
		MaxPool: maxPooledConnections, Timeout: ioTimeout, Logger: newLogger(n.cfg.Logger),
		ServerAddressProvider: peerAddresses(n.cfg.Peers)}), abstain)
	n.transport = n.voting
	return abstain, nil
}

// decideAbstention reports whether this node has to abstain from elections. A node with an empty directory
// waits until a peer answers that it holds data or all peers have answered that they hold none; a peer that
// has not answered may hold data. If a peer holds data, the node stores that it abstains.
func (n *Node) decideAbstention(ctx context.Context, empty bool) (bool, error) {
	if !empty {
		value, err := n.store.Get(abstainKey)
		// An error means that the key was never set, since store.Open has verified all records.
		return err == nil && len(value) == 1 && value[0] == 1, nil
	}
	emptyPeers := map[string]bool{}
	lastLogged := time.Now()
	for {
		withData := n.pollPeers(ctx, emptyPeers)
		if withData != "" {
			n.logger.Warn("joining with an empty directory: abstaining from elections until caught up", "member", withData)
			if err := n.store.Set(abstainKey, []byte{1}); err != nil {
				return false, fmt.Errorf("store that this member abstains from elections: %w", err)
			}
			return true, nil
		}
		if len(emptyPeers) == len(n.cfg.Peers)-1 {
			return false, nil
		}
		if time.Since(lastLogged) > waitLogInterval {
			lastLogged = time.Now()
			n.logger.Warn("bootstrap waiting for all members", "missing", n.missingPeers(emptyPeers))
		}
		select {
		case <-time.After(peerPollInterval):
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}

// pollPeers asks each peer for its status, records in empty which ones hold no data, and returns the name of
// the first peer that holds data; it is empty if none does.
func (n *Node) pollPeers(ctx context.Context, empty map[string]bool) (withData string) {
	for _, p := range n.Peers() {
		status, err := n.peers.status(ctx, p)
		if err != nil {
			delete(empty, p.Name)
			continue
		}
		if !status.Empty {
			return p.Name
		}
		empty[p.Name] = true
	}
	return ""
}

func (n *Node) missingPeers(empty map[string]bool) string {
	var missing []string
	for _, p := range n.Peers() {
		if !empty[p.Name] {
			missing = append(missing, p.Name+" at "+p.API)
		}
	}
	return strings.Join(missing, ", ")
}
