package proxy

import (
	"log/slog"
	"sync/atomic"
	"time"

	"merlinpick/internal/discovery"
)

// listStatus tracks the age of the endpoint list that requests are routed by. The loop owns it; isStale may
// be called from any goroutine.
//
// The list is synced by each answer from discovery, with or without changes. It becomes stale maxAge after
// the last sync: from then on there may be changes that discovery counts as notified, but that this process
// has not received. In a process that has only a list from its configuration or its predecessor, the list
// is stale from the start: its age is unknown, or the predecessor may have lost discovery.
type listStatus struct {
	logger     *slog.Logger
	maxAge     time.Duration // 0: the list is never stale
	started    time.Time
	synced     time.Time // last sync; zero: never synced
	staleAt    time.Time // when the list becomes stale unless it is synced before
	version    int64
	stale      atomic.Bool
	staleSince time.Time // valid while stale
}

func newListStatus(maxAge time.Duration, logger *slog.Logger) *listStatus {
	now := time.Now()
	return &listStatus{logger: logger, maxAge: maxAge, started: now, staleAt: now}
}

// isStale reports whether the list was stale at the last check.
func (s *listStatus) isStale() bool { return s.stale.Load() }

// setInitial records the list that the process starts with, and where it comes from.
func (s *listStatus) setInitial(list *discovery.List, from string) {
	s.setVersion(list)
	s.logger.Info("initial endpoint list", "version", list.Version, "endpoints", len(list.Endpoints), "from", from)
}

// setVersion records a list that discovery has not confirmed to this process.
func (s *listStatus) setVersion(list *discovery.List) { s.version = list.Version }

// markSynced records an answer from discovery.
func (s *listStatus) markSynced(now time.Time, list *discovery.List) {
	first := s.synced.IsZero()
	if first || s.stale.Load() {
		s.logger.Info("endpoint list synced", "version", list.Version, "previous_version", s.version, "endpoints", len(list.Endpoints),
			"snapshot", list.Snapshot, "first", first, "since_start", now.Sub(s.started), "stale_for", s.staleFor(now))
	}
	s.synced, s.staleAt, s.version = now, now.Add(s.maxAge), list.Version
	s.stale.Store(false)
}

// sourceChanged records that the operator has changed the discovery address. Changes at the new address count
// as notified after discovery.SourceChangeDeadline, so the list becomes stale then at the latest.
func (s *listStatus) sourceChanged(now time.Time) {
	if deadline := now.Add(discovery.SourceChangeDeadline); deadline.Before(s.staleAt) {
		s.staleAt = deadline
	}
}

// checkStale marks the list as stale, and logs it, once staleAt has passed.
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

// staleFor returns how long the list has been stale, or 0 if it is not.
func (s *listStatus) staleFor(now time.Time) time.Duration {
	if !s.stale.Load() {
		return 0
	}
	return now.Sub(s.staleSince)
}
