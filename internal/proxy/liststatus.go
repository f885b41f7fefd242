package proxy

import (
	"log/slog"
	"sync/atomic"
	"time"

	"merlinpick/internal/discovery"
)

// listStatus is how old the endpoint list is that requests are routed by. The loop owns it; isStale may be called from any
// goroutine.
//
// A list is synced whenever discovery answers, with changes or without. It is stale once changes may count as notified that
// this process has not heard of: maxAge after it was last synced, and from the start of a process that has only its
// configuration's list, whose age is unknown.
type listStatus struct {
	logger     *slog.Logger
	maxAge     time.Duration // 0: it is never stale
	started    time.Time
	synced     time.Time // zero: never
	staleAt    time.Time
	version    int64
	stale      atomic.Bool
	staleSince time.Time // while stale
}

func newListStatus(maxAge time.Duration, logger *slog.Logger) *listStatus {
	now := time.Now()
	return &listStatus{logger: logger, maxAge: maxAge, started: now, staleAt: now}
}

// isStale reports whether the list was stale at the last check.
func (s *listStatus) isStale() bool { return s.stale.Load() }

// setInitial notes the list that the process starts with.
func (s *listStatus) setInitial(list *discovery.List) {
	s.version = list.Version
	s.logger.Info("initial endpoint list", "version", list.Version, "endpoints", len(list.Endpoints))
}

// markSynced notes an answer of discovery.
func (s *listStatus) markSynced(now time.Time, list *discovery.List) {
	first := s.synced.IsZero()
	if first || s.stale.Load() {
		s.logger.Info("endpoint list synced", "version", list.Version, "previous_version", s.version, "endpoints", len(list.Endpoints),
			"snapshot", list.Snapshot, "first", first, "since_start", now.Sub(s.started), "stale_for", s.staleFor(now))
	}
	s.synced, s.staleAt, s.version = now, now.Add(s.maxAge), list.Version
	s.stale.Store(false)
}

// sourceChanged notes that the operator has set another discovery address, whose changes count as notified soon.
func (s *listStatus) sourceChanged(now time.Time) {
	if deadline := now.Add(discovery.SourceChangeDeadline); deadline.Before(s.staleAt) {
		s.staleAt = deadline
	}
}

// checkStale notes that the list has become stale, if it has.
func (s *listStatus) checkStale(now time.Time) {
	if s.maxAge == 0 || s.stale.Load() || now.Before(s.staleAt) {
		return
	}
	s.stale.Store(true)
	s.staleSince = s.staleAt
	if s.synced.IsZero() {
		s.logger.Warn("endpoint list not synced yet", "version", s.version)
		return
	}
	s.logger.Warn("endpoint list stale", "version", s.version, "age", now.Sub(s.synced))
}

func (s *listStatus) staleFor(now time.Time) time.Duration {
	if !s.stale.Load() {
		return 0
	}
	return now.Sub(s.staleSince)
}
