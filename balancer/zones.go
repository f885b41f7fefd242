package balancer

import "slices"

// How a zone stands as seen from home. All copies of a zone go by one sum, so that they act together.

const (
	zoneBad    = 0.6 // part of bad calls from which a copy calls a zone bad and copies leave it
	betterPart = 0.5 // of its bad part: more must not fail in the other zones, or nobody leaves

	zoneLeast, zoneMost = 0.2, 6.0 // calls from which a copy has evidence, and that it counts at most

	zoneCalls, zoneAgain = 4.0, 2.0 // calls of all copies that a zone is left by, and left again by

	leaveHold, leaveShare = 3 * second / 20, 0.3 // that must last so long; until then it gets this part

	pressBar, pressSpill = 0.35, 0.15 // spill from which a copy tells that home is slow; least while most do

	spillHealthy = 0.01 // weight of one server elsewhere, and of no more, while all find that home copes

	awayLeast, awayMost = 3 * second, 60 * second // of a stay away, doubled for each time left lately

	flapForget = 120 * second // after which none of those times counts
	trialRate  = 3.0          // trials a second that a zone gets from all copies together
	trialAlone = 0.9          // calls of which none was bad are enough at a copy that hears nobody
	blindWait  = 30 * second  // with few trials or none, as where all calls are unsafe, it returns after this
	settle     = second       // a copy joins the others if they stand otherwise for so long

	stepLeast, stepPart = second, 0.2 // a step of a return lasts so long, and this part of Settings.Cold

	trialGood, trialBad = 3.0, 0.25 // good trials, unfaded, that let it return; a bad part that does not

	aloneTimes = 4 // and this many times as long at a copy that hears nobody
)

// returnSteps are the parts of its fair weight that a zone gets one after the other as it is returned to.
var returnSteps = [...]float64{0.05, 0.15, 0.4, 0.7, 1}

// lookAt moves a zone to where the evidence of all copies of this zone puts it. One that is drained stays so.
func (b *Balancer) lookAt(now int64, h Host, z *zone) {
	lost, age, others := b.lost(z), now-z.ChangedAt, b.othersGive(z)
	answers := z.sum.calls >= zoneCalls && z.sum.part() <= trialBad // nobody is followed out of such a zone
	slow := z.Zone == b.s.Zone && 2*z.sum.slow > z.sum.say          // most copies find home so
	switch z.Phase {
	case ZoneHealthy, ZoneSaturated:
		if lost {
			b.stand(now, h, z, ZoneEvacuating, leaveShare)
		} else if others < 1 && age >= settle && (others > 0 || !answers) {
			b.follow(now, h, z, others)
		} else if slow != (z.Phase == ZoneSaturated) && age >= settle {
			b.stand(now, h, z, ZoneSaturated-z.Phase, 1)
		}
	case ZoneEvacuating:
		if !lost {
			b.stand(now, h, z, ZoneHealthy, 1)
		} else if age >= leaveHold {
			b.leaveZone(now, h, z)
		}
	case ZoneEvacuated:
		good := z.sum.part() <= trialBad && (z.sum.calls-z.sum.bad >= trialGood ||
			age >= blindWait || b.peers.Isolated && z.sum.calls >= trialAlone)
		if age >= min(awayMost, awayLeast<<min(z.flaps-1, 10)) && good || !b.openBeside(z) {
			b.returnTo(now, h, z, 0)
		} else if others > 0 && age >= awayLeast {
			b.follow(now, h, z, others)
		}
	case ZoneRecovering:
		span := max(stepLeast, int64(stepPart*float64(b.s.SlowStartDuration)))
		if b.peers.Isolated {
			span *= aloneTimes
		}
		if lost {
			b.leaveZone(now, h, z)
		} else if age >= span && z.sum.part() <= trialBad {
			b.returnTo(now, h, z, z.step+1)
		}
	}
}

// lost tells whether the copies of this zone see another, or home, as lost: most of those with evidence, more
// than a third of all (so many may lie) and most calls say so, over several servers, and the others are
// clearly better. A copy that hears nobody cannot tell a lost zone from a bad link of its own.
func (b *Balancer) lost(z *zone) bool {
	s, need, servers := &z.sum, zoneCalls, min(2, z.sum.ready)
	if z.Phase == ZoneRecovering {
		need, servers = zoneAgain, 0
	}
	known := s.against >= min(2, b.peers.LiveReplicasInZone) && 2*s.against > s.say && 3*s.against > b.peers.LiveReplicasInZone
	return !b.peers.Isolated && known && s.ready > 0 && s.calls >= need && s.part() >= zoneBad &&
		s.servers >= servers && b.openBeside(z) && b.badBeside(z) <= betterPart*s.part()
}

func (z *zone) open() bool {
	return z.Phase != ZoneEvacuating && z.WeightFraction > 0 && z.sum.ready > 0
}

// othersGive is the part that most other copies of this zone give a zone, where known to differ from its own.
func (b *Balancer) othersGive(z *zone) float64 {
	if b.peers.Isolated || b.peers.LiveReplicasInZone < 3 {
		return z.WeightFraction
	}
	shares, untold := z.sum.shares, max(0, b.peers.LiveReplicasInZone-1-len(z.sum.shares)) // these may give nothing or all
	n := len(shares) + untold
	least := slices.Concat(make([]float64, untold), shares)[(n-1)/2]
	most := slices.Concat(shares, slices.Repeat([]float64{1}, untold))[n/2]
	return min(max(z.WeightFraction, least), most)
}

// follow puts a zone where most other copies have it.
func (b *Balancer) follow(now int64, h Host, z *zone, share float64) {
	if share > 0 {
		step, _ := slices.BinarySearch(returnSteps[:], min(share, 1))
		b.returnTo(now, h, z, step)
	} else if b.openBeside(z) {
		b.leaveZone(now, h, z)
	}
}

func (b *Balancer) leaveZone(now int64, h Host, z *zone) {
	if now-z.left > flapForget {
		z.flaps = 0
	}
	z.flaps, z.left, z.long = z.flaps+1, now, evidence{}
	z.trial = now + b.rnd.Int64N(b.trialGap())
	b.stand(now, h, z, ZoneEvacuated, 0)
}

// returnTo takes a zone to a step of its return. What its servers were blamed for went with it.
func (b *Balancer) returnTo(now int64, h Host, z *zone, step int) {
	if z.Phase != ZoneRecovering {
		z.fresh = evidence{}
		if z.Zone == b.s.Zone { // and so did what was learned of how home copes
			b.spill = min(b.spill, spillStart)
		}
		for _, s := range b.readyIn(z) {
			s.forget(len(b.classes))
		}
	}
	if z.step = step; step < len(returnSteps)-1 {
		b.stand(now, h, z, ZoneRecovering, returnSteps[step])
	} else {
		b.stand(now, h, z, ZoneHealthy, 1)
	}
}

// trialGap is the time between this copy's trials: its part of those of all copies.
func (b *Balancer) trialGap() int64 {
	return int64(float64(max(b.peers.LiveReplicasInZone, 1)) / trialRate * float64(second))
}

// trial is a server of a zone that is away and due for a try, if the request may then be sent elsewhere.
func (b *Balancer) trial(now int64, q *request) *server {
	k := q.s.Classes[q.Class]
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
		spill = max(spill, pressSpill)
	} else if b.homeCopes() {
		spill = min(spill, spillHealthy)
	}
	return max(spill, 1-home.WeightFraction)
}

// homeCopes tells whether no copy of this zone, of those with evidence, finds home slow or bad.
func (b *Balancer) homeCopes() bool {
	home := b.zone(b.s.Zone)
	return home != nil && home.Phase == ZoneHealthy && b.spill <= pressBar && home.sum.calls >= zoneCalls &&
		home.sum.against == 0 && home.sum.slow == 0 && home.fresh.part() <= trialBad
}
