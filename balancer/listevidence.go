package balancer

// List evidence: how far a list that may be out of date is trusted.
//
// Input: when the list was last confirmed, and the ends of attempts. Output: a factor of a server's weight
// while the list is stale, that is, not confirmed for longer than Settings.MembershipEvidenceTTL. Then what
// shows that a server is still listed is that it goes on executing attempts: one that drains rejects them,
// one that is gone takes none, and one that went and came back was silent for longer than the TTL. While
// the list is confirmed none of this counts.

const (
	// Weight left to a server that nothing shows to be listed, beside those that something does. It is
	// drawn once each of those holds three or four attempts, so that a load which they can't carry spreads,
	// or where there is no other.
	unconfirmedWeight = 1e-5

	// Weight left to a server that took no attempt when it was last sent one, since the list was confirmed.
	contradictedWeight = unconfirmedWeight * unconfirmedWeight
)

// listingState is what attempts show of a server's place in the list.
type listingState struct {
	confirmedUntil moment // until then it is shown to be listed
	contradictedAt moment // when an attempt that it didn't take was sent; 0: none
}

// listEvidence holds when the list was confirmed.
type listEvidence struct {
	*shared
	confirmedAt   moment // or when a new replica got its first list
	everConfirmed bool
}

func newListEvidence(common *shared) *listEvidence { return &listEvidence{shared: common} }

// ttl is how long evidence lasts; 0: the list holds without limit.
func (e *listEvidence) ttl() span { return span(e.settings.MembershipEvidenceTTL) }

// confirm records that the list is the newest there is. A cached one is the best that a new replica has.
func (e *listEvidence) confirm(now moment, kind UpdateKind) {
	if kind != UpdateCached || e.confirmedAt == 0 {
		e.confirmedAt, e.everConfirmed = now, e.everConfirmed || kind != UpdateCached
	}
}

// isStale reports whether the list alone shows nothing any more.
func (e *listEvidence) isStale(now moment) bool {
	return e.ttl() > 0 && now.since(e.confirmedAt) > e.ttl()
}

// factor is the factor of a server's weight while the list is stale, above 0 to 1.
func (e *listEvidence) factor(now moment, server *server) float64 {
	switch e.evidence(now, server) {
	case EvidenceConfirmed:
		return 1
	case EvidenceContradicted:
		return contradictedWeight
	}
	return unconfirmedWeight
}

// evidence is what attempts show of a server while the list is stale.
func (e *listEvidence) evidence(now moment, server *server) ServerEvidence {
	switch {
	case now < server.listing.confirmedUntil:
		return EvidenceConfirmed
	case server.listing.contradictedAt >= e.confirmedAt:
		return EvidenceContradicted
	}
	return EvidenceNone
}

// record takes the end of an attempt. One that was executed, when the server was still shown to be listed,
// shows it on; after a gap nothing does but the list. One that was not executed ends what was shown, unless
// it was sent before one that was.
func (e *listEvidence) record(server *server, sentAt moment, status Status) {
	ttl := e.ttl()
	if ttl == 0 || status == StatusCancelled || status == StatusNotSent {
		return
	}
	state, executed := &server.listing, status == StatusOK || status == StatusError
	switch {
	case executed && (sentAt <= e.listedUntil() || sentAt < state.confirmedUntil):
		state.confirmedUntil, state.contradictedAt = max(state.confirmedUntil, sentAt.add(ttl)), 0
	case !executed && sentAt >= state.confirmedUntil.add(-ttl):
		state.confirmedUntil, state.contradictedAt = 0, sentAt
	}
}

// listedUntil is the time until which the list by itself shows what is listed. A new replica's
// cached list shows it for its first requests: what executes these was there then.
func (e *listEvidence) listedUntil() moment {
	if !e.everConfirmed {
		return max(e.confirmedAt, e.arrivals.firstAt).add(e.ttl())
	}
	return e.confirmedAt.add(e.ttl())
}
