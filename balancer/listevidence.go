package balancer

import "math"

// List evidence: how far an endpoint list that may be out of date is trusted.
//
// Input: when the list was last confirmed, and the ends of attempts. Output: a factor of a server's weight
// while the list is stale, that is, not confirmed for longer than Settings.MembershipEvidenceTTL. While the
// list is stale, a server counts as still listed if it keeps executing attempts: a draining server rejects
// them, a removed server does not answer, and one that was removed and listed again was unresponsive for
// longer than the TTL. While the list is confirmed, this evidence is not used.
//
// If no server has such evidence, calls are sent nevertheless: otherwise an outage of discovery would become
// an outage of the service. The sooner after the list expired a server began to execute attempts, the less
// likely it was removed and listed again before, so the servers that began first are preferred. Such a
// beginning is evidence for one more TTL, during which servers without evidence are tried until enough
// servers have some.

const (
	// Weight factor of a server without evidence. Beside servers with evidence it is drawn only once each of
	// those has a dozen attempts in flight.
	unconfirmedWeight = 1e-9

	// Weight factor of a server that began to execute attempts one TTL after the list expired. The sooner it
	// began, the higher the factor; a server that began later may just as well have been removed and listed
	// again.
	recentWeight = 1e-4

	// Additional weight factor of a server with recent or no evidence, in a zone where an attempt got no
	// answer since the list was confirmed: after an outage of a zone all its servers come back together.
	unresponsiveZoneWeight = 1e-4

	// Weight factor of a server that did not execute its latest attempt since the list was confirmed.
	contradictedWeight = unconfirmedWeight * unconfirmedWeight

	// Enough servers have evidence once there is one for every attemptsPerTTL attempts of this replica in a
	// TTL: with fewer attempts each, their evidence would expire by chance. At least minWithEvidence servers
	// are needed, since the rate of a replica that was idle is not known.
	attemptsPerTTL, minWithEvidence = 3.0, 2.0
)

// listEvidenceState is the evidence that a server is still in the endpoint list.
type listEvidenceState struct {
	confirmedUntil moment // until then executed attempts confirm that it is listed
	contradictedAt moment // when the attempt was sent that it did not execute; 0: none
	recentSince    moment // when the first attempt of the current unconfirmed run of executed ones was sent
	recentUntil    moment // when that run ends unless another attempt is executed
}

// listEvidence holds when the endpoint list was confirmed, and when attempts to each zone got no answer.
type listEvidence struct {
	*shared
	confirmedAt       moment         // when the list was last confirmed or, at a new replica, first received
	everConfirmed     bool           // false while there is only a cached list
	unresponsiveZones map[int]moment // by zone, when the latest attempt was sent that got no answer there
}

func newListEvidence(common *shared) *listEvidence {
	return &listEvidence{shared: common, unresponsiveZones: map[int]moment{}}
}

// ttl returns how long evidence lasts; 0: the list never becomes stale.
func (e *listEvidence) ttl() span { return span(e.settings.MembershipEvidenceTTL) }

// confirm records that the list is up to date. A cached list counts only if it is the first one of a new
// replica.
func (e *listEvidence) confirm(now moment, kind UpdateKind) {
	if kind != UpdateCached || e.confirmedAt == 0 {
		e.confirmedAt, e.everConfirmed = now, e.everConfirmed || kind != UpdateCached
	}
}

// isStale reports whether the list has not been confirmed for longer than the TTL.
func (e *listEvidence) isStale(now moment) bool {
	return e.ttl() > 0 && now.since(e.confirmedAt) > e.ttl()
}

// seeksEvidence reports whether, while the list is stale, servers without evidence get attempts with their
// full weight: too few servers have evidence for the attempts of this replica, and new evidence still counts,
// as it does for one TTL after the list expired. It returns false for a replica that has only a cached list,
// since its servers may have changed at any time before its start. rate is in attempts per second.
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

// factor returns the factor of a server's weight while the list is stale, above 0 and at most 1.
func (e *listEvidence) factor(now moment, server *server, seeksEvidence bool) float64 {
	factor := unconfirmedWeight
	switch e.evidence(now, server) {
	case EvidenceConfirmed:
		return 1
	case EvidenceContradicted:
		return contradictedWeight
	case EvidenceRecent:
		if lateness := server.listEvidence.recentSince.since(e.listedUntil()); lateness < e.ttl() {
			factor = math.Pow(recentWeight, max(0, float64(lateness)/float64(e.ttl())))
		}
	case EvidenceNone:
		if seeksEvidence {
			factor = 1
		}
	}
	if silentAt, ok := e.unresponsiveZones[server.Zone]; ok && silentAt >= e.confirmedAt {
		factor *= unresponsiveZoneWeight
	}
	return factor
}

// evidence returns the kind of evidence that attempts give of a server's membership while the list is stale.
func (e *listEvidence) evidence(now moment, server *server) ServerEvidence {
	switch {
	case now < server.listEvidence.confirmedUntil:
		return EvidenceConfirmed
	case server.listEvidence.contradictedAt >= e.confirmedAt:
		return EvidenceContradicted
	case now < server.listEvidence.recentUntil:
		return EvidenceRecent
	}
	return EvidenceNone
}

// record updates a server's evidence with the end of an attempt. An executed attempt that was sent while the
// list or earlier attempts confirmed the server confirms it for another TTL. One that was sent after a gap
// only begins or continues a run of recent attempts; then nothing but the list can confirm the server again.
// An attempt that was not executed ends the evidence, unless one that was sent later was executed.
func (e *listEvidence) record(server *server, sentAt moment, status Status) {
	ttl := e.ttl()
	if ttl == 0 || status == StatusCancelled || status == StatusNotSent {
		return
	}
	state, executed := &server.listEvidence, status == StatusOK || status == StatusError
	switch {
	case executed && (sentAt <= e.listedUntil() || sentAt < state.confirmedUntil):
		state.confirmedUntil, state.contradictedAt = max(state.confirmedUntil, sentAt.add(ttl)), 0
	case executed:
		if sentAt >= state.recentUntil {
			state.recentSince = sentAt
		}
		state.recentUntil = max(state.recentUntil, sentAt.add(ttl))
	case sentAt >= max(state.confirmedUntil, state.recentUntil).add(-ttl):
		*state = listEvidenceState{contradictedAt: sentAt}
	}
	if !executed && status != StatusRejected {
		e.unresponsiveZones[server.Zone] = max(e.unresponsiveZones[server.Zone], sentAt)
	}
}

// listedUntil returns the time until which the list alone is evidence. The cached list of a new replica is
// evidence for one TTL from its first request on: a server that executes attempts in that time was present
// then.
func (e *listEvidence) listedUntil() moment {
	if !e.everConfirmed {
		return max(e.confirmedAt, e.arrivals.firstAt).add(e.ttl())
	}
	return e.confirmedAt.add(e.ttl())
}
