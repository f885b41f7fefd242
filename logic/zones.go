package logic

// How a zone stands as seen from this copy's own, and what it gets. All copies of a zone decide from the same
// evidence, the sum of what they tell of it, so that they leave it together and return at one pace.

const (
	zoneLeast  = 0.2             // calls from which a copy has evidence on a zone
	zoneMost   = 6.0             // calls of one copy count as no more than this, its latest: one alone outvotes nobody
	zoneCalls  = 4.0             // calls that the copies must have made together for a zone to be left
	zoneAgain  = 2.0             // the same at a zone that is being returned to
	zoneBad    = 0.6             // part of bad calls from which a copy calls a zone bad and copies leave it
	betterPart = 0.5             // of its bad part: more must not fail in the other zones, or nobody leaves
	leaveHold  = 3 * second / 20 // that must last so long
	leaveShare = 0.3             // and until then it gets this part

	pressBar   = 0.35 // weight of other zones above which a copy tells that home is slow
	pressSpill = 0.15 // weight of other zones while most copies tell so, at least

	awayLeast  = 3 * second   // a zone stays away at least this long, doubled with each time it was left lately
	awayMost   = 60 * second  // and at most so long
	flapForget = 120 * second // after which none of those times counts
	trialRate  = 3.0          // trials a second that a zone gets from all copies together
	trialGood  = 3.0          // good ones, as far as they have not faded, that let it return
	trialBad   = 0.25         // and the part of bad ones that does not
	trialAlone = 0.9          // the same at a copy that hears nobody: its latest was good
	blindWait  = 30 * second  // with few trials or none, as where no request may be tried, it returns after this
	stepLeast  = second       // each step of a return lasts this long
	stepPart   = 0.2          // and this part of the time in which a server is warm
	aloneTimes = 4            // and this many times as long at a copy that hears nobody
	settle     = second       // a copy joins the others if they stand otherwise for so long
)

// returnSteps are the parts of its fair weight that a zone gets one after the other as it is returned to.
var returnSteps = [...]float64{0.05, 0.15, 0.4, 0.7, 1}

// lookAtZones moves each zone to where the evidence of all copies of this zone puts it.
func (b *Balancer) lookAtZones(now int64, h Host) {
	b.sumZones(zoneLeast, zoneMost)
	changed := false
	for i := range b.zones {
		z := &b.zones[i]
		was := z.Standing
		if !b.drained[i] {
			b.lookAt(now, h, z)
		}
		changed = changed || (was == Away) != (z.Standing == Away)
	}
	if changed {
		b.relist()
	}
}

func (b *Balancer) lookAt(now int64, h Host, z *zone) {
	lost, age := b.lost(z), now-z.Since
	switch z.Standing {
	case Well, Pressed:
		if share, others := b.joins(z, age); lost {
			b.stand(now, h, z, Leaving, leaveShare)
		} else if others && share < 1 {
			b.enterAs(now, h, z, share)
		} else if slow := z.Zone == b.s.Zone && 2*z.sum.slow > z.sum.say; slow != (z.Standing == Pressed) {
			b.stand(now, h, z, map[bool]Standing{false: Well, true: Pressed}[slow], 1)
		}
	case Leaving:
		if !lost {
			b.stand(now, h, z, Well, 1)
		} else if age >= leaveHold {
			b.leaveZone(now, h, z)
		}
	case Away:
		need := trialGood
		if b.peers.Alone {
			need = trialAlone
		}
		good := z.sum.part() <= trialBad && (z.sum.calls-z.sum.bad >= need || age >= blindWait)
		if share, others := b.joins(z, age); age >= z.wait() && good || !b.others(z, true) {
			b.returnTo(now, h, z, 0)
		} else if others && share > 0 && age >= awayLeast {
			b.enterAs(now, h, z, share)
		}
	case Returning:
		span := max(stepLeast, int64(stepPart*float64(b.s.Cold)))
		if b.peers.Alone {
			span *= aloneTimes
		}
		if lost {
			b.leaveZone(now, h, z)
		} else if age >= span && (z.sum.calls == 0 || z.sum.part() <= trialBad) {
			b.returnTo(now, h, z, z.step+1)
		}
	}
}

// lost tells whether the copies of this zone see another, or home, as lost: most of them and most calls say
// so, over several servers, while the others are clearly better and can take what it had. A copy that hears
// nobody knows too little to tell a lost zone from a bad link of its own.
func (b *Balancer) lost(z *zone) bool {
	s, need, servers := &z.sum, zoneCalls, min(2, z.sum.ready)
	if z.Standing == Returning {
		need, servers = zoneAgain, 0
	}
	known := s.against >= min(2, b.peers.Near) && 2*s.against > s.say
	return !b.peers.Alone && known && s.ready > 0 && s.calls >= need && s.part() >= zoneBad &&
		s.servers >= servers && b.others(z, false)
}

// others tells whether there is another zone to go to, and whether calls there fail clearly less. Of one that
// nobody calls nothing speaks against that.
func (b *Balancer) others(z *zone, any bool) bool {
	calls, bad, open := 0.0, 0.0, false
	for i := range b.zones {
		o := &b.zones[i]
		if o == z || o.Standing == Away || o.Standing == Leaving || o.Standing == Drained || o.sum.ready == 0 {
			continue
		}
		open = true
		calls, bad = calls+o.sum.calls, bad+o.sum.bad
	}
	if any || calls == 0 {
		return open
	}
	return open && bad/calls <= betterPart*z.sum.part()
}

// joins tells which part most other copies of this zone give a zone, where this one has stood still for long
// enough to have heard the same as they did.
func (b *Balancer) joins(z *zone, age int64) (share float64, others bool) {
	heard := z.sum.shares
	most := max(len(heard), b.peers.Near-1) // one that tells nothing of a zone gives it all
	i := most / 2
	if z.Share < 1 {
		i = (most - 1) / 2
	}
	if b.peers.Alone || most < 2 || age < settle {
		return 1, false
	} else if i >= len(heard) {
		return 1, true
	}
	return heard[i], true
}

// enterAs puts a zone where most other copies have it.
func (b *Balancer) enterAs(now int64, h Host, z *zone, share float64) {
	if share <= 0 {
		b.leaveZone(now, h, z)
		return
	}
	step := 0
	for step < len(returnSteps)-1 && returnSteps[step] < share {
		step++
	}
	b.returnTo(now, h, z, step)
}

// wait is how long a zone stays away, by how often it was left lately.
func (z *zone) wait() int64 {
	return min(awayMost, awayLeast<<min(max(z.flaps-1, 0), 10))
}

func (b *Balancer) leaveZone(now int64, h Host, z *zone) {
	if now-z.left > flapForget {
		z.flaps = 0
	}
	z.flaps, z.left = z.flaps+1, now
	z.long = evidence{}
	z.trial = now + b.rnd.Int64N(b.trialGap())
	b.stand(now, h, z, Away, 0)
}

// returnTo takes a zone to a step of its return. What its servers were blamed for went with it.
func (b *Balancer) returnTo(now int64, h Host, z *zone, step int) {
	if z.Standing != Returning {
		z.fresh = evidence{}
		for _, s := range b.ready {
			if s.Zone == z.Zone {
				s.forget(len(b.classes))
			}
		}
	}
	if z.step = step; step >= len(returnSteps)-1 {
		b.stand(now, h, z, Well, 1)
		return
	}
	b.stand(now, h, z, Returning, returnSteps[step])
}

// trialGap is the time between this copy's trials: its part of those of all copies.
func (b *Balancer) trialGap() int64 {
	return int64(float64(max(b.peers.Near, 1)) / trialRate * float64(second))
}

// trial is a server of a zone that is away, if one is due for a try and the request may be sent again elsewhere.
func (b *Balancer) trial(now int64, q *request) *server {
	k := q.s.Classes[q.Class]
	if len(q.attempts) > 0 || k.Repeat == Unsafe || k.Repeat == Keyed && k.Group != GroupAll {
		return nil
	}
	var of []*server
	for i := range b.zones {
		z := &b.zones[i]
		if z.Standing != Away || now < z.trial {
			continue
		}
		for _, s := range b.ready[b.far:] {
			if s.Zone == i {
				of = append(of, s)
			}
		}
		if z.trial = now + b.trialGap()/2 + b.rnd.Int64N(b.trialGap()); len(of) > 0 {
			return of[b.rnd.IntN(len(of))]
		}
	}
	return nil
}

// beyond is the weight of servers in other zones: little while home copes, and all where home is left.
func (b *Balancer) beyond() float64 {
	home, spill := b.zone(b.s.Zone), b.spill
	if home == nil {
		return spill
	} else if home.Standing == Pressed {
		spill = max(spill, pressSpill)
	} else if spill <= pressBar && home.sum.calls >= zoneCalls && home.sum.against == 0 && home.sum.slow == 0 {
		spill = min(spill, spillLow)
	}
	return max(spill, 1-home.Share)
}

// Drain has these zones and no others suspended by hand: their servers get nothing, not even trials. One that
// is restored is returned to by steps.
func (b *Balancer) Drain(now int64, h Host, zones map[int]bool) {
	was := b.drained
	b.drained = zones
	if len(zones) > 0 || len(was) > 0 {
		b.open()
	}
	b.relist()
	for i := range b.zones {
		if zones[i] && !was[i] {
			b.stand(now, h, &b.zones[i], Drained, 0)
		} else if was[i] && !zones[i] {
			b.returnTo(now, h, &b.zones[i], 0)
		}
	}
	b.relist()
}
