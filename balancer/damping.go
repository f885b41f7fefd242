package balancer

import "slices"

// Removals and returns that follow each other fast do more harm than the server does: each moves load, costs
// handshakes and starts the next one elsewhere. So what flaps gets one steady, small share until it rests.
const (
	penaltyHalfLife  = 20 * second // a penalty halves in this time
	maxPenalty       = 5.0         // and is no more than this: what has rested is back within 2.4 half times
	maxDamping       = 60 * second // damped for no longer; the next flap then damps again
	flapVoteWindow   = 2 * second  // flaps that several observers saw within this are one
	maxRequiredVotes = 3           // observers that must have seen one; fewer where fewer live, see enough
	dampedWeight     = 0.1         // of its share is left to a server that flaps

	fallenScore, recoveredBadFraction = 0.1, 0.2 // health of one that fell: two failures; bad part of one that is back

	dampingThreshold, reuseThreshold = 2.2, 1.0 // over it damps: the third flap, 10 s apart or less; under this ends
)

// enough is how many observers must have seen a flap where so many live: one's own link can be bad.
func requiredFlapVotes(living int) int { return min(maxRequiredVotes, 1+living/4) }

// counts tells whether a flap, seen by one observer more, now counts: enough saw it, and it leads back.
func (r *flapRecord) accept(now int64, down bool, v flapVote, enough int) bool {
	if down == r.down || v.at <= r.lastFlapAt || v.at > now {
		return false
	}
	r.votes = slices.DeleteFunc(r.votes, func(o flapVote) bool {
		return o.observer == v.observer || v.at-o.at > flapVoteWindow
	})
	if r.votes = append(r.votes, v); len(r.votes) < enough {
		return false
	}
	r.down, r.lastFlapAt, r.votes = down, v.at, nil
	r.penalty, r.penaltyAt, r.newFlap = min(r.currentPenalty(now)+1, maxPenalty), now, true
	return true
}

// rested tells whether a record may be forgotten.
func (r *flapRecord) rested(now int64) bool {
	return r.currentPenalty(now) < reuseThreshold/2 && now-r.lastFlapAt > penaltyHalfLife
}

// steady tells whether a key is to get its steady share now.
func (r *flapRecord) updateDamped(now int64) bool {
	if left := r.currentPenalty(now); r.dampedSince != 0 && (left < reuseThreshold || now-r.dampedSince >= maxDamping) {
		r.dampedSince = 0
	} else if r.dampedSince == 0 && r.newFlap && left > dampingThreshold {
		r.dampedSince = now
	}
	r.newFlap = false
	return r.dampedSince != 0
}

// detectFlap looks whether a server that was healthy is bad or the other way round. Slow calls are no
// flap, nor is having no room, or a crowd would damp its tier; a single failure is, if others show it, too.
func (b *Balancer) detectFlap(now int64, s *server) {
	left := s.whole.score
	for _, c := range s.classes {
		left = min(left, s.whole.score*c.score)
	}
	if s.isUnhealthy() && s.seen.fault != FaultSaturated && (left <= fallenScore || left < healthyScore && s.told < 1) {
		b.flapped(now, s, true, s.seen.fault)
	} else if s.seen.badFraction() <= recoveredBadFraction && s.whole.score >= healthyScore && s.told == 1 {
		b.flapped(now, s, false, NoFault)
	}
}

// leases has a server that the list has no longer fall: one that comes back with the same start flaps.
func (b *Balancer) leases(now int64) {
	for _, s := range b.all {
		if f := b.flaps[s.ID]; b.zones != nil && (s.State == ServerRemoved || f.down && f.fault == faultDelisted) {
			b.flapped(now, s, s.State == ServerRemoved, faultDelisted)
		}
	}
}

// damp damps servers by the flaps that copies tell of, the longest damped first, within the budget for
// removals, alone this zone's part of it; it returns what is left and each zone's use. No ban is overruled.
func (b *Balancer) damp(now int64) (left int, out map[int]int) {
	need := requiredFlapVotes(b.peers.LiveReplicasInZone)
	for n := range b.notices {
		if n.Kind == ReportServerFlap && !b.s.DisableFlapDamping && (n.Fault != FaultUnresponsive || n.ObserverZone == b.s.Zone) {
			b.damper.recordFlap(now, n.Server, n.StartTime, n.BadFraction >= unhealthyBadFraction, n.Observer, n.LastObserved, need)
		}
	}
	if left, out = ejectionBudget(len(b.ready)), map[int]int{}; b.peers.Isolated {
		left = left * b.peers.LiveReplicasInZone / max(b.peers.LiveReplicas, b.peers.LiveReplicasInZone)
	}
	flapping, in := b.flapping(now)
	for _, s := range flapping {
		if s.damped = left > 0 && out[s.Zone] < ejectionBudget(in[s.Zone]); s.damped {
			left, out[s.Zone] = left-1, out[s.Zone]+1
		}
	}
	return left, out
}
