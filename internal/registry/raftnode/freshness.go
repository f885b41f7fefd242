package raftnode

import (
	"context"
	"fmt"
	"math"
	"time"

	"merlinpick/internal/registry/state"
)

// ReadIndex identifies the leader's state when a quorum confirmed its leadership. A member that has applied
// everything up to it has all that was acknowledged before it was requested.
type ReadIndex struct {
	Epoch   string `json:"line"`
	Version int64  `json:"index"`
	Commit  uint64 `json:"commit"` // raft's commit index

	// Configs is the leader's State.ConfigRevision: a new configuration creates no version of the list. It is
	// 0 from a leader whose build does not support configurations.
	Configs uint64 `json:"configs"`
}

// coveredBy reports whether a state has applied everything up to the index.
func (r ReadIndex) coveredBy(s *state.State) bool {
	return s.Epoch() == r.Epoch && s.Version() >= r.Version && s.ConfigRevision() >= r.Configs
}

// ReadIndex returns the read index after a quorum has confirmed this node's leadership. It covers all that
// was acknowledged before the call, since a command is acknowledged after the leader has applied it. It fails
// with ErrNotLeader.
func (n *Node) ReadIndex() (ReadIndex, error) {
	if !n.isLeader() {
		return ReadIndex{}, ErrNotLeader
	}
	index := ReadIndex{Commit: n.raft.CommitIndex()}
	n.mu.Lock()
	index.Epoch, index.Version, index.Configs = n.state.Epoch(), n.state.Version(), n.state.ConfigRevision()
	n.mu.Unlock()
	if err := n.raft.VerifyLeader().Error(); err != nil {
		return ReadIndex{}, fmt.Errorf("%w (%w)", ErrNotLeader, err)
	}
	return index, nil
}

// Age returns the time since the list was last known to be up to date, or the longest duration if it never
// was.
func (n *Node) Age() time.Duration {
	if at := n.confirmedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return math.MaxInt64
}

// Serving reports whether this node may serve the list: it has an epoch and its age is at most
// Config.MaxListAge.
func (n *Node) Serving() bool {
	epoch, _ := n.Version()
	return epoch != "" && n.Age() <= n.cfg.MaxListAge
}

// WaitLinearizable waits for a confirmation, begun after this call, that the list is up to date. It fails
// with ErrStale after Config.MaxListAge or when the node is closed, and with ctx's error.
func (n *Node) WaitLinearizable(ctx context.Context) error {
	start := time.Now()
	select {
	case n.confirmNow <- struct{}{}:
	default: // a confirmation is already requested
	}
	timeout := time.NewTimer(n.cfg.MaxListAge)
	defer timeout.Stop()
	for {
		n.confirmedMu.Lock()
		next := n.confirmed
		n.confirmedMu.Unlock()
		if at := n.confirmedAt.Load(); at != nil && at.After(start) {
			return nil
		}
		select {
		case <-next:
		case <-timeout.C:
			return ErrStale
		case <-ctx.Done():
			return ctx.Err()
		case <-n.lifetime.Done():
			return ErrStale
		}
	}
}

// runFreshness confirms that the list is up to date every FreshnessInterval, and on demand, until Close.
func (n *Node) runFreshness() {
	interval := time.NewTicker(FreshnessInterval)
	defer interval.Stop()
	wasServing := false
	for {
		err := n.confirm(time.Now())
		if serving := n.Serving(); serving != wasServing {
			wasServing = serving
			if serving {
				n.logger.Info("serving the list")
			} else {
				n.logger.Error("registry lost quorum: list not served", "age", n.Age(),
					"limit", n.cfg.MaxListAge, "error", err)
			}
			n.watches.NotifyChange() // watches check again whether this node serves
		}
		select {
		case <-interval.C:
		case <-n.confirmNow:
		case <-n.lifetime.Done():
			return
		}
	}
}

// confirm waits until this node has applied the leader's read index, and records that the list was up to date
// at the given time, which is before the index was requested.
func (n *Node) confirm(at time.Time) error {
	ctx, cancel := context.WithTimeout(n.lifetime, n.cfg.MaxListAge)
	defer cancel()
	index, err := n.requestReadIndex(ctx)
	if err != nil {
		return err
	}
	if err := n.waitApplied(ctx, index); err != nil {
		return err
	}
	n.confirmedAt.Store(&at)
	n.confirmedMu.Lock()
	close(n.confirmed)
	n.confirmed = make(chan struct{})
	n.confirmedMu.Unlock()
	return n.resumeVoting(index)
}

func (n *Node) requestReadIndex(ctx context.Context) (ReadIndex, error) {
	if n.isLeader() {
		return n.ReadIndex()
	}
	leader, ok := n.Leader()
	if !ok || leader.Name == n.cfg.Name {
		return ReadIndex{}, ErrNoLeader
	}
	return n.peers.readIndex(ctx, leader)
}

func (n *Node) waitApplied(ctx context.Context, index ReadIndex) error {
	for {
		n.mu.Lock()
		covered, changed := index.coveredBy(n.state), n.stateChanged
		n.mu.Unlock()
		if covered {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrStale
		}
	}
}

// resumeVoting ends this node's abstention from elections once it has applied all that the leader had
// committed.
func (n *Node) resumeVoting(index ReadIndex) error {
	if n.voting == nil || !n.voting.abstains.Load() || n.raft.AppliedIndex() < index.Commit {
		return nil
	}
	if err := n.store.Set(abstainKey, []byte{0}); err != nil {
		return err
	}
	n.voting.abstains.Store(false)
	n.logger.Info("caught up: voting in elections")
	return nil
}
