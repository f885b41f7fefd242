package balancer

import "slices"

// Peer reports: what this replica reports to the others, and which of the others' reports it uses.
//
// Input: the state of the rules, and the reports of others. Output: the reports of this replica; none if its
// own network link is more likely at fault than the servers.

const (
	// This replica's own link is at fault if at least ownLinkMinServers servers, in more than one zone, and
	// more than ownLinkBadFraction of all servers that it called lately are unhealthy.
	ownLinkMinServers, ownLinkBadFraction = 3, 0.6

	startTimeTolerance = 1 * seconds // the start time of one process differs by less than this between clocks
)

// reportExchange holds the latest reports of this replica and of the others.
type reportExchange struct {
	own   []Report
	peers PeerReports
}

// receive replaces the reports of the others. An isolated replica uses only its own reports.
func (r *reportExchange) receive(peers PeerReports) {
	if peers.LiveReplicasInZone = max(peers.LiveReplicasInZone, 1); peers.Isolated {
		peers.Reports = nil
		peers.LiveReplicasInZone = max(peers.LiveReplicasInZone, r.peers.LiveReplicasInZone)
	}
	r.peers = peers
}

// all iterates over this replica's own reports and those of the others. Since every replica includes its own,
// the replicas that receive each other's reports decide alike.
func (r *reportExchange) all(yield func(Report) bool) {
	for _, list := range [][]Report{r.own, r.peers.Reports} {
		for _, report := range list {
			if !yield(report) {
				return
			}
		}
	}
}

// sameProcess reports whether a report is about the process that is listed now. The start time in the report
// may be by another clock.
func sameProcess(server *server, report Report) bool {
	return sameStartTime(moment(server.StartTime), moment(report.StartTime))
}

// sameStartTime reports whether two start times are equal within startTimeTolerance.
func sameStartTime(x, y moment) bool { return max(x.since(y), y.since(x)) < startTimeTolerance }

// bounded limits a number that another replica reported to the range from 0 to most; NaN becomes 0.
func bounded(x, most float64) float64 {
	if !(x >= 0) {
		return 0
	}
	return min(x, most)
}

// zoneSample counts the servers of one zone, or of all zones, that this replica called within
// serverReportTTL.
type zoneSample struct {
	servers, unhealthy      int
	recent, recentUnhealthy int // those of them that it called within locality.sampleTTL
	unhealthyZones          int // only in the sample of all zones: number of zones with an unhealthy server
}

// Reports returns the current reports of this replica for the others. A report that is no longer included is
// withdrawn.
func (b *Balancer) Reports(nowMicros int64) []Report {
	now := moment(nowMicros)
	b.trackZones()
	b.recordUnresponsiveAttempts(now)
	reports, samples := b.serverReports(now)
	reports = append(reports, b.locality.zoneReports(now, samples)...)
	reports = append(reports, b.damping.flapReports(now)...)
	reports = append(reports, b.loads.loadReports(now)...)
	if b.ownLinkFails(now, samples) {
		reports = nil
	}
	b.reports.own = reports
	return slices.Clone(reports)
}

// serverReports returns the reports on the health of the servers that this replica called lately, and a
// sample for each zone.
func (b *Balancer) serverReports(now moment) (reports []Report, samples map[int]zoneSample) {
	samples = map[int]zoneSample{}
	for _, server := range b.members.all {
		recent := &server.outlier.recent
		if server.State != ServerReady || !recent.seenWithin(now, serverReportTTL) {
			continue
		}
		b.damping.detectFlap(now, server)
		report := Report{ObserverZone: b.settings.Zone, Server: server.ID, StartTime: server.StartTime,
			Calls: recent.calls, BadFraction: recent.badFraction()}
		if server.outlier.healthReport(now, &report) {
			reports = append(reports, report)
		}
		sample := samples[server.Zone]
		recentlyCalled := int(indicator(recent.seenWithin(now, b.locality.sampleTTL(server.Zone))))
		sample.servers, sample.recent = sample.servers+1, sample.recent+recentlyCalled
		if report.Kind == ReportServerUnhealthy {
			sample.unhealthy, sample.recentUnhealthy =
				sample.unhealthy+1, sample.recentUnhealthy+recentlyCalled
		}
		samples[server.Zone] = sample
	}
	return reports, samples
}

// ownLinkFails reports whether the failures that this replica sees are more likely caused by its own network
// link: most servers over several zones are unhealthy, and no zone answers.
func (b *Balancer) ownLinkFails(now moment, samples map[int]zoneSample) bool {
	if b.locality.someZoneAnswers(now) {
		return false
	}
	var all zoneSample
	for _, sample := range samples {
		all.servers, all.unhealthy = all.servers+sample.servers, all.unhealthy+sample.unhealthy
		all.unhealthyZones += int(indicator(sample.unhealthy > 0))
	}
	return all.unhealthy >= ownLinkMinServers && all.unhealthyZones > 1 &&
		float64(all.unhealthy) > ownLinkBadFraction*float64(all.servers)
}

// recordUnresponsiveAttempts counts attempts that have been in flight for too long as failed, before they
// end.
func (b *Balancer) recordUnresponsiveAttempts(now moment) {
	for _, request := range b.requests {
		for _, attempt := range request.attempts {
			if b.outliers.isUnresponsive(now, request.Class, attempt) {
				b.recordEvidence(now, attempt, FaultUnresponsive)
				attempt.outlier.markUnresponsive()
			}
		}
	}
}

// HandlePeerReports handles the current reports of the other replicas, which replace all that they reported
// before.
func (b *Balancer) HandlePeerReports(nowMicros int64, host Host, peers PeerReports) {
	now := moment(nowMicros)
	b.trackZones()
	b.reports.receive(peers)
	b.removeUnhealthy(now)
	b.damping.logChange(now, host)
	b.tuning.adjust(now)
	if b.locality.evaluate(now, host) {
		b.rebuildReady()
	}
}
