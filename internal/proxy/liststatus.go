package proxy

import (
	"log/slog"
	"sync/atomic"
	"time"

	"merlinpick/internal/discovery"
)

// listState is how old the list is that requests are routed by. The loop owns it; isStale may be called from anywhere.
//
// A list is synced whenever discovery answers, with news or without. It is stale once changes may count as told that this
// process has not heard of: so long after it was last synced, and from the start of a process that has only the list of its
// configuration, whose age nobody tells.
type listStatus struct {
	logger     *slog.Logger
	maxAge     time.Duration // from the last sync until it is stale; 0: it never is
	started    time.Time
	synced     time.Time // zero: never
	staleAt    time.Time // from then on it is stale
	version    int64
	stale      atomic.Bool
	staleSince time.Time // that it is stale
}

func newListStatus(bound time.Duration, log *slog.Logger) *listStatus {
	now := time.Now()
	return &listStatus{logger: log, maxAge: bound, started: now, staleAt: now}
}

// isStale tells whether the list was stale at the last look.
func (s *listStatus) isStale() bool { return s.stale.Load() }

// known notes the list of the configuration.
func (s *listStatus) setInitial(list *discovery.List) {
	s.version = list.Version
	s.logger.Info("list known at the start", "index", list.Version, "entries", len(list.Endpoints))
}

// sync notes an answer of discovery.
func (s *listStatus) markSynced(now time.Time, list *discovery.List) {
	first := s.synced.IsZero()
	if first || s.stale.Load() {
		s.logger.Info("list synced", "index", list.Version, "former_index", s.version, "entries", len(list.Endpoints), "full", list.Full,
			"first", first, "after_start", now.Sub(s.started), "stale_for", s.staleFor(now))
	}
	s.synced, s.staleAt, s.version = now, now.Add(s.maxAge), list.Version
	s.stale.Store(false)
}

// moved notes that the operator has named another address, whose changes count as told soon.
func (s *listStatus) sourceChanged(now time.Time) {
	if by := now.Add(discovery.SourceChangeDeadline); by.Before(s.staleAt) {
		s.staleAt = by
	}
}

// look notes that the list has become stale, if it has.
func (s *listStatus) checkStale(now time.Time) {
	if s.maxAge == 0 || s.stale.Load() || now.Before(s.staleAt) {
		return
	}
	s.stale.Store(true)
	s.staleSince = s.staleAt
	if s.synced.IsZero() {
		s.logger.Warn("list not synced yet: servers of the configuration's list are used, whatever its age", "index", s.version)
		return
	}
	s.logger.Warn("list stale: changes may count as told that were not heard", "index", s.version, "synced_ago", now.Sub(s.synced))
}

func (s *listStatus) staleFor(now time.Time) time.Duration {
	if !s.stale.Load() {
		return 0
	}
	return now.Sub(s.staleSince)
}
