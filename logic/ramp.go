package logic

import "math"

// What this copy knows of the room that a cold server has. This file keeps books; it decides nothing.

// grown is the least part of its capacity that a server of its age has.
func (b *Balancer) grown(now int64, s *server) float64 {
	age := now - s.Launched
	if s.Launched == 0 || age >= b.s.Cold {
		return 1
	}
	return b.s.StartCapacity + (1-b.s.StartCapacity)*float64(max(age, 0))/float64(b.s.Cold)
}

// rush is how many requests usually come to this copy in Settings.FallSpan, by a longer time, and how many draws it
// has made in the one that ends now. By these a copy judges what a cold server stands, since no copy knows what
// others send it, and nobody tells its capacity. It takes it that
//   - the others send as it does: what one gets goes usually to the servers of its subset, no fewer than a zone has in
//     the mean, evenly by their size and zone, and a warm server can carry what comes to it so;
//   - what comes over the usual for a moment, as when refused clients come again, is no reason to send a cold server
//     as many times more;
//   - in a fresh process, what it gets is what is usual.
//
// Each copy then gives a cold server a chance in each draw, not a number of calls: the sum of all copies is as chance
// has it by Poisson, be they few or many, and even if each sends less than one call in the span. That sum is within
// tipPart of what tips the server while the fleet gets no more than the servers can carry when warm, and within all of
// it while it gets no more than 1/tipPart of that.
func (b *Balancer) rush(now int64) (usual, present float64) {
	span := min(b.s.FallSpan, windowWhole)
	seen := -math.Expm1(-float64(max(now-b.born, span)) / float64(tallySpan)) // of what a tally holds in the end
	return b.came.at(now) * float64(span) / (float64(tallySpan) * seen), max(1, b.draws.sum(now, span))
}
