package raftnode

import (
	"context"
	"fmt"
	"math"
	"time"

	"merlinpick/internal/registry/state"
)

// ReadIndex is the leader's state at a moment at which a quorum confirmed its leadership. A member that has applied it has
// all that was acknowledged before that moment.
type ReadIndex struct {
	Epoch   string `json:"line"`
	Version int64  `json:"index"`
	Commit  uint64 `json:"commit"` // raft's commit index

	// Configs is the leader's State.ConfigRevision: a new configuration makes no version of the list. It is 0 from a
	// leader whose build has no configurations.
	Configs uint64 `json:"configs"`
}

// coveredBy reports whether a state holds all that the index covers.
func (r ReadIndex) coveredBy(s *state.State) bool {
	return s.Epoch() == r.Epoch && s.Version() >= r.Version && s.ConfigRevision() >= r.Configs
}

// ReadIndex returns the leader's state after confirming its leadership with a quorum. All that was acknowledged before the
// call is in it, since a command is acknowledged after the leader has applied it. It fails with ErrNotLeader.
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

// Age is the time since the list was last known to be up to date; the longest duration if it never was.
func (n *Node) Age() time.Duration {
	if at := n.confirmedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return math.MaxInt64
}

// Serving reports whether the list may be served: it has an epoch and is at most Config.MaxListAge old.
func (n *Node) Serving() bool {
	epoch, _ := n.Version()
	return epoch != "" && n.Age() <= n.cfg.MaxListAge
}

// WaitLinearizable waits until the list was confirmed up to date at a moment after the call began. It fails with ErrStale
// after Config.MaxListAge.
func (n *Node) WaitLinearizable(ctx context.Context) error {
	begun := time.Now()
	select {
	case n.confirmNow <- struct{}{}:
	default: // a confirmation is asked for already
	}
	timeout := time.NewTimer(n.cfg.MaxListAge)
	defer timeout.Stop()
	for {
		n.confirmedMu.Lock()
		next := n.confirmed
		n.confirmedMu.Unlock()
		if at := n.confirmedAt.Load(); at != nil && at.After(begun) {
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

// runFreshness confirms the list every FreshnessInterval, and on demand, until Close.
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
				n.logger.Error("registry lost quorum: list not served", "age", n.Age(), "limit", n.cfg.MaxListAge, "error", err)
			}
			n.watches.NotifyChange() // watches answer 503 or go on
		}
		select {
		case <-interval.C:
		case <-n.confirmNow:
		case <-n.lifetime.Done():
			return
		}
	}
}

// confirm waits until this node has applied the leader's read index, and records that the list was up to date at a moment
// before the index was asked for.
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

// resumeVoting ends the abstention of a node that has applied all that the leader had committed.
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
