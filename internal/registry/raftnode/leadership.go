package raftnode

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/state"
)

// lead owns what the leader does beside the log: it notes when this member begins and ceases to lead, begins the first
// line, and lets leases end.
func (m *Node) runLeadership() {
	looks := time.NewTicker(leaseSweepInterval)
	defer looks.Stop()
	for {
		select {
		case leads := <-m.raft.LeaderCh():
			if !leads {
				m.stopLeading()
				continue
			}
			m.startLeading()
		case <-looks.C:
			switch {
			case m.isLeader():
				m.sweepLeases()
			case m.raft.State() == raft.Leader: // what had to be confirmed first was not, in its time
				m.startLeading()
			}
		case <-m.lifetime.Done():
			m.stopLeading()
			return
		}
	}
}

func (m *Node) stopLeading() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaderReady {
		m.logger.Info("this member leads no more")
	}
	m.leaderReady = false
}

func (m *Node) startLeading() {
	if err := m.raft.Barrier(10 * applyTimeout).Error(); err != nil {
		m.logger.Warn("the lead was lost before it began", "error", err)
		return
	}
	line, former := m.Version()
	if line == "" {
		first := state.Command{Kind: state.CommandBegin, Epoch: newEpoch(), FirstVersion: state.FirstVersion(time.Now(), former)}
		if _, err := m.apply(first); err != nil {
			m.logger.Warn("the list could not be begun", "error", err)
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases.Reset(time.Now(), m.state.Records())
	m.leaderReady, m.expiredLeases = true, 0
	m.logger.Info("this member leads", "term", m.raft.CurrentTerm(), "index", m.state.Version(), "nodos", m.state.Len())
}

// lookOver has the leases that have ended end. A leader that cannot tell whether it leads ends none: it may be the one
// that the renewals do not reach.
func (m *Node) sweepLeases() {
	stale := m.Age() > m.cfg.MaxListAge
	m.mu.Lock()
	now := time.Now()
	if stale {
		// All begin again when it is sure.
		m.leases.Reset(now, m.state.Records())
		m.mu.Unlock()
		return
	}
	l := m.leases.Sweep(now)
	m.lastSweep = l
	m.mu.Unlock()
	if l.Paused > 0 {
		m.logger.Warn("this process stood still: no lease ran meanwhile", "for", l.Paused)
	}
	for _, z := range l.HoldsStarted {
		m.logger.Error("too many leases of a zone ended together: its nodos are kept, and let go slowly", "zone", z,
			"overdue", l.HeldLeases, "part", m.cfg.Lease.HoldThreshold, "pace", m.cfg.Lease.ReleaseRate)
	}
	for _, z := range l.HoldsEnded {
		m.logger.Info("a zone's nodos are no longer held", "zone", z)
	}
	if len(l.Expired) == 0 {
		return
	}
	_, err := m.apply(state.Command{Kind: state.CommandExpire, Refs: l.Expired})
	if err == nil {
		m.logger.Info("leases ended", "nodos", l.Expired)
		m.mu.Lock()
		m.expiredLeases += int64(len(l.Expired))
		m.mu.Unlock()
		return
	}
	if !errors.Is(err, ErrNotLeader) {
		m.logger.Warn("leases that ended stand for another time", "nodos", len(l.Expired), "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ref := range l.Expired {
		if r, ok := m.state.Get(ref.Name); ok && r.Instance == ref.Instance {
			m.leases.Put(now, r)
		}
	}
}
