package balancer

import "slices"

// How a zone stands as seen from home. All copies of a zone go by one sum, so that they act together.

const (
	zoneUnhealthyFraction   = 0.6 // part of bad calls from which a copy calls a zone bad and copies leave it
	maxRelativeBadElsewhere = 0.5 // of its bad part: more must not fail in the other zones, or nobody leaves

	minZoneCalls, maxZoneCalls = 0.2, 6.0 // calls from which a copy has evidence, and that it counts at most

	evacuationCalls, reevacuationCalls = 4.0, 2.0 // calls of all copies that a zone is left by, and left again by

	evacuationConfirmation, evacuatingFraction = 3 * second / 20, 0.3 // that must last so long; until then it gets this part

	saturationSpillover, saturatedMinSpillover = 0.35, 0.15 // spill from which a copy tells that home is slow; least while most do

	healthyMaxSpillover = 0.01 // weight of one server elsewhere, and of no more, while all find that home copes

	minEvacuation, maxEvacuation = 3 * second, 60 * second // of a stay away, doubled for each time left lately

	evacuationMemory     = 120 * second // after which none of those times counts
	trialsPerSecond      = 3.0          // trials a second that a zone gets from all copies together
	isolatedTrialCalls   = 0.9          // calls of which none was bad are enough at a copy that hears nobody
	maxUntriedEvacuation = 30 * second  // with few trials or none, as where all calls are unsafe, it returns after this
	peerAgreementDelay   = second       // a copy joins the others if they stand otherwise for so long

	minRecoveryStep, recoveryStepFraction = second, 0.2 // a step of a return lasts so long, and this part of Settings.Cold

	recoveryGoodCalls, recoveryMaxBadFraction = 3.0, 0.25 // good trials, unfaded, that let it return; a bad part that does not

	isolatedStepFactor = 4 // and this many times as long at a copy that hears nobody
)

// returnSteps are the parts of its fair weight that a zone gets one after the other as it is returned to.
var recoveryFractions = [...]float64{0.05, 0.15, 0.4, 0.7, 1}

// lookAt moves a zone to where the evidence of all copies of this zone puts it. One that is drained stays so.
func (b *Balancer) lookAt(now int64, h Host, z *zone) {
	lost, age, others := b.lost(z), now-z.ChangedAt, b.othersGive(z)
	answers := z.reports.calls >= evacuationCalls && z.reports.badFraction() <= recoveryMaxBadFraction // nobody is followed out of such a zone
	slow := z.Zone == b.s.Zone && 2*z.reports.saturatedVotes > z.reports.replicas                      // most copies find home so
	switch z.Phase {
	case ZoneHealthy, ZoneSaturated:
		if lost {
			b.stand(now, h, z, ZoneEvacuating, evacuatingFraction)
		} else if others < 1 && age >= peerAgreementDelay && (others > 0 || !answers) {
			b.follow(now, h, z, others)
		} else if slow != (z.Phase == ZoneSaturated) && age >= peerAgreementDelay {
			b.stand(now, h, z, ZoneSaturated-z.Phase, 1)
		}
	case ZoneEvacuating:
		if !lost {
			b.stand(now, h, z, ZoneHealthy, 1)
		} else if age >= evacuationConfirmation {
			b.leaveZone(now, h, z)
		}
	case ZoneEvacuated:
		good := z.reports.badFraction() <= recoveryMaxBadFraction && (z.reports.calls-z.reports.bad >= recoveryGoodCalls ||
			age >= maxUntriedEvacuation || b.peers.Isolated && z.reports.calls >= isolatedTrialCalls)
		if age >= min(maxEvacuation, minEvacuation<<min(z.flaps-1, 10)) && good || !b.openBeside(z) {
			b.returnTo(now, h, z, 0)
		} else if others > 0 && age >= minEvacuation {
			b.follow(now, h, z, others)
		}
	case ZoneRecovering:
		span := max(minRecoveryStep, int64(recoveryStepFraction*float64(b.s.SlowStartDuration)))
		if b.peers.Isolated {
			span *= isolatedStepFactor
		}
		if lost {
			b.leaveZone(now, h, z)
		} else if age >= span && z.reports.badFraction() <= recoveryMaxBadFraction {
			b.returnTo(now, h, z, z.step+1)
		}
	}
}

// lost tells whether the copies of this zone see another, or home, as lost: most of those with evidence, more
// than a third of all (so many may lie) and most calls say so, over several servers, and the others are
// clearly better. A copy that hears nobody cannot tell a lost zone from a bad link of its own.
func (b *Balancer) lost(z *zone) bool {
	s, need, servers := &z.reports, evacuationCalls, min(2, z.reports.readyServers)
	if z.Phase == ZoneRecovering {
		need, servers = reevacuationCalls, 0
	}
	known := s.unhealthyVotes >= min(2, b.peers.LiveReplicasInZone) && 2*s.unhealthyVotes > s.replicas && 3*s.unhealthyVotes > b.peers.LiveReplicasInZone
	return !b.peers.Isolated && known && s.readyServers > 0 && s.calls >= need && s.badFraction() >= zoneUnhealthyFraction &&
		s.unhealthyServers >= servers && b.openBeside(z) && b.badBeside(z) <= maxRelativeBadElsewhere*s.badFraction()
}

// othersGive is the part that most other copies of this zone give a zone, where known to differ from its own.
func (b *Balancer) othersGive(z *zone) float64 {
	if b.peers.Isolated || b.peers.LiveReplicasInZone < 3 {
		return z.WeightFraction
	}
	shares, untold := z.reports.peerFractions, max(0, b.peers.LiveReplicasInZone-1-len(z.reports.peerFractions)) // these may give nothing or all
	n := len(shares) + untold
	least := slices.Concat(make([]float64, untold), shares)[(n-1)/2]
	most := slices.Concat(shares, slices.Repeat([]float64{1}, untold))[n/2]
	return min(max(z.WeightFraction, least), most)
}

// follow puts a zone where most other copies have it.
func (b *Balancer) follow(now int64, h Host, z *zone, share float64) {
	if share > 0 {
		step, _ := slices.BinarySearch(recoveryFractions[:], min(share, 1))
		b.returnTo(now, h, z, step)
	} else if b.openBeside(z) {
		b.leaveZone(now, h, z)
	}
}

func (b *Balancer) leaveZone(now int64, h Host, z *zone) {
	if now-z.left > evacuationMemory {
		z.flaps = 0
	}
	z.flaps, z.left, z.long = z.flaps+1, now, callStats{}
	z.trial = now + b.rnd.Int64N(b.trialGap())
	b.stand(now, h, z, ZoneEvacuated, 0)
}

// returnTo takes a zone to a step of its return. What its servers were blamed for went with it.
func (b *Balancer) returnTo(now int64, h Host, z *zone, step int) {
	if z.Phase != ZoneRecovering {
		z.fresh = callStats{}
		if z.Zone == b.s.Zone { // and so did what was learned of how home copes
			b.spill = min(b.spill, startSpillover)
		}
		for _, s := range b.readyIn(z) {
			s.resetLearned(len(b.classes))
		}
	}
	if z.step = step; step < len(recoveryFractions)-1 {
		b.stand(now, h, z, ZoneRecovering, recoveryFractions[step])
	} else {
		b.stand(now, h, z, ZoneHealthy, 1)
	}
}

// trialGap is the time between this copy's trials: its part of those of all copies.
func (b *Balancer) trialGap() int64 {
	return int64(float64(max(b.peers.LiveReplicasInZone, 1)) / trialsPerSecond * float64(second))
}

// trial is a server of a zone that is away and due for a try, if the request may then be sent elsewhere.
func (b *Balancer) trial(now int64, q *request) *server {
	k := q.Settings.Classes[q.Class]
	if len(q.attempts) > 0 || k.Idempotency == NonIdempotent || k.Idempotency == IdempotentWithKey && k.DedupScope != DedupScopeAll {
		return nil
	}
	for i := range b.zones {
		if z := &b.zones[i]; z.Phase == ZoneEvacuated && now >= z.trial {
			z.trial = now + b.trialGap()/2 + b.rnd.Int64N(b.trialGap())
			if of := b.readyIn(z); len(of) > 0 {
				return of[b.rnd.IntN(len(of))]
			}
		}
	}
	return nil
}

// beyond is the weight of servers in other zones: little while home copes, and all where home is left.
func (b *Balancer) beyond() float64 {
	home, spill := b.zone(b.s.Zone), b.spill
	if home == nil {
		return spill
	} else if home.Phase == ZoneSaturated {
		spill = max(spill, saturatedMinSpillover)
	} else if b.homeCopes() {
		spill = min(spill, healthyMaxSpillover)
	}
	return max(spill, 1-home.WeightFraction)
}

// homeCopes tells whether no copy of this zone, of those with evidence, finds home slow or bad.
func (b *Balancer) homeCopes() bool {
	home := b.zone(b.s.Zone)
	return home != nil && home.Phase == ZoneHealthy && b.spill <= saturationSpillover && home.reports.calls >= evacuationCalls &&
		home.reports.unhealthyVotes == 0 && home.reports.saturatedVotes == 0 && home.fresh.badFraction() <= recoveryMaxBadFraction
}

// openBeside tells whether there is a zone to go to instead of another.
func (b *Balancer) openBeside(z *zone) (open bool) {
	for i := range b.zones {
		open = open || &b.zones[i] != z && b.zones[i].acceptsTraffic()
	}
	return open
}

// badBeside is the part of bad calls in the zones that could be gone to instead; 0 if nobody calls them.
func (b *Balancer) badBeside(z *zone) float64 {
	var sum zoneReports
	for i := range b.zones {
		if o := &b.zones[i]; o != z && o.acceptsTraffic() {
			sum.calls, sum.bad = sum.calls+o.reports.calls, sum.bad+o.reports.bad
		}
	}
	return sum.badFraction()
}

// rank puts servers at home first, as a small subset of the ring may be mostly far, and zones left last.
func (b *Balancer) rank(s *server) int {
	z := b.zone(s.Zone)
	return 2*int(indicator(z != nil && z.Phase == ZoneEvacuated)) + int(indicator(s.Zone != b.s.Zone))
}
