package raftnode

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/lease"
	"merlinpick/internal/registry/state"
)

// runLeadership tracks whether this node leads, and sweeps the leases while it does, until Close.
func (n *Node) runLeadership() {
	sweeps := time.NewTicker(leaseSweepInterval)
	defer sweeps.Stop()
	for {
		select {
		case leads := <-n.raft.LeaderCh():
			if leads {
				n.startLeading()
			} else {
				n.stopLeading()
			}
		case <-sweeps.C:
			switch {
			case n.isLeader():
				n.sweepLeases()
			case n.raft.State() == raft.Leader: // startLeading failed before: retry
				n.startLeading()
			}
		case <-n.lifetime.Done():
			n.stopLeading()
			return
		}
	}
}

func (n *Node) stopLeading() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaderReady {
		n.logger.Info("leadership lost")
	}
	n.leaderReady = false
}

// startLeading waits until this node has applied all that was committed before its term, begins the first
// epoch of a new cluster, and restarts every lease.
func (n *Node) startLeading() {
	if err := n.raft.Barrier(barrierTimeout).Error(); err != nil {
		n.logger.Warn("leadership not usable yet: barrier failed", "error", err)
		return
	}
	epoch, version := n.Version()
	if epoch == "" {
		begin := state.Command{Kind: state.CommandBegin, Epoch: newEpoch(), FirstVersion: state.FirstVersion(time.Now(), version)}
		if _, err := n.apply(begin); err != nil {
			n.logger.Warn("first epoch not begun", "error", err)
			return
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leases.Reset(time.Now(), n.state.Records())
	n.leaderReady, n.expiredLeases = true, 0
	n.logger.Info("leadership gained", "term", n.raft.CurrentTerm(), "version", n.state.Version(), "endpoints", n.state.Len())
}

func newEpoch() string {
	name := make([]byte, 8)
	_, _ = rand.Read(name) // crypto/rand never returns an error
	return hex.EncodeToString(name)
}

// sweepLeases removes endpoints whose leases have expired. A leader that cannot confirm its leadership
// removes none and restarts all leases: it may be cut off from the renewals itself.
func (n *Node) sweepLeases() {
	stale := n.Age() > n.cfg.MaxListAge
	n.mu.Lock()
	now := time.Now()
	if stale {
		n.leases.Reset(now, n.state.Records())
		n.mu.Unlock()
		return
	}
	sweep := n.leases.Sweep(now)
	n.lastSweep = sweep
	n.mu.Unlock()
	n.logSweep(sweep)
	if len(sweep.Expired) > 0 {
		n.expire(now, sweep.Expired)
	}
}

func (n *Node) logSweep(sweep lease.Sweep) {
	if sweep.Paused > 0 {
		n.logger.Warn("lease timers paused", "reason", "process suspended", "duration", sweep.Paused)
	}
	for _, zone := range sweep.HoldsStarted {
		n.logger.Error("zone held: too many leases expired together", "zone", zone, "leases", sweep.HeldLeases,
			"threshold", n.cfg.Lease.HoldThreshold, "release_rate", n.cfg.Lease.ReleaseRate)
	}
	for _, zone := range sweep.HoldsEnded {
		n.logger.Info("zone no longer held", "zone", zone)
	}
}

// expire commits the removal of endpoints whose leases have expired. If that fails, it restarts their leases.
func (n *Node) expire(now time.Time, expired []state.InstanceRef) {
	_, err := n.apply(state.Command{Kind: state.CommandExpire, Refs: expired})
	if err == nil {
		n.logger.Info("leases expired", "endpoints", expired)
		n.mu.Lock()
		n.expiredLeases += int64(len(expired))
		n.mu.Unlock()
		return
	}
	if !errors.Is(err, ErrNotLeader) {
		n.logger.Warn("lease expiry not committed: leases restarted", "endpoints", len(expired), "error", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ref := range expired {
		if r, ok := n.state.Get(ref.Name); ok && r.Instance == ref.Instance {
			n.leases.Put(now, r)
		}
	}
}
