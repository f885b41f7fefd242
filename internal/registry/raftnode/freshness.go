package raftnode

import (
	"context"
	"fmt"
	"math"
	"time"
)

// Proof is what this leader's list is now: it has made sure with a majority that it leads. All that was acknowledged
// before the call is in it, since a command is acknowledged once the leader's list has it.
func (m *Node) ReadIndex() (ReadIndex, error) {
	if !m.isLeader() {
		return ReadIndex{}, ErrNotLeader
	}
	p := ReadIndex{Commit: m.raft.CommitIndex()}
	m.mu.Lock()
	p.Epoch, p.Version, p.Configs = m.state.Epoch(), m.state.Version(), m.state.ConfigRevision()
	m.mu.Unlock()
	if err := m.raft.VerifyLeader().Error(); err != nil {
		return ReadIndex{}, fmt.Errorf("%w (%w)", ErrNotLeader, err)
	}
	return p, nil
}

// Age is the time since the list was last proved current.
func (m *Node) Age() time.Duration {
	if at := m.confirmedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return math.MaxInt64
}

// Serving tells whether the list is told: it has begun and is not older than it may be.
func (m *Node) Serving() bool {
	line, _ := m.Version()
	return line != "" && m.Age() <= m.cfg.MaxListAge
}

// AwaitFresh waits until the list has been proved current at a moment after this call began.
func (m *Node) WaitLinearizable(ctx context.Context) error {
	begun := time.Now()
	select {
	case m.confirmNow <- struct{}{}: // not at the next poll but now
	default:
	}
	patience := time.NewTimer(m.cfg.MaxListAge)
	defer patience.Stop()
	for {
		m.confirmedMu.Lock()
		next := m.confirmed
		m.confirmedMu.Unlock()
		if at := m.confirmedAt.Load(); at != nil && at.After(begun) {
			return nil
		}
		select {
		case <-next:
		case <-patience.C:
			return ErrStale
		case <-ctx.Done():
			return ctx.Err()
		case <-m.lifetime.Done():
			return ErrStale
		}
	}
}

// keepFresh owns the member's freshness.
func (m *Node) runFreshness() {
	polls := time.NewTicker(FreshnessInterval)
	defer polls.Stop()
	serves := false
	for {
		at := time.Now()
		err := m.confirmUpToDate(at)
		if now := m.Serving(); now != serves {
			if serves = now; now {
				m.logger.Info("the list is served")
			} else {
				m.logger.Error("the list is not served: the leader is lost", "age", m.Age(), "bound", m.cfg.MaxListAge, "error", err)
			}
			m.watches.NotifyChange() // those who wait are told
		}
		select {
		case <-polls.C:
		case <-m.confirmNow:
		case <-m.lifetime.Done():
			return
		}
	}
}

// prove gets one proof that the list was current at a moment.
func (m *Node) confirmUpToDate(at time.Time) error {
	ctx, cancel := context.WithTimeout(m.lifetime, m.cfg.MaxListAge)
	defer cancel()
	p, err := m.requestReadIndex(ctx)
	if err != nil {
		return err
	}
	for {
		m.mu.Lock()
		has, next := p.coveredBy(m.state), m.stateChanged
		m.mu.Unlock()
		if has {
			break
		}
		select {
		case <-next:
		case <-ctx.Done():
			return ErrStale
		}
	}
	m.confirmedAt.Store(&at)
	m.confirmedMu.Lock()
	close(m.confirmed)
	m.confirmed = make(chan struct{})
	m.confirmedMu.Unlock()
	if m.voting != nil && m.voting.abstains.Load() && m.raft.AppliedIndex() >= p.Commit {
		if err := m.store.Set(abstainKey, []byte{0}); err != nil {
			return err
		}
		m.voting.abstains.Store(false)
		m.logger.Info("this member holds all that is confirmed: it votes from now on")
	}
	return nil
}

func (m *Node) requestReadIndex(ctx context.Context) (ReadIndex, error) {
	if m.isLeader() {
		return m.ReadIndex()
	}
	p, ok := m.Leader()
	if !ok || p.Name == m.cfg.Name {
		return ReadIndex{}, ErrNoLeader
	}
	return m.peers.readIndex(ctx, p)
}
