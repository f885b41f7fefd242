package logic

// Removals and returns that follow each other fast do more harm than the server does: each moves load, costs
// handshakes and starts the next one elsewhere. So what swings gets one steady, small share until it rests.
const (
	swingHalf   = 20 * second // a penalty halves in this time
	swingMost   = 5.0         // and is no more than this: what has rested is back within 2.4 half times
	swingMark   = 2.2         // a penalty over it damps: the third swing, where they are 10 s apart or less
	swingReuse  = 1.0         // and one under it ends that
	swingLong   = 60 * second // so does this time; the next swing then damps again
	swingWindow = 2 * second  // swings that several observers saw within this are one
	swingVotes  = 3           // observers that must have seen one; fewer where fewer live, see enough
	swingDown   = 0.1         // health left from which a server has fallen: two failures in a row
	swingWell   = 0.2         // part of bad calls of late from which it is back
	dampedPart  = 0.1         // of its share is left to a server that swings
)

// enough is how many observers must have seen a swing where so many proxies live: a single one's link can be
// bad, and in a large fleet only some call a given server.
func enough(living int) int { return min(swingVotes, 1+living/4) }

// steady tells whether a key is to get its steady share now.
func (r *swing) steady(now int64) bool {
	if left := r.left(now); r.since != 0 && (left < swingReuse || now-r.since >= swingLong) {
		r.since = 0
	} else if r.since == 0 && r.fresh && left > swingMark {
		r.since = now
	}
	r.fresh = false
	return r.since != 0
}

// swings looks whether a server that was well to this copy is bad or the other way round. Calls that are only
// slow are no swing, a single failure is one where others show it, too, and having no room is none, or a
// crowd would damp a part of its own tier.
func (b *Balancer) swings(now int64, s *server) {
	left := s.whole.left
	for _, c := range s.classes {
		left = min(left, s.whole.left*c.left)
	}
	if s.callsBad() && s.seen.cause != Crowded && (left <= swingDown || left < wellPart && s.told < 1) {
		b.swung(now, s, true, s.seen.cause)
	} else if s.seen.part() <= swingWell && s.whole.left >= wellPart && s.told == 1 {
		b.swung(now, s, false, NoCause)
	}
}

// damp takes the swings that copies tell of, and damps servers, the longest damped first, as far as the
// budget for removals goes, or alone this zone's part of it. It returns what is left of the budget and what
// each zone has used. Silence counts as with verdicts. No list, ban, age or refused connection is overruled.
func (b *Balancer) damp(now int64) (left int, out map[int]int) {
	need := enough(b.peers.Near)
	for n := range b.notices {
		if n.Kind == ServerFlap && !b.s.Undamped && (n.Cause != Silent || n.Zone == b.s.Zone) {
			b.damper.saw(now, n.Server, n.Launched, n.Bad >= badServer, n.Observer, n.At, need)
		}
	}
	if left, out = budget(len(b.ready)), map[int]int{}; b.peers.Alone {
		left = left * b.peers.Near / max(b.peers.Living, b.peers.Near)
	}
	swing, in := b.swinging(now)
	for _, s := range swing {
		if s.damped = left > 0 && out[s.Zone] < budget(in[s.Zone]); s.damped {
			left, out[s.Zone] = left-1, out[s.Zone]+1
		}
	}
	return left, out
}
