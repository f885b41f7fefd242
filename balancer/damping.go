package balancer

import "slices"

// Removals and returns that follow each other fast do more harm than the server does: each moves load, costs
// handshakes and starts the next one elsewhere. So what flaps gets one steady, small share until it rests.
const (
	flapHalf   = 20 * second // a penalty halves in this time
	flapMost   = 5.0         // and is no more than this: what has rested is back within 2.4 half times
	flapLong   = 60 * second // damped for no longer; the next flap then damps again
	flapWindow = 2 * second  // flaps that several observers saw within this are one
	flapVotes  = 3           // observers that must have seen one; fewer where fewer live, see enough
	dampedPart = 0.1         // of its share is left to a server that flaps

	flapDown, flapHealthy = 0.1, 0.2 // health of one that fell: two failures; bad part of one that is back

	flapSuppress, flapReuse = 2.2, 1.0 // over it damps: the third flap, 10 s apart or less; under this ends
)

// enough is how many observers must have seen a flap where so many live: one's own link can be bad.
func enough(living int) int { return min(flapVotes, 1+living/4) }

// counts tells whether a flap, seen by one observer more, now counts: enough saw it, and it leads back.
func (r *record) counts(now int64, down bool, v vote, enough int) bool {
	if down == r.down || v.at <= r.last || v.at > now {
		return false
	}
	r.votes = slices.DeleteFunc(r.votes, func(o vote) bool {
		return o.observer == v.observer || v.at-o.at > flapWindow
	})
	if r.votes = append(r.votes, v); len(r.votes) < enough {
		return false
	}
	r.down, r.last, r.votes = down, v.at, nil
	r.penalty, r.at, r.fresh = min(r.left(now)+1, flapMost), now, true
	return true
}

// rested tells whether a record may be forgotten.
func (r *record) rested(now int64) bool { return r.left(now) < flapReuse/2 && now-r.last > flapHalf }

// steady tells whether a key is to get its steady share now.
func (r *record) steady(now int64) bool {
	if left := r.left(now); r.since != 0 && (left < flapReuse || now-r.since >= flapLong) {
		r.since = 0
	} else if r.since == 0 && r.fresh && left > flapSuppress {
		r.since = now
	}
	r.fresh = false
	return r.since != 0
}

// detectFlap looks whether a server that was healthy is bad or the other way round. Slow calls are no
// flap, nor is having no room, or a crowd would damp its tier; a single failure is, if others show it, too.
func (b *Balancer) detectFlap(now int64, s *server) {
	left := s.whole.left
	for _, c := range s.classes {
		left = min(left, s.whole.left*c.left)
	}
	if s.callsBad() && s.seen.cause != FaultSaturated && (left <= flapDown || left < healthyPart && s.told < 1) {
		b.flapped(now, s, true, s.seen.cause)
	} else if s.seen.part() <= flapHealthy && s.whole.left >= healthyPart && s.told == 1 {
		b.flapped(now, s, false, NoFault)
	}
}

// leases has a server that the list has no longer fall: one that comes back with the same start flaps.
func (b *Balancer) leases(now int64) {
	for _, s := range b.all {
		if f := b.flaps[s.ID]; b.zones != nil && (s.State == ServerRemoved || f.down && f.cause == leaseEnded) {
			b.flapped(now, s, s.State == ServerRemoved, leaseEnded)
		}
	}
}

// damp damps servers by the flaps that copies tell of, the longest damped first, within the budget for
// removals, alone this zone's part of it; it returns what is left and each zone's use. No ban is overruled.
func (b *Balancer) damp(now int64) (left int, out map[int]int) {
	need := enough(b.peers.LiveReplicasInZone)
	for n := range b.notices {
		if n.Kind == ReportServerFlap && !b.s.DisableFlapDamping && (n.Fault != FaultUnresponsive || n.ObserverZone == b.s.Zone) {
			b.damper.saw(now, n.Server, n.StartTime, n.BadFraction >= badServer, n.Observer, n.LastObserved, need)
		}
	}
	if left, out = budget(len(b.ready)), map[int]int{}; b.peers.Isolated {
		left = left * b.peers.LiveReplicasInZone / max(b.peers.LiveReplicas, b.peers.LiveReplicasInZone)
	}
	flapping, in := b.flapping(now)
	for _, s := range flapping {
		if s.damped = left > 0 && out[s.Zone] < budget(in[s.Zone]); s.damped {
			left, out[s.Zone] = left-1, out[s.Zone]+1
		}
	}
	return left, out
}
