package member

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"fernlanding/internal/roster/state"
)

// lead owns what the leader does beside the log: it notes when this member begins and ceases to lead, begins the first
// line, and lets leases end.
func (m *Member) lead() {
	looks := time.NewTicker(tick)
	defer looks.Stop()
	for {
		select {
		case leads := <-m.raft.LeaderCh():
			if !leads {
				m.cease()
				continue
			}
			m.begin()
		case <-looks.C:
			switch {
			case m.isLeading():
				m.lookOver()
			case m.raft.State() == raft.Leader: // what had to be confirmed first was not, in its time
				m.begin()
			}
		case <-m.ctx.Done():
			m.cease()
			return
		}
	}
}

func (m *Member) cease() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leading {
		m.log.Info("this member leads no more")
	}
	m.leading = false
}

func (m *Member) begin() {
	if err := m.raft.Barrier(10 * applyWait).Error(); err != nil {
		m.log.Warn("the lead was lost before it began", "error", err)
		return
	}
	line, former := m.Version()
	if line == "" {
		first := state.Command{Kind: state.Begin, Line: newLine(), Base: state.Base(time.Now(), former)}
		if _, err := m.apply(first); err != nil {
			m.log.Warn("the list could not be begun", "error", err)
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases.Reset(time.Now(), m.state.Records())
	m.leading, m.expired = true, 0
	m.log.Info("this member leads", "term", m.raft.CurrentTerm(), "index", m.state.Index(), "nodos", m.state.Len())
}

// lookOver has the leases that have ended end. A leader that cannot tell whether it leads ends none: it may be the one
// that the renewals do not reach.
func (m *Member) lookOver() {
	stale := m.Age() > m.cfg.Stale
	m.mu.Lock()
	now := time.Now()
	if stale {
		// All begin again when it is sure.
		m.leases.Reset(now, m.state.Records())
		m.mu.Unlock()
		return
	}
	l := m.leases.Look(now)
	m.look = l
	m.mu.Unlock()
	if l.Stalled > 0 {
		m.log.Warn("this process stood still: no lease ran meanwhile", "for", l.Stalled)
	}
	for _, z := range l.Begun {
		m.log.Error("too many leases of a zone ended together: its nodos are kept, and let go slowly", "zone", z,
			"overdue", l.Overdue, "part", m.cfg.Lease.Part, "pace", m.cfg.Lease.Pace)
	}
	for _, z := range l.Ended {
		m.log.Info("a zone's nodos are no longer held", "zone", z)
	}
	if len(l.Gone) == 0 {
		return
	}
	_, err := m.apply(state.Command{Kind: state.Expire, Refs: l.Gone})
	if err == nil {
		m.log.Info("leases ended", "nodos", l.Gone)
		m.mu.Lock()
		m.expired += int64(len(l.Gone))
		m.mu.Unlock()
		return
	}
	if !errors.Is(err, ErrNotLeading) {
		m.log.Warn("leases that ended stand for another time", "nodos", len(l.Gone), "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ref := range l.Gone {
		if r, ok := m.state.Get(ref.Name); ok && r.Instance == ref.Instance {
			m.leases.Put(now, r)
		}
	}
}
