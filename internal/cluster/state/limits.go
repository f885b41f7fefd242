package state

import (
	"math"
	"slices"
	"strings"
)

// enforceLimits evicts entries if storing one exceeded a limit, and reports whether the stored entry was
// kept.
func (m *merge) enforceLimits(peer *observer, stored *Entry) (kept bool) {
	s, kept := m.store, true
	evict := func(from *observer, kind Kind) {
		s.peerEntryCount--
		if from.evict(kind, nil) == stored {
			kept = false
		} else {
			s.counts.Evicted++
		}
	}
	maxOfKind := paramsByKind[stored.Kind].maxPerObserver
	if peer.countByKind[stored.Kind] > maxOfKind || len(peer.entries) > s.limits.EntriesPerObserver {
		s.sweepObserver(m.now, peer)
	}
	if peer.countByKind[stored.Kind] > maxOfKind {
		evict(peer, stored.Kind)
	}
	if len(peer.entries) > s.limits.EntriesPerObserver {
		evict(peer, 0)
	}
	if s.peerEntryCount > s.limits.Entries && !m.swept {
		m.swept = true
		for _, other := range s.peers {
			s.sweepObserver(m.now, other)
		}
	}
	if s.peerEntryCount > s.limits.Entries {
		largest := slices.MaxFunc(s.peers, func(a, b *observer) int { return len(a.entries) - len(b.entries) })
		evict(largest, 0)
	}
	return kept
}

// findOrAddObserver returns the peer of that name, and adds it if it is unknown. At the limit the new peer
// replaces the observer without entries that was last heard from the longest ago; if there is none, the
// result is nil.
func (s *Store) findOrAddObserver(now int64, name string) *observer {
	find := func() (int, bool) {
		return slices.BinarySearchFunc(s.peers, name,
			func(o *observer, name string) int { return strings.Compare(o.name, name) })
	}
	i, known := find()
	if known {
		return s.peers[i]
	}
	if len(s.peers) >= s.limits.Observers {
		s.sweep(now)
		oldest := -1
		for j, peer := range s.peers {
			if len(peer.entries) == 0 && (oldest < 0 || peer.lastHeard < s.peers[oldest].lastHeard) {
				oldest = j
			}
		}
		if len(s.peers) >= s.limits.Observers {
			if oldest < 0 {
				return nil
			}
			s.peers = slices.Delete(s.peers, oldest, oldest+1)
		}
		i, _ = find()
	}
	o := &observer{name: name, lastHeard: now, lastReply: now - second, nextSweep: math.MaxInt64}
	s.peers = slices.Insert(s.peers, i, o)
	s.nextSweep = min(s.nextSweep, now+observerRetention+1)
	return o
}

func (s *Store) sweepObserver(now int64, peer *observer) {
	removed, expired := peer.sweep(now)
	s.peerEntryCount -= removed
	s.counts.Expired += uint64(expired)
}

// sweep removes entries, observers and tombstones of overrides whose retention has ended. It returns at once
// while nothing can be due, because it runs several times per publication.
func (s *Store) sweep(now int64) {
	s.overrides.sweep(now)
	if now < s.nextSweep {
		return
	}
	s.nextSweep = math.MaxInt64
	s.peers = slices.DeleteFunc(s.peers, func(o *observer) bool {
		s.sweepObserver(now, o)
		if len(o.entries) > 0 {
			s.nextSweep = min(s.nextSweep, o.nextSweep)
			return false
		}
		s.nextSweep = min(s.nextSweep, o.lastHeard+observerRetention+1)
		return now-o.lastHeard > observerRetention
	})
}
