package balancer

import "slices"

// Locality: how each zone, the local one too, is used by the replicas of this zone, and how much weight the
// servers of other zones have.
//
// Input: this replica's calls by zone, and what the replicas of its zone report. All of these go by one
// sum, so that they act together. Output: a phase and a weight fraction for each zone.
//
//	healthy <-> saturated       local zone only: other zones get a part of its calls
//	healthy -> evacuating       most calls fail; the zone gets less until that is sure
//	evacuating -> evacuated     it gets trials only
//	evacuated -> recovering     trials are answered: it gets its weight back by steps
//	recovering -> healthy
//	any -> drained              by an operator

const (
	// Bad fraction of its calls from which a replica reports a zone as unhealthy and the replicas leave it,
	// unless more than this fraction of that fails in the other zones, too.
	zoneUnhealthyFraction   = 0.6
	maxRelativeBadElsewhere = 0.5

	minZoneCalls, maxZoneCalls = 0.2, 6.0 // calls: of one replica fewer are no evidence, more count as these

	evacuationCalls   = 4.0 // calls of all replicas that it takes to leave a zone
	reevacuationCalls = 2.0 // and to leave it again while it recovers

	evacuationConfirmation = 150 * milliseconds // for which a zone has to be bad, and
	evacuatingFraction     = 0.3                // of its weight that it gets meanwhile

	saturationSpillover   = 0.35 // spillover from which a replica reports the local zone as saturated
	saturatedMinSpillover = 0.15 // spillover at least, while most replicas do
	healthyMaxSpillover   = 0.01 // spillover at most, while all find that the local zone copes

	peerAgreementDelay = 1 * seconds // for which a zone has to be in a phase before a replica follows others

	recoveryGoodCalls      = 3.0  // answered trials, faded, that it takes to return to a zone
	recoveryMaxBadFraction = 0.25 // of calls to a zone that is returned to
	isolatedTrialCalls     = 0.9  // trials, answered or not, that an isolated replica takes for enough
	isolatedStepFactor     = 4    // how much longer an isolated replica takes for a step of a recovery

	// How long a zone stays evacuated: at least, doubled for each time that it was left within
	// evacuationMemory, and at most. Where few trials or none can be made, as of calls that can't be
	// repeated, it is returned to after maxUntriedEvacuation all the same.
	minEvacuation, maxEvacuation = 3 * seconds, 60 * seconds
	evacuationMemory             = 120 * seconds
	maxUntriedEvacuation         = 30 * seconds

	trialsPerSecond = 3.0 // that an evacuated zone gets from all replicas of this zone together

	// A step of a recovery lasts so long, and this fraction of Settings.SlowStartDuration, at least.
	minRecoveryStep, recoveryStepFraction = 1 * seconds, 0.2
)

// recoveryFractions are the parts of its weight that a recovering zone gets one after the other.
var recoveryFractions = [...]float64{0.05, 0.15, 0.4, 0.7, 1}

// locality holds the zones.
type locality struct {
	*shared
	members   *membership
	spillover *spillover
	reports   *reportExchange
	zones     []zone // by number; nil until reports are exchanged or a zone is drained
}

func newLocality(common *shared, members *membership, spillover *spillover,
	reports *reportExchange) *locality {
	return &locality{shared: common, members: members, spillover: spillover, reports: reports}
}

// evaluate moves each zone to the phase where the reports of this zone's replicas put it. It reports whether
// one was evacuated or is not any more.
func (l *locality) evaluate(now moment, host Host) (changed bool) {
	l.sumReports()
	for i := range l.zones {
		zone := &l.zones[i]
		before := zone.Phase
		l.evaluateZone(now, host, zone)
		changed = changed || (before == ZoneEvacuated) != (zone.Phase == ZoneEvacuated)
	}
	return changed
}

func (l *locality) evaluateZone(now moment, host Host, zone *zone) {
	switch zone.Phase {
	case ZoneHealthy, ZoneSaturated:
		l.evaluateServing(now, host, zone)
	case ZoneEvacuating:
		if !l.isLost(zone) {
			l.setPhase(now, host, zone, ZoneHealthy, 1)
		} else if now.since(moment(zone.ChangedAt)) >= evacuationConfirmation {
			l.evacuate(now, host, zone)
		}
	case ZoneEvacuated:
		l.evaluateEvacuated(now, host, zone)
	case ZoneRecovering:
		if l.isLost(zone) {
			l.evacuate(now, host, zone)
		} else if now.since(moment(zone.ChangedAt)) >= l.recoveryStepDuration() &&
			zone.reports.badFraction() <= recoveryMaxBadFraction {
			l.enterRecoveryStep(now, host, zone, zone.recovery.step+1)
		}
	}
}

// evaluateServing leaves a zone that is lost, or that most other replicas have left, unless it answers this
// one; and it takes the local zone for saturated while most replicas do.
func (l *locality) evaluateServing(now moment, host Host, zone *zone) {
	settled := now.since(moment(zone.ChangedAt)) >= peerAgreementDelay
	others := l.peerFraction(zone)
	answers := zone.reports.calls >= evacuationCalls && zone.reports.badFraction() <= recoveryMaxBadFraction
	saturated := zone.Zone == l.settings.Zone && 2*zone.reports.saturatedVotes > zone.reports.replicas
	if l.isLost(zone) {
		l.setPhase(now, host, zone, ZoneEvacuating, evacuatingFraction)
	} else if others < 1 && settled && (others > 0 || !answers) {
		l.follow(now, host, zone, others)
	} else if saturated != (zone.Phase == ZoneSaturated) && settled {
		l.setPhase(now, host, zone, ZoneSaturated-zone.Phase, 1) // to the other of the two
	}
}

// evaluateEvacuated returns to a zone whose trials are answered, or where there is no other, or where most
// other replicas have returned.
func (l *locality) evaluateEvacuated(now moment, host Host, zone *zone) {
	age, sum := now.since(moment(zone.ChangedAt)), &zone.reports
	tried := sum.calls-sum.bad >= recoveryGoodCalls || age >= maxUntriedEvacuation ||
		l.reports.peers.Isolated && sum.calls >= isolatedTrialCalls
	good := sum.badFraction() <= recoveryMaxBadFraction && tried
	stay := min(maxEvacuation, minEvacuation<<min(zone.evacuation.count-1, 10))
	if age >= stay && good || !l.hasAlternative(zone) {
		l.enterRecoveryStep(now, host, zone, 0)
	} else if others := l.peerFraction(zone); others > 0 && age >= minEvacuation {
		l.follow(now, host, zone, others)
	}
}

// recoveryStepDuration is how long a step of a recovery lasts at least.
func (l *locality) recoveryStepDuration() span {
	duration := max(minRecoveryStep, span(recoveryStepFraction*float64(l.settings.SlowStartDuration)))
	if l.reports.peers.Isolated {
		duration *= isolatedStepFactor
	}
	return duration
}

// isLost reports whether the replicas of this zone find a zone lost: most of those with evidence, more than a
// third of all (so many may report what isn't so) and most calls say so, over several servers, and the
// other zones are clearly better. An isolated replica can't tell a lost zone from a fault of its own link.
func (l *locality) isLost(zone *zone) bool {
	sum, calls, servers := &zone.reports, evacuationCalls, min(2, zone.reports.readyServers)
	if zone.Phase == ZoneRecovering {
		calls, servers = reevacuationCalls, 0
	}
	peers := &l.reports.peers
	votes := sum.unhealthyVotes
	majority := votes >= min(2, peers.LiveReplicasInZone) && 2*votes > sum.replicas &&
		3*votes > peers.LiveReplicasInZone
	return !peers.Isolated && majority && sum.readyServers > 0 && sum.calls >= calls &&
		sum.badFraction() >= zoneUnhealthyFraction && sum.unhealthyServers >= servers &&
		l.hasAlternative(zone) && l.badElsewhere(zone) <= maxRelativeBadElsewhere*sum.badFraction()
}

// hasAlternative reports whether another zone takes traffic.
func (l *locality) hasAlternative(zone *zone) (has bool) {
	for i := range l.zones {
		has = has || &l.zones[i] != zone && l.zones[i].acceptsTraffic()
	}
	return has
}

// badElsewhere is the bad fraction of the calls to the other zones that take traffic; 0 if nobody calls them.
func (l *locality) badElsewhere(zone *zone) float64 {
	var sum zoneReportSum
	for i := range l.zones {
		if other := &l.zones[i]; other != zone && other.acceptsTraffic() {
			sum.calls, sum.bad = sum.calls+other.reports.calls, sum.bad+other.reports.bad
		}
	}
	return sum.badFraction()
}

// peerFraction is the weight fraction that most other replicas of this zone give a zone, where it is known to
// differ from this one's. Replicas that report none may give it nothing or all.
func (l *locality) peerFraction(zone *zone) float64 {
	peers := &l.reports.peers
	if peers.Isolated || peers.LiveReplicasInZone < 3 {
		return zone.WeightFraction
	}
	fractions := zone.reports.peerFractions
	unknown := max(0, peers.LiveReplicasInZone-1-len(fractions))
	n := len(fractions) + unknown
	least := slices.Concat(make([]float64, unknown), fractions)[(n-1)/2]
	most := slices.Concat(fractions, slices.Repeat([]float64{1}, unknown))[n/2]
	return min(max(zone.WeightFraction, least), most)
}

// follow puts a zone where most other replicas have it.
func (l *locality) follow(now moment, host Host, zone *zone, fraction float64) {
	if fraction > 0 {
		step, _ := slices.BinarySearch(recoveryFractions[:], min(fraction, 1))
		l.enterRecoveryStep(now, host, zone, step)
	} else if l.hasAlternative(zone) {
		l.evacuate(now, host, zone)
	}
}

// evacuate leaves a zone: it gets trials only.
func (l *locality) evacuate(now moment, host Host, zone *zone) {
	if now.since(zone.evacuation.lastAt) > evacuationMemory {
		zone.evacuation.count = 0
	}
	zone.evacuation.count, zone.evacuation.lastAt = zone.evacuation.count+1, now
	zone.observed.longTerm = callStats{}
	zone.evacuation.nextTrialAt = now.add(l.randomSpan(l.trialInterval()))
	l.setPhase(now, host, zone, ZoneEvacuated, 0)
}

// enterRecoveryStep takes a zone to a step of its recovery. What was learned of its servers before goes.
func (l *locality) enterRecoveryStep(now moment, host Host, zone *zone, step int) {
	if zone.Phase != ZoneRecovering {
		zone.observed.recent = callStats{}
		if zone.Zone == l.settings.Zone {
			l.spillover.forget()
		}
		for _, server := range l.members.readyIn(zone.Zone) {
			server.resetLearned(len(l.classes))
		}
	}
	if zone.recovery.step = step; step < len(recoveryFractions)-1 {
		l.setPhase(now, host, zone, ZoneRecovering, recoveryFractions[step])
	} else {
		l.setPhase(now, host, zone, ZoneHealthy, 1)
	}
}

// drain has these zones and no others drained, in place of those before: they get nothing, not even trials.
// One that is drained no more recovers by steps.
func (l *locality) drain(now moment, host Host, before, drained map[int]bool) {
	for i := range l.zones {
		if zone := &l.zones[i]; drained[i] && !before[i] {
			l.setPhase(now, host, zone, ZoneDrained, 0)
		} else if before[i] && !drained[i] {
			l.enterRecoveryStep(now, host, zone, 0)
		}
	}
}

// trialInterval is the time between this replica's trials: its part of those of all replicas.
func (l *locality) trialInterval() span {
	return span(float64(max(l.reports.peers.LiveReplicasInZone, 1)) / trialsPerSecond * float64(seconds))
}

// trial is a server of an evacuated zone whose next trial is due, nil if there is none or the request
// couldn't be sent to another zone afterwards.
func (l *locality) trial(now moment, request *request) *server {
	rules := request.classRules()
	if len(request.attempts) > 0 || rules.Idempotency == NonIdempotent ||
		rules.Idempotency == IdempotentWithKey && rules.DedupScope != DedupScopeAll {
		return nil
	}
	for i := range l.zones {
		zone := &l.zones[i]
		if zone.Phase != ZoneEvacuated || now < zone.evacuation.nextTrialAt {
			continue
		}
		zone.evacuation.nextTrialAt = now.add(l.trialInterval()/2 + l.randomSpan(l.trialInterval()))
		if servers := l.members.readyIn(zone.Zone); len(servers) > 0 {
			return servers[l.random.IntN(len(servers))]
		}
	}
	return nil
}

// remoteWeight is the weight, 0 to 1, of servers in other zones: little while the local zone copes, all
// where it is left.
func (l *locality) remoteWeight() float64 {
	local, weight := l.zone(l.settings.Zone), l.spillover.weight
	if local == nil {
		return weight
	}
	if local.Phase == ZoneSaturated {
		weight = max(weight, saturatedMinSpillover)
	} else if l.localZoneCopes() {
		weight = min(weight, healthyMaxSpillover)
	}
	return max(weight, 1-local.WeightFraction)
}

// localZoneCopes reports whether no replica of this zone, of those with evidence, finds it saturated or bad.
func (l *locality) localZoneCopes() bool {
	local := l.zone(l.settings.Zone)
	return local != nil && local.Phase == ZoneHealthy && l.spillover.weight <= saturationSpillover &&
		local.reports.calls >= evacuationCalls && local.reports.unhealthyVotes == 0 &&
		local.reports.saturatedVotes == 0 &&
		local.observed.recent.badFraction() <= recoveryMaxBadFraction
}

// recoveryFactor is the factor of the weights of a zone's servers. An evacuated zone has 1: it comes last
// anyway.
func (l *locality) recoveryFactor(number int) float64 {
	if zone := l.zone(number); zone != nil && zone.Phase != ZoneEvacuated {
		return zone.WeightFraction
	}
	return 1
}

// rank is the place of a zone's servers in the order of the ready ones: local servers first, since a small
// subset of the ring may be mostly remote, and evacuated zones last.
func (l *locality) rank(number int) int {
	zone := l.zone(number)
	evacuated := zone != nil && zone.Phase == ZoneEvacuated
	return 2*int(indicator(evacuated)) + int(indicator(number != l.settings.Zone))
}
