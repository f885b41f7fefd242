package balancer

import "slices"

// Zone state: what this replica has seen of each zone, what it reports of it, and the sum of what the
// replicas of its zone report.

const (
	longTermDecay = 2 * seconds // time constant by which trials of an evacuated zone fade

	zoneStatsTTL  = 1 * seconds // after its latest call a zone is reported on,
	trialStatsTTL = 4 * seconds // and for so long after the latest trial of an evacuated one

	zoneLogInterval = 1 * seconds // between log events of short phases of a zone, at least
)

// zone is the state of one zone, the local one too, as this replica sees it.
type zone struct {
	ZoneState
	observed   zoneObservation
	evacuation zoneEvacuation
	recovery   zoneRecovery
	reports    zoneReportSum
	loggedAt   moment // when its last log event was; 0: none yet
}

// zoneObservation is what this replica's own calls show of a zone.
type zoneObservation struct{ recent, longTerm callStats }

// zoneEvacuation is how often a zone was left, and its trials.
type zoneEvacuation struct {
	count       int // within evacuationMemory of each other
	lastAt      moment
	nextTrialAt moment
}

// zoneRecovery is how far the recovery of a zone has come.
type zoneRecovery struct{ step int } // index of recoveryFractions

// zoneReportSum is the sum of what the replicas of this zone report of a zone.
type zoneReportSum struct {
	calls, bad       float64
	replicas         int // with evidence
	unhealthyVotes   int // those of them that call it unhealthy
	saturatedVotes   int // those of them that call it saturated
	fault            Fault
	readyServers     int
	unhealthyServers int       // ready ones that some replica of this zone calls unhealthy
	peerFractions    []float64 // ascending: the weight fraction that each of the other replicas gives it
}

// badFraction is the bad part of the calls, 0 to 1; 0 without calls.
func (z *zoneReportSum) badFraction() float64 { return z.bad / max(z.calls, 1e-9) }

// faultForZone is how a server's fault counts for its zone: a server that rejects is there.
var faultForZone = [...]Fault{FaultErrors: FaultErrors, FaultUnresponsive: FaultUnresponsive,
	FaultSlow: FaultSlow, FaultSaturated: NoFault}

// zone is the state of a zone, nil of one that the settings don't have or while zones are not tracked.
func (l *locality) zone(number int) *zone {
	if number < 0 || number >= len(l.zones) {
		return nil
	}
	return &l.zones[number]
}

// track begins to keep the state of the zones of the settings; false if it does already.
func (l *locality) track(drained map[int]bool) bool {
	if len(l.zones) == l.settings.ZoneCount {
		return false
	}
	l.zones = make([]zone, l.settings.ZoneCount)
	for i := range l.zones {
		l.zones[i].ZoneState = ZoneState{Zone: i, WeightFraction: 1}
		if drained[i] {
			l.zones[i].Phase, l.zones[i].WeightFraction = ZoneDrained, 0
		}
	}
	return true
}

// recordCall takes the end of an attempt, or that it got no response, as evidence on its zone.
func (l *locality) recordCall(now moment, attempt *attempt, fault Fault) {
	zone := l.zone(attempt.zone)
	if zone == nil {
		return
	}
	own := &zone.observed
	if !attempt.outlier.reportedSilent {
		own.recent.record(now, recentDecay, maxZoneCalls, faultForZone[fault])
		own.longTerm.record(now, longTermDecay, maxZoneCalls, faultForZone[fault])
	} else if fault == NoFault {
		own.recent.retractBad()
		own.longTerm.retractBad()
	}
}

// recentStats is what this replica's latest calls show of a zone; ok is false if there were none lately.
// For an evacuated zone they are its trials.
func (z *zone) recentStats(now moment) (stats callStats, ok bool) {
	stats, ttl := z.observed.recent, zoneStatsTTL
	if z.Phase == ZoneEvacuated {
		stats, ttl = z.observed.longTerm, trialStatsTTL
	}
	return stats, stats.seenWithin(now, ttl)
}

// sampleTTL is the time for which a server of a zone counts as called very lately.
func (l *locality) sampleTTL(number int) span {
	if zone := l.zone(number); zone != nil && zone.Phase == ZoneEvacuated {
		return trialStatsTTL
	}
	return zoneStatsTTL / 2
}

// someZoneAnswers reports whether this replica's latest calls to some zone were mostly answered.
func (l *locality) someZoneAnswers(now moment) bool {
	for i := range l.zones {
		if stats, ok := l.zones[i].recentStats(now); ok && stats.badFraction() < zoneUnhealthyFraction {
			return true
		}
	}
	return false
}

// acceptsTraffic reports whether a zone takes more than trials.
func (z *zone) acceptsTraffic() bool {
	return z.Phase != ZoneEvacuating && z.WeightFraction > 0 && z.reports.readyServers > 0
}

// zoneReports returns the reports on the zones that this replica has called lately or that have changed
// before.
func (l *locality) zoneReports(now moment, samples map[int]zoneSample) (reports []Report) {
	for i := range l.zones {
		if report, ok := l.report(now, &l.zones[i], samples[i]); ok || l.zones[i].Transitions > 0 {
			reports = append(reports, report)
		}
	}
	return reports
}

// report is what this replica reports of a zone, and whether it has evidence. A zone is unhealthy if most
// calls to it are bad, at half of its servers. One that is being evacuated is reported with its whole
// weight: it isn't left yet.
func (l *locality) report(now moment, zone *zone, sample zoneSample) (report Report, ok bool) {
	stats, ok := zone.recentStats(now)
	report = Report{ObserverZone: l.settings.Zone, SubjectZone: zone.Zone, LastObserved: int64(now),
		Kind: ReportZoneHealthy, Value: max(zone.WeightFraction, indicator(zone.Phase == ZoneEvacuating))}
	if ok {
		report.Calls, report.BadFraction = stats.calls, stats.badFraction()
		report.LastObserved = int64(stats.lastAt)
	}
	if ok && stats.badFraction() >= zoneUnhealthyFraction &&
		sample.recentUnhealthy > 0 && 2*sample.recentUnhealthy >= sample.recent {
		report.Kind, report.Fault = ReportZoneUnhealthy, stats.fault
	} else if zone.Zone == l.settings.Zone && l.spillover.weight > saturationSpillover {
		report.Fault = FaultSlow
	}
	return report, ok
}

// sumReports sums up what the replicas of this zone report of each zone.
func (l *locality) sumReports() {
	for i := range l.zones {
		l.zones[i].reports = zoneReportSum{}
	}
	for _, server := range l.members.ready {
		if zone := l.zone(server.Zone); zone != nil {
			zone.reports.readyServers++
		}
	}
	unhealthy := map[string]bool{} // server IDs that count already
	for report := range l.reports.all {
		if report.ObserverZone != l.settings.Zone {
			continue
		}
		switch report.Kind {
		case ReportServerUnhealthy:
			server := l.members.byID[report.Server]
			if server == nil || server.State != ServerReady || !sameProcess(server, report) {
				continue
			}
			if zone := l.zone(server.Zone); zone != nil && !unhealthy[report.Server] {
				unhealthy[report.Server] = true
				zone.reports.unhealthyServers++
			}
		case ReportZoneUnhealthy, ReportZoneHealthy:
			if zone := l.zone(report.SubjectZone); zone != nil {
				zone.reports.add(report)
			}
		}
	}
	for i := range l.zones {
		slices.Sort(l.zones[i].reports.peerFractions)
	}
}

// add adds one replica's report of the zone.
func (z *zoneReportSum) add(report Report) {
	if report.Observer != "" {
		z.peerFractions = append(z.peerFractions, bounded(report.Value, 1))
	}
	calls := bounded(report.Calls, maxZoneCalls)
	if calls < minZoneCalls {
		return
	}
	z.calls, z.bad, z.replicas = z.calls+calls, z.bad+calls*bounded(report.BadFraction, 1), z.replicas+1
	if report.Kind == ReportZoneUnhealthy {
		z.unhealthyVotes++
		z.fault = max(z.fault, report.Fault)
	} else if report.Fault == FaultSlow {
		z.saturatedVotes++
	}
}

// setPhase puts a zone in a phase with a weight fraction and logs a change: of phases that last a second or
// more each one, of the others at most one in zoneLogInterval.
func (l *locality) setPhase(now moment, host Host, zone *zone, phase ZonePhase, fraction float64) {
	before := zone.Phase
	zone.Phase, zone.WeightFraction = phase, fraction
	zone.ChangedAt, zone.Fault = int64(now), zone.reports.fault
	if before == phase {
		return
	}
	zone.Transitions++
	short := before < ZoneEvacuated && phase < ZoneEvacuated
	if short && now.since(zone.loggedAt) < zoneLogInterval && zone.loggedAt != 0 || phase == ZoneEvacuating {
		return
	}
	zone.loggedAt = now
	host.Log(ZonePhaseChanged{ObserverZone: l.settings.Zone, State: zone.state(), Previous: before})
}

// state is the state of a zone with the reports as of now.
func (z *zone) state() ZoneState {
	state := z.ZoneState
	state.Calls, state.BadFraction = z.reports.calls, z.reports.badFraction()
	state.ReportingReplicas, state.UnhealthyVotes = z.reports.replicas, z.reports.unhealthyVotes
	return state
}

// states are the states of all zones by number; none while they are not tracked.
func (l *locality) states() (out []ZoneState) {
	for i := range l.zones {
		out = append(out, l.zones[i].state())
	}
	return out
}
