package balancer

// Routing by a list that may be out of date. While the list is confirmed nothing here has a say. Once it
// was not for Settings.EvidenceSpan, what shows that a server is still listed is that it goes on taking
// calls: one that drains turns them away, one that is gone takes none, and one that went and came back
// was silent for longer than the span.

// disprovenPart is the weight left to a server that took no call when it was last sent one, since the
// list was confirmed.
const contradictedWeight = unconfirmedWeight * unconfirmedWeight

// unprovenPart is the weight left to a server that nothing shows to be listed, beside those that
// something does. It is drawn once each of those holds three or four calls, so that a load which they
// can't carry spreads, or where there is none.
const unconfirmedWeight = 1e-5

// confirm takes it that the list is the newest there is. One that a copy starts with is the best it has.
func (b *Balancer) confirm(now int64, kind UpdateKind) {
	if kind != UpdateCached || b.confirmed == 0 {
		b.confirmed, b.heard = now, b.heard || kind != UpdateCached
	}
}

// stale tells whether the list was not confirmed for so long that it alone shows nothing.
func (b *Balancer) stale(now int64) bool {
	return b.s.MembershipEvidenceTTL > 0 && now-b.confirmed > b.s.MembershipEvidenceTTL
}

// listedPart is the weight left to a server by what shows it to be listed, or not to be.
func (b *Balancer) listedPart(now int64, s *server) float64 {
	switch {
	case now < s.provenUntil:
		return 1
	case s.disprovenAt >= b.confirmed:
		return contradictedWeight
	}
	return unconfirmedWeight
}

// prove takes a call's end as evidence. One that was taken, when the server was still shown to be listed,
// shows it on; after a gap nothing does but the list. A call that was not taken ends what was shown,
// unless it was sent before one that was.
func (b *Balancer) prove(s *server, sent int64, status Status) {
	if b.s.MembershipEvidenceTTL == 0 || status == StatusCancelled || status == StatusNotSent {
		return
	}
	taken := status == StatusOK || status == StatusError
	switch {
	case taken && (sent <= b.shownBy() || sent < s.provenUntil):
		s.provenUntil, s.disprovenAt = max(s.provenUntil, sent+b.s.MembershipEvidenceTTL), 0
	case !taken && sent >= s.provenUntil-b.s.MembershipEvidenceTTL:
		s.provenUntil, s.disprovenAt = 0, sent
	}
}

// shownBy is until when the list shows by itself what is listed. That of a copy that has heard of none
// shows it for the first calls of the copy: what took these was there then.
func (b *Balancer) shownBy() int64 {
	if !b.heard {
		return max(b.confirmed, b.born) + b.s.MembershipEvidenceTTL
	}
	return b.confirmed + b.s.MembershipEvidenceTTL
}
