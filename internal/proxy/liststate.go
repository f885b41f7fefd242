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
type listState struct {
	log     *slog.Logger
	bound   time.Duration // from the last sync until it is stale; 0: it never is
	started time.Time
	synced  time.Time // zero: never
	until   time.Time // from then on it is stale
	index   int64
	stale   atomic.Bool
	since   time.Time // that it is stale
}

func newListState(bound time.Duration, log *slog.Logger) *listState {
	now := time.Now()
	return &listState{log: log, bound: bound, started: now, until: now}
}

// isStale tells whether the list was stale at the last look.
func (s *listState) isStale() bool { return s.stale.Load() }

// known notes the list of the configuration.
func (s *listState) known(list *discovery.List) {
	s.index = list.Version
	s.log.Info("list known at the start", "index", list.Version, "entries", len(list.Endpoints))
}

// sync notes an answer of discovery.
func (s *listState) sync(now time.Time, list *discovery.List) {
	first := s.synced.IsZero()
	if first || s.stale.Load() {
		s.log.Info("list synced", "index", list.Version, "former_index", s.index, "entries", len(list.Endpoints), "full", list.Full,
			"first", first, "after_start", now.Sub(s.started), "stale_for", s.staleFor(now))
	}
	s.synced, s.until, s.index = now, now.Add(s.bound), list.Version
	s.stale.Store(false)
}

// moved notes that the operator has named another address, whose changes count as told soon.
func (s *listState) moved(now time.Time) {
	if by := now.Add(discovery.SourceChangeDeadline); by.Before(s.until) {
		s.until = by
	}
}

// look notes that the list has become stale, if it has.
func (s *listState) look(now time.Time) {
	if s.bound == 0 || s.stale.Load() || now.Before(s.until) {
		return
	}
	s.stale.Store(true)
	s.since = s.until
	if s.synced.IsZero() {
		s.log.Warn("list not synced yet: servers of the configuration's list are used, whatever its age", "index", s.index)
		return
	}
	s.log.Warn("list stale: changes may count as told that were not heard", "index", s.index, "synced_ago", now.Sub(s.synced))
}

func (s *listState) staleFor(now time.Time) time.Duration {
	if !s.stale.Load() {
		return 0
	}
	return now.Sub(s.since)
}
