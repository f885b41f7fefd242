package balancer

import "math"

// List evidence: how far a list that may be out of date is trusted.
//
// Input: when the list was last confirmed, and the ends of attempts. Output: a factor of a server's weight
// while the list is stale, that is, not confirmed for longer than Settings.MembershipEvidenceTTL. Then what
// shows that a server is still listed is that it goes on executing attempts: one that drains rejects them,
// one that is gone takes none, and one that went and came back was silent for longer than the TTL. While
// the list is confirmed none of this counts.
//
// Where no server is shown to be listed, calls are not rejected: an outage of discovery would end the
// service. The sooner after the list's evidence a server began to execute attempts, the less likely it went
// and came back before, so those that began first are preferred. For one more TTL such a beginning shows
// something, and servers without evidence are tried until there are enough with it.

const (
	// Weight left to a server that nothing shows to be listed, beside those that something does: it is drawn
	// where there is no other, or once each of those holds a dozen attempts.
	unconfirmedWeight = 1e-9

	// Weight left to a server that executes attempts since one TTL after the list's evidence ended; the
	// sooner it began, the more. One that began later may as well have come back.
	recentWeight = 1e-4

	// Factor of a server without full evidence in a zone in which a server did not answer an attempt since
	// the list was confirmed: a zone that is lost comes back as a whole.
	silentZoneWeight = 1e-4

	// Weight left to a server that took no attempt when it was last sent one, since the list was confirmed.
	contradictedWeight = unconfirmedWeight * unconfirmedWeight

	// Servers with evidence are enough if each gets so many attempts within the TTL: with fewer, chance ends
	// their evidence. A few are enough at any rate, which is not known of a replica that was idle.
	attemptsPerTTL, minWithEvidence = 3.0, 2.0
)

// listingState is what attempts show of a server's place in the list.
type listingState struct {
	confirmedUntil moment // until then it is shown to be listed
	contradictedAt moment // when an attempt that it didn't take was sent; 0: none
	recentSince    moment // when the first of a run of executed attempts was sent that shows nothing
	recentUntil    moment // until then that run goes on
}

// listEvidence holds when the list was confirmed.
type listEvidence struct {
	*shared
	confirmedAt   moment // or when a new replica got its first list
	everConfirmed bool
	silentZones   map[int]moment // by zone: when the latest attempt was sent that was not answered there
}

func newListEvidence(common *shared) *listEvidence {
	return &listEvidence{shared: common, silentZones: map[int]moment{}}
}

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

// seeksEvidence reports whether attempts go to servers without evidence as to others, while the list is
// stale: too few of them have any for this replica's attempts, and it is early enough to get some. It never
// is for a replica with a cached list: whatever came about before its start may count as known.
// rate is in attempts a second.
func (e *listEvidence) seeksEvidence(now moment, servers []*server, rate float64) bool {
	if !e.everConfirmed || now >= e.listedUntil().add(e.ttl()) {
		return false
	}
	enough, found := max(minWithEvidence, rate*float64(e.ttl())/float64(seconds)/attemptsPerTTL), 0.0
	for _, server := range servers {
		if kind := e.evidence(now, server); kind == EvidenceConfirmed || kind == EvidenceRecent {
			found++
		}
		if found >= enough {
			return false
		}
	}
	return true
}

// factor is the factor of a server's weight while the list is stale, above 0 to 1.
func (e *listEvidence) factor(now moment, server *server, seeksEvidence bool) float64 {
	factor := unconfirmedWeight
	switch e.evidence(now, server) {
	case EvidenceConfirmed:
		return 1
	case EvidenceContradicted:
		return contradictedWeight
	case EvidenceRecent:
		if lateness := server.listing.recentSince.since(e.listedUntil()); lateness < e.ttl() {
			factor = math.Pow(recentWeight, max(0, float64(lateness)/float64(e.ttl())))
		}
	case EvidenceNone:
		if seeksEvidence {
			factor = 1
		}
	}
	if silentAt, ok := e.silentZones[server.Zone]; ok && silentAt >= e.confirmedAt {
		factor *= silentZoneWeight
	}
	return factor
}

// evidence is what attempts show of a server while the list is stale.
func (e *listEvidence) evidence(now moment, server *server) ServerEvidence {
	switch {
	case now < server.listing.confirmedUntil:
		return EvidenceConfirmed
	case server.listing.contradictedAt >= e.confirmedAt:
		return EvidenceContradicted
	case now < server.listing.recentUntil:
		return EvidenceRecent
	}
	return EvidenceNone
}

// record takes the end of an attempt. One that was executed, when the server was still shown to be listed,
// shows it on; after a gap nothing does but the list, and it begins or continues a run of recent ones. One
// that was not executed ends what was shown, unless it was sent before one that was.
func (e *listEvidence) record(server *server, sentAt moment, status Status) {
	ttl := e.ttl()
	if ttl == 0 || status == StatusCancelled || status == StatusNotSent {
		return
	}
	state, executed := &server.listing, status == StatusOK || status == StatusError
	switch {
	case executed && (sentAt <= e.listedUntil() || sentAt < state.confirmedUntil):
		state.confirmedUntil, state.contradictedAt = max(state.confirmedUntil, sentAt.add(ttl)), 0
	case executed:
		if sentAt >= state.recentUntil {
			state.recentSince = sentAt
		}
		state.recentUntil = max(state.recentUntil, sentAt.add(ttl))
	case sentAt >= max(state.confirmedUntil, state.recentUntil).add(-ttl):
		*state = listingState{contradictedAt: sentAt}
	}
	if !executed && status != StatusRejected {
		e.silentZones[server.Zone] = max(e.silentZones[server.Zone], sentAt)
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
