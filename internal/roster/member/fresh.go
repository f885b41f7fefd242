package member

import (
	"context"
	"fmt"
	"math"
	"time"
)

// Proof is what this leader's list is now: it has made sure with a majority that it leads. All that was acknowledged
// before the call is in it, since a command is acknowledged once the leader's list has it.
func (m *Member) Proof() (Proof, error) {
	if !m.isLeading() {
		return Proof{}, ErrNotLeading
	}
	p := Proof{Commit: m.raft.CommitIndex()}
	m.mu.Lock()
	p.Line, p.Index, p.Configs = m.state.Line(), m.state.Index(), m.state.ConfigsMark()
	m.mu.Unlock()
	if err := m.raft.VerifyLeader().Error(); err != nil {
		return Proof{}, fmt.Errorf("%w (%w)", ErrNotLeading, err)
	}
	return p, nil
}

// Age is the time since the list was last proved current.
func (m *Member) Age() time.Duration {
	if at := m.fresh.Load(); at != nil {
		return time.Since(*at)
	}
	return math.MaxInt64
}

// Serving tells whether the list is told: it has begun and is not older than it may be.
func (m *Member) Serving() bool {
	line, _ := m.Version()
	return line != "" && m.Age() <= m.cfg.Stale
}

// AwaitFresh waits until the list has been proved current at a moment after this call began.
func (m *Member) AwaitFresh(ctx context.Context) error {
	begun := time.Now()
	select {
	case m.newer <- struct{}{}: // not at the next poll but now
	default:
	}
	patience := time.NewTimer(m.cfg.Stale)
	defer patience.Stop()
	for {
		m.waitMu.Lock()
		next := m.waiter
		m.waitMu.Unlock()
		if at := m.fresh.Load(); at != nil && at.After(begun) {
			return nil
		}
		select {
		case <-next:
		case <-patience.C:
			return ErrStale
		case <-ctx.Done():
			return ctx.Err()
		case <-m.ctx.Done():
			return ErrStale
		}
	}
}

// keepFresh owns the member's freshness.
func (m *Member) keepFresh() {
	polls := time.NewTicker(Poll)
	defer polls.Stop()
	serves := false
	for {
		at := time.Now()
		err := m.prove(at)
		if now := m.Serving(); now != serves {
			if serves = now; now {
				m.log.Info("the list is served")
			} else {
				m.log.Error("the list is not served: the leader is lost", "age", m.Age(), "bound", m.cfg.Stale, "error", err)
			}
			m.hub.Changed() // those who wait are told
		}
		select {
		case <-polls.C:
		case <-m.newer:
		case <-m.ctx.Done():
			return
		}
	}
}

// prove gets one proof that the list was current at a moment.
func (m *Member) prove(at time.Time) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.Stale)
	defer cancel()
	p, err := m.proof(ctx)
	if err != nil {
		return err
	}
	for {
		m.mu.Lock()
		has, next := p.holds(m.state), m.moved
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
	m.fresh.Store(&at)
	m.waitMu.Lock()
	close(m.waiter)
	m.waiter = make(chan struct{})
	m.waitMu.Unlock()
	if m.voice != nil && m.voice.abstains.Load() && m.raft.AppliedIndex() >= p.Commit {
		if err := m.store.Set(abstainKey, []byte{0}); err != nil {
			return err
		}
		m.voice.abstains.Store(false)
		m.log.Info("this member holds all that is confirmed: it votes from now on")
	}
	return nil
}

func (m *Member) proof(ctx context.Context) (Proof, error) {
	if m.isLeading() {
		return m.Proof()
	}
	p, ok := m.Leader()
	if !ok || p.Name == m.cfg.Name {
		return Proof{}, ErrNoLeader
	}
	return m.peers.proof(ctx, p)
}
