package balancer

// Which servers there are, and which of them this copy sends to.

import (
	"cmp"
	"math"
	"slices"
)

const (
	goldenRatioStep = 0.618034 // steps of this part of a ring spread any number of starts evenly

	minSubset, subsetPerRootRate = 4.0, 3.0 // servers of a copy: at least, and by the root of its calls a second

	minWatchBackoff, maxWatchBackoff = second / 4, second // backoff of a failed subscription doubles up to this
	pollIntervalDivisor, watchTimer  = 8, "watch"         // and up to this part of AskEvery if that is less
)

// List takes a list of servers or its changes.
func (b *Balancer) UpdateEndpoints(now int64, h Host, kind UpdateKind, entries []Server) {
	if kind == UpdateFailed {
		if b.asked { // many copies keep the list busy: back off, one ask at a time
			h.SetTimer(b.backoff+b.rnd.Int64N(b.backoff), watchTimer)
			b.backoff = max(minWatchBackoff, min(2*b.backoff, maxWatchBackoff, b.s.PollInterval/pollIntervalDivisor))
		}
		b.asked = false
		return
	}
	b.confirm(now, kind)
	if kind != UpdateDelta {
		for _, s := range b.all {
			s.State = ServerRemoved // unless listed below
		}
	}
	for _, e := range entries {
		b.enter(e)
	}
	b.leases(now)
	if b.relist(); b.zones != nil {
		b.condemn(now) // one whose lease has come back may be damped
	}
	if b.s.WatchEndpoints && !b.asked {
		b.asked = true
		h.Watch()
	}
	b.backoff = minWatchBackoff
}

// enter takes one entry of a list. What was learned of a server is dropped when its process restarts.
func (b *Balancer) enter(e Server) {
	s := b.byID[e.ID]
	if s == nil {
		s = b.place(e.ID)
	}
	if s.StartTime != e.StartTime {
		s.resetLearned(len(b.classes))
	}
	s.Server = e
}

// Ban has these servers and no others left out by hand, if need be all. One that comes back starts afresh.
func (b *Balancer) SetSuspendedServers(ids map[string]bool) {
	was := b.banned
	b.banned = ids
	for _, s := range b.all {
		if was[s.ID] && !ids[s.ID] {
			s.resetLearned(len(b.classes))
			s.probePending = true
		}
	}
	b.relist()
}

// relist forgets gone servers and gathers the ready: one that drains or is banned is out at once (rule 3).
func (b *Balancer) relist() {
	b.all = slices.DeleteFunc(b.all, func(s *server) bool {
		if s.State == ServerRemoved {
			delete(b.byID, s.ID)
		}
		return s.State == ServerRemoved
	})
	b.gather()
	b.ready = b.ready[:0]
	for _, s := range b.ring {
		if s.State == ServerReady && !b.banned[s.ID] && !b.drained[s.Zone] {
			b.ready = append(b.ready, s)
		}
	}
	b.rotate()
}

// rotate puts this copy's subset first: copies start spread over a ring of servers by their hashes. Otherwise
// each held a connection of every copy, which costs it capacity, and a copy saw too few calls to judge it.
func (b *Balancer) rotate() {
	_, start := math.Modf(float64(b.s.ReplicaIndex) * goldenRatioStep)
	first := int(start * float64(len(b.ready)))
	b.ready = slices.Concat(b.ready[first:], b.ready[:first])
	b.near, b.far = len(b.ready), len(b.ready)
	if b.zones != nil {
		b.byRank()
	}
}

// onRing is the order of servers on the ring.
func onRing(x, y *server) int {
	return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.ID, y.ID))
}

// rank puts servers at home first, as a small subset of the ring may be mostly far, and zones left last.
func (b *Balancer) rank(s *server) int {
	z := b.zone(s.Zone)
	return 2*int(indicator(z != nil && z.Phase == ZoneEvacuated)) + int(indicator(s.Zone != b.s.Zone))
}

// subset is how many warm and healthy servers this copy's calls are spread over.
func (b *Balancer) subset(now int64) float64 {
	rate := b.tier.admitted.count(now, maxWindow) / float64(maxWindow/second)
	return max(minSubset, subsetPerRootRate*math.Sqrt(rate))
}
