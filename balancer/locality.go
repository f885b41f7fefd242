package balancer

import "slices"

// Locality: how the replicas of this zone use each zone, including their own, and how much weight the servers
// of other zones have.
//
// Input: this replica's calls by zone, and the reports of the replicas of its zone. All these replicas decide
// by the sum of the same reports, so that they act together. Output: a phase and a weight fraction for each
// zone.
//
//	healthy <-> saturated       local zone only: other zones get a part of its calls
//	healthy -> evacuating       most calls fail; the zone gets less traffic until this is confirmed
//	evacuating -> evacuated     the zone gets only trial calls
//	evacuated -> recovering     trials are answered: the zone gets its weight back in steps
//	recovering -> healthy       after the last step
//	any -> drained              by an operator

const (
	// A zone is unhealthy for a replica, and may be evacuated, if its fraction of bad calls is at least
	// zoneUnhealthyFraction. It is not evacuated if the bad fraction in the other zones is more than
	// maxRelativeBadElsewhere times its own: then evacuation would not help.
	zoneUnhealthyFraction   = 0.6
	maxRelativeBadElsewhere = 0.5

	// Calls of one replica to a zone: fewer than the minimum are no evidence, and they are capped at the
	// maximum.
	minZoneCalls, maxZoneCalls = 0.2, 6.0

	evacuationCalls   = 4.0 // calls of all replicas that are required to evacuate a zone
	reevacuationCalls = 2.0 // calls that are required to evacuate a recovering zone again

	evacuationConfirmation = 150 * milliseconds // how long a zone has to be unhealthy before it is evacuated
	evacuatingFraction     = 0.3                // fraction of its weight that the zone gets during that time

	// Weights of servers in other zones, 0 to 1.
	saturationSpillover   = 0.35 // spillover above which a replica reports the local zone as saturated
	saturatedMinSpillover = 0.15 // minimum spillover while most replicas report it as saturated
	healthyMaxSpillover   = 0.01 // maximum spillover while all replicas find that the local zone has capacity

	peerAgreementDelay = 1 * seconds // minimum time of a zone in a phase before a replica follows its peers

	recoveryGoodCalls      = 3.0  // decaying count of answered trials that starts the recovery of a zone
	recoveryMaxBadFraction = 0.25 // highest fraction of bad calls with which a recovery starts or goes on
	isolatedTrialCalls     = 0.9  // trials, answered or not, that are enough for an isolated replica
	isolatedStepFactor     = 4    // how many times as long a recovery step of an isolated replica lasts

	// How long a zone stays evacuated: at least minEvacuation, doubled for each earlier evacuation within
	// evacuationMemory, and at most maxEvacuation. If few trials are possible, for example because the calls
	// are not idempotent, the recovery starts after maxUntriedEvacuation without them.
	minEvacuation, maxEvacuation = 3 * seconds, 60 * seconds
	evacuationMemory             = 120 * seconds
	maxUntriedEvacuation         = 30 * seconds

	trialsPerSecond = 3.0 // trials of an evacuated zone by all replicas of this zone together

	// Minimum duration of a recovery step: the longer of this and this fraction of
	// Settings.SlowStartDuration.
	minRecoveryStep, recoveryStepFraction = 1 * seconds, 0.2
)

// recoveryFractions are the weight fractions of a recovering zone, step by step.
var recoveryFractions = [...]float64{0.05, 0.15, 0.4, 0.7, 1}

// locality holds the states of the zones.
type locality struct {
	*shared
	members   *membership
	spillover *spillover
	reports   *reportExchange
	zones     []zone // by zone number; nil until reports are exchanged or a zone is drained
}

func newLocality(common *shared, members *membership, spillover *spillover,
	reports *reportExchange) *locality {
	return &locality{shared: common, members: members, spillover: spillover, reports: reports}
}

// evaluate moves each zone to the phase that the reports of this zone's replicas require. It reports whether
// any zone has become evacuated or ceased to be.
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

// evaluateZone applies the transitions that are possible from the phase of a zone.
func (l *locality) evaluateZone(now moment, host Host, zone *zone) {
	switch zone.Phase {
	case ZoneHealthy, ZoneSaturated:
		l.evaluateServing(now, host, zone)
	case ZoneEvacuating:
		if !l.shouldEvacuate(zone) {
			l.setPhase(now, host, zone, ZoneHealthy, 1)
		} else if now.since(moment(zone.ChangedAt)) >= evacuationConfirmation {
			l.evacuate(now, host, zone)
		}
	case ZoneEvacuated:
		l.evaluateEvacuated(now, host, zone)
	case ZoneRecovering:
		if l.shouldEvacuate(zone) {
			l.evacuate(now, host, zone)
		} else if now.since(moment(zone.ChangedAt)) >= l.recoveryStepDuration() &&
			zone.reports.badFraction() <= recoveryMaxBadFraction {
			l.enterRecoveryStep(now, host, zone, zone.recovery.step+1)
		}
	}
}

// evaluateServing handles a healthy or saturated zone. It begins to evacuate a zone that has failed. It
// follows the other replicas if most of them have reduced the weight of the zone, except that a zone that
// answers the calls of this zone's replicas is not evacuated for that reason. The local zone is saturated
// while most replicas report it so.
func (l *locality) evaluateServing(now moment, host Host, zone *zone) {
	settled := now.since(moment(zone.ChangedAt)) >= peerAgreementDelay
	peerFraction := l.peerFraction(zone)
	answered := zone.reports.calls >= evacuationCalls && zone.reports.badFraction() <= recoveryMaxBadFraction
	saturated := zone.Zone == l.settings.Zone && 2*zone.reports.saturatedVotes > zone.reports.replicas
	if l.shouldEvacuate(zone) {
		l.setPhase(now, host, zone, ZoneEvacuating, evacuatingFraction)
	} else if peerFraction < 1 && settled && (peerFraction > 0 || !answered) {
		l.followPeers(now, host, zone, peerFraction)
	} else if saturated != (zone.Phase == ZoneSaturated) && settled {
		l.setPhase(now, host, zone, ZoneSaturated-zone.Phase, 1) // from healthy to saturated or back
	}
}

// evaluateEvacuated handles an evacuated zone. Its recovery starts if its trials are answered, if there is no
// other zone to use, or if most other replicas have started it.
func (l *locality) evaluateEvacuated(now moment, host Host, zone *zone) {
	age, sum := now.since(moment(zone.ChangedAt)), &zone.reports
	enoughTrials := sum.calls-sum.bad >= recoveryGoodCalls || age >= maxUntriedEvacuation ||
		l.reports.peers.Isolated && sum.calls >= isolatedTrialCalls
	good := sum.badFraction() <= recoveryMaxBadFraction && enoughTrials
	minStay := min(maxEvacuation, minEvacuation<<min(zone.evacuation.count-1, 10))
	if age >= minStay && good || !l.hasAlternative(zone) {
		l.enterRecoveryStep(now, host, zone, 0)
	} else if peerFraction := l.peerFraction(zone); peerFraction > 0 && age >= minEvacuation {
		l.followPeers(now, host, zone, peerFraction)
	}
}

// recoveryStepDuration returns the minimum duration of a recovery step.
func (l *locality) recoveryStepDuration() span {
	duration := max(minRecoveryStep, span(recoveryStepFraction*float64(l.settings.SlowStartDuration)))
	if l.reports.peers.Isolated {
		duration *= isolatedStepFactor
	}
	return duration
}

// shouldEvacuate reports whether the replicas of this zone agree that a zone has failed: most replicas with
// evidence report it as unhealthy, and more than a third of all replicas do (up to a third may report
// falsely); most calls to it are bad, on several servers; and the other zones are clearly better. An isolated
// replica never evacuates a zone, since it can't tell an outage of the zone from a fault of its own network
// link.
func (l *locality) shouldEvacuate(zone *zone) bool {
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
		l.hasAlternative(zone) && l.badFractionElsewhere(zone) <= maxRelativeBadElsewhere*sum.badFraction()
}

// hasAlternative reports whether another zone takes traffic.
func (l *locality) hasAlternative(zone *zone) (has bool) {
	for i := range l.zones {
		has = has || &l.zones[i] != zone && l.zones[i].acceptsTraffic()
	}
	return has
}

// badFractionElsewhere returns the bad fraction of the calls to the other zones that take traffic; 0 without
// such calls.
func (l *locality) badFractionElsewhere(zone *zone) float64 {
	var sum zoneReportSum
	for i := range l.zones {
		if other := &l.zones[i]; other != zone && other.acceptsTraffic() {
			sum.calls, sum.bad = sum.calls+other.reports.calls, sum.bad+other.reports.bad
		}
	}
	return sum.badFraction()
}

// peerFraction returns the weight fraction that most other replicas of this zone give a zone. Replicas that
// report no fraction may give the zone any weight, so the result differs from this replica's own fraction
// only as far as the reported fractions require it.
func (l *locality) peerFraction(zone *zone) float64 {
	peers := &l.reports.peers
	if peers.Isolated || peers.LiveReplicasInZone < 3 {
		return zone.WeightFraction
	}
	fractions := zone.reports.peerFractions
	unknown := max(0, peers.LiveReplicasInZone-1-len(fractions))
	n := len(fractions) + unknown
	lowest := slices.Concat(make([]float64, unknown), fractions)[(n-1)/2]
	highest := slices.Concat(fractions, slices.Repeat([]float64{1}, unknown))[n/2]
	return min(max(zone.WeightFraction, lowest), highest)
}

// followPeers gives a zone the weight fraction that most other replicas give it.
func (l *locality) followPeers(now moment, host Host, zone *zone, fraction float64) {
	if fraction > 0 {
		step, _ := slices.BinarySearch(recoveryFractions[:], min(fraction, 1))
		l.enterRecoveryStep(now, host, zone, step)
	} else if l.hasAlternative(zone) {
		l.evacuate(now, host, zone)
	}
}

// evacuate ends the use of a zone except for trials.
func (l *locality) evacuate(now moment, host Host, zone *zone) {
	if now.since(zone.evacuation.lastAt) > evacuationMemory {
		zone.evacuation.count = 0
	}
	zone.evacuation.count, zone.evacuation.lastAt = zone.evacuation.count+1, now
	zone.observed.longTerm = callStats{}
	zone.evacuation.nextTrialAt = now.add(l.randomSpan(l.trialInterval()))
	l.setPhase(now, host, zone, ZoneEvacuated, 0)
}

// enterRecoveryStep puts a zone into a step of its recovery. When the recovery starts, what was learned about
// the zone's servers before is discarded.
func (l *locality) enterRecoveryStep(now moment, host Host, zone *zone, step int) {
	if zone.Phase != ZoneRecovering {
		zone.observed.recent = callStats{}
		if zone.Zone == l.settings.Zone {
			l.spillover.reset()
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

// updateDrained changes the set of drained zones, from before to drained: these get no calls, not even
// trials. A zone that is no longer drained recovers in steps.
func (l *locality) updateDrained(now moment, host Host, before, drained map[int]bool) {
	for i := range l.zones {
		if zone := &l.zones[i]; drained[i] && !before[i] {
			l.setPhase(now, host, zone, ZoneDrained, 0)
		} else if before[i] && !drained[i] {
			l.enterRecoveryStep(now, host, zone, 0)
		}
	}
}

// trialInterval returns the mean time between two trials of this replica. The replicas of this zone share
// trialsPerSecond equally.
func (l *locality) trialInterval() span {
	return span(float64(max(l.reports.peers.LiveReplicasInZone, 1)) / trialsPerSecond * float64(seconds))
}

// trial returns a server of an evacuated zone whose next trial is due. It returns nil if there is none, or if
// the request could not be retried in another zone after a failed trial.
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

// remoteWeight returns the weight, 0 to 1, of servers in other zones: little while the local zone has
// capacity, and 1 once it is evacuated or drained.
func (l *locality) remoteWeight() float64 {
	local, weight := l.zone(l.settings.Zone), l.spillover.weight
	if local == nil {
		return weight
	}
	if local.Phase == ZoneSaturated {
		weight = max(weight, saturatedMinSpillover)
	} else if l.localZoneHasCapacity() {
		weight = min(weight, healthyMaxSpillover)
	}
	return max(weight, 1-local.WeightFraction)
}

// localZoneHasCapacity reports whether the local zone is healthy, with enough calls to tell, and neither this
// replica's own calls nor the reports of the replicas of this zone show it as saturated or unhealthy.
func (l *locality) localZoneHasCapacity() bool {
	local := l.zone(l.settings.Zone)
	return local != nil && local.Phase == ZoneHealthy && l.spillover.weight <= saturationSpillover &&
		local.reports.calls >= evacuationCalls && local.reports.unhealthyVotes == 0 &&
		local.reports.saturatedVotes == 0 &&
		local.observed.recent.badFraction() <= recoveryMaxBadFraction
}

// recoveryFactor returns the factor of the weights of a zone's servers. For an evacuated zone it is 1, since
// its servers are candidates only if there are no others.
func (l *locality) recoveryFactor(number int) float64 {
	if zone := l.zone(number); zone != nil && zone.Phase != ZoneEvacuated {
		return zone.WeightFraction
	}
	return 1
}

// rank returns the position of a zone's servers in the order of the ready servers. Local servers come first,
// since a small subset of the ring may be mostly remote, and servers of evacuated zones come last.
func (l *locality) rank(number int) int {
	zone := l.zone(number)
	evacuated := zone != nil && zone.Phase == ZoneEvacuated
	return 2*int(indicator(evacuated)) + int(indicator(number != l.settings.Zone))
}
