package balancer

import "slices"

// Zone state: records what this replica observes of each zone, what it reports of it, and the sum of the
// reports of all replicas in this replica's zone.

const (
	longTermDecay = 2 * seconds // time constant by which trial requests to an evacuated zone decay

	zoneStatsTTL  = 1 * seconds // time after its latest call for which a zone is reported,
	trialStatsTTL = 4 * seconds // and after the latest trial request for an evacuated zone

	zoneLogInterval = 1 * seconds // minimum time between log events about short phases of a zone
)

// zone is the state of one zone, possibly the local one, as this replica sees it.
type zone struct {
	ZoneState
	observed   zoneObservation
	evacuation zoneEvacuation
	recovery   zoneRecovery
	reports    zoneReportSum
	loggedAt   moment // when a phase change was last logged; 0: never
}

// zoneObservation counts this replica's own calls to a zone.
type zoneObservation struct{ recent, longTerm callStats }

// zoneEvacuation is the history of a zone's evacuations, and the time of its next trial request.
type zoneEvacuation struct {
	count       int    // evacuations with at most evacuationMemory between one and the next
	lastAt      moment // when the latest evacuation began
	nextTrialAt moment
}

// zoneRecovery is the progress of a zone's recovery.
type zoneRecovery struct{ step int } // index of recoveryFractions

// zoneReportSum aggregates what the replicas of this zone report of a zone.
type zoneReportSum struct {
	calls, bad       float64
	replicas         int // replicas with evidence
	unhealthyVotes   int // those that report it as unhealthy
	saturatedVotes   int // those that report it as saturated
	fault            Fault
	readyServers     int
	unhealthyServers int       // ready servers that some replica of this zone reports as unhealthy
	peerFractions    []float64 // ascending: the weight fraction that each other replica gives the zone
}

// badFraction returns the fraction of bad calls, from 0 to 1; it is 0 without calls.
func (z *zoneReportSum) badFraction() float64 { return z.bad / max(z.calls, 1e-9) }

// faultForZone maps a fault of a server to what it shows of the zone. A server that rejects calls is
// reachable, so that is no fault of the zone.
var faultForZone = [...]Fault{FaultErrors: FaultErrors, FaultUnresponsive: FaultUnresponsive,
	FaultSlow: FaultSlow, FaultSaturated: NoFault}

// zone returns the state of a zone. It is nil for a zone that the settings do not have, and while zones are
// not tracked.
func (l *locality) zone(number int) *zone {
	if number < 0 || number >= len(l.zones) {
		return nil
	}
	return &l.zones[number]
}

// track starts tracking the zones of the settings. It returns false if they are tracked already.
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

// recordCall records the outcome of an attempt, or that a response is overdue, as evidence of its zone's
// health.
func (l *locality) recordCall(now moment, attempt *attempt, fault Fault) {
	zone := l.zone(attempt.zone)
	if zone == nil {
		return
	}
	observed := &zone.observed
	if !attempt.outlier.countedUnresponsive {
		observed.recent.record(now, recentDecay, maxZoneCalls, faultForZone[fault])
		observed.longTerm.record(now, longTermDecay, maxZoneCalls, faultForZone[fault])
	} else if fault == NoFault {
		observed.recent.retractBad()
		observed.longTerm.retractBad()
	}
}

// recentStats returns the statistics of this replica's latest calls to a zone, or of its trial requests to an
// evacuated one. ok is false if there were none recently.
func (z *zone) recentStats(now moment) (stats callStats, ok bool) {
	stats, ttl := z.observed.recent, zoneStatsTTL
	if z.Phase == ZoneEvacuated {
		stats, ttl = z.observed.longTerm, trialStatsTTL
	}
	return stats, stats.seenWithin(now, ttl)
}

// sampleTTL returns the time after its latest call for which a server of a zone is included in the sample of
// recently called servers.
func (l *locality) sampleTTL(number int) span {
	if zone := l.zone(number); zone != nil && zone.Phase == ZoneEvacuated {
		return trialStatsTTL
	}
	return zoneStatsTTL / 2
}

// someZoneAnswers reports whether most of this replica's latest calls to at least one zone were answered.
func (l *locality) someZoneAnswers(now moment) bool {
	for i := range l.zones {
		if stats, ok := l.zones[i].recentStats(now); ok && stats.badFraction() < zoneUnhealthyFraction {
			return true
		}
	}
	return false
}

// acceptsTraffic reports whether a zone gets more than trial requests.
func (z *zone) acceptsTraffic() bool {
	return z.Phase != ZoneEvacuating && z.WeightFraction > 0 && z.reports.readyServers > 0
}

// zoneReports returns the reports on the zones that this replica has called recently or that have ever
// changed their phase.
func (l *locality) zoneReports(now moment, samples map[int]zoneSample) (reports []Report) {
	for i := range l.zones {
		if report, ok := l.report(now, &l.zones[i], samples[i]); ok || l.zones[i].Transitions > 0 {
			reports = append(reports, report)
		}
	}
	return reports
}

// report returns this replica's report on a zone, and whether it has evidence. It reports the zone as
// unhealthy if most of its calls are bad and at least half of the servers that it called are unhealthy. A
// zone that is being evacuated is reported with its full weight, since the evacuation is not certain yet.
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

// sumReports aggregates what the replicas of this zone report of each zone.
func (l *locality) sumReports() {
	for i := range l.zones {
		l.zones[i].reports = zoneReportSum{}
	}
	for _, server := range l.members.ready {
		if zone := l.zone(server.Zone); zone != nil {
			zone.reports.readyServers++
		}
	}
	// unhealthy holds the IDs of the servers that are counted already.
	unhealthy := map[string]bool{}
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

// add adds the report of one replica.
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

// setPhase sets the phase and weight fraction of a zone and logs a change of phase. Changes to or from
// ZoneEvacuated, ZoneRecovering and ZoneDrained, which last a second or more, are all logged; of the others
// at most one per zoneLogInterval, and none to ZoneEvacuating.
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

// state returns the zone's state with the figures of the latest reports.
func (z *zone) state() ZoneState {
	state := z.ZoneState
	state.Calls, state.BadFraction = z.reports.calls, z.reports.badFraction()
	state.ReportingReplicas, state.UnhealthyVotes = z.reports.replicas, z.reports.unhealthyVotes
	return state
}

// states returns the states of all zones by number. It is empty while zones are not tracked.
func (l *locality) states() (out []ZoneState) {
	for i := range l.zones {
		out = append(out, l.zones[i].state())
	}
	return out
}
