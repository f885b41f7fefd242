package balancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Which servers there are, and which of them this copy sends to.

const (
	goldenRatioStep = 0.618034 // steps of this part of a ring spread any number of starts evenly

	minSubset, subsetPerRootRate = 4.0, 3.0 // servers of a copy: at least, and by the root of its calls a second

	minWatchBackoff, maxWatchBackoff = second / 4, second // backoff of a failed subscription doubles up to this
	pollIntervalDivisor, watchTimer  = 8, "watch"         // and up to this part of AskEvery if that is less
)

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

// place enters a server that is listed for the first time.
func (b *Balancer) place(id string) *server {
	s := &server{Server: Server{ID: id}, hash: hashID(id)}
	s.resetLearned(len(b.classes))
	b.byID[id] = s
	b.all = append(b.all, s)
	b.fresh = append(b.fresh, s)
	return s
}

// gather has the ring hold the servers that are listed now: those that are new take their places, those that are gone
// leave theirs.
func (b *Balancer) gather() {
	b.ring = slices.DeleteFunc(b.ring, func(s *server) bool { return s.State == ServerRemoved })
	fresh := slices.DeleteFunc(b.fresh, func(s *server) bool { return s.State == ServerRemoved })
	if b.fresh = nil; len(fresh) == 0 {
		return
	}
	slices.SortFunc(fresh, onRing)
	ring := make([]*server, 0, len(b.ring)+len(fresh))
	for _, s := range b.ring {
		for len(fresh) > 0 && onRing(fresh[0], s) < 0 {
			ring, fresh = append(ring, fresh[0]), fresh[1:]
		}
		ring = append(ring, s)
	}
	b.ring = append(ring, fresh...)
}

// byRank orders the ready servers by their rank.
func (b *Balancer) byRank() {
	slices.SortStableFunc(b.ready, func(x, y *server) int { return b.rank(x) - b.rank(y) })
	b.near, b.far = 0, 0
	for _, s := range b.ready {
		b.near += int(indicator(b.rank(s) == 0))
		b.far += int(indicator(b.rank(s) < 2))
	}
}

// readyIn are the ready servers of a zone.
func (b *Balancer) readyIn(z *zone) (of []*server) {
	for _, s := range b.ready {
		if s.Zone == z.Zone {
			of = append(of, s)
		}
	}
	return of
}

// hash orders servers alike at every copy, by nothing that their names may mean.
func hashID(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}
