package balancer

import "testing"

// The report on a zone follows from this replica's calls, the servers that it sampled and, for the local
// zone, the spillover weight.
func TestZoneReportOfOneReplica(t *testing.T) {
	for _, c := range []struct {
		name      string
		good, bad int // calls to zone 1 now
		sample    zoneSample
		spillover float64
		zone      int
		kind      ReportKind
		fault     Fault
		evidence  bool
	}{
		{"no calls", 0, 0, zoneSample{}, 0, 1, ReportZoneHealthy, NoFault, false},
		{"answered", 4, 0, zoneSample{recent: 2}, 0, 1, ReportZoneHealthy, NoFault, true},
		{"most are bad, at all servers", 0, 4, zoneSample{recent: 2, recentUnhealthy: 2}, 0, 1,
			ReportZoneUnhealthy, FaultUnresponsive, true},
		{"most are bad, at half of the servers", 0, 4, zoneSample{recent: 2, recentUnhealthy: 1}, 0, 1,
			ReportZoneUnhealthy, FaultUnresponsive, true},
		{"most are bad, at few servers", 0, 4, zoneSample{recent: 5, recentUnhealthy: 1}, 0, 1,
			ReportZoneHealthy, NoFault, true},
		{"the local zone is slow", 4, 0, zoneSample{recent: 2}, saturationSpillover + 0.01, 0,
			ReportZoneHealthy, FaultSlow, false},
		{"another zone, while the local one is slow", 4, 0, zoneSample{recent: 2}, saturationSpillover + 0.01, 1,
			ReportZoneHealthy, NoFault, true},
	} {
		b, _ := newWithServers(t, testSettings(), 4)
		b.trackZones()
		b.spillover.weight = c.spillover
		server := b.members.byID["s2"] // of zone 1
		for range c.good {
			b.recordEvidence(moment(start), &attempt{server: server, zone: 1}, NoFault)
		}
		for range c.bad {
			b.recordEvidence(moment(start), &attempt{server: server, zone: 1}, FaultUnresponsive)
		}
		report, ok := b.locality.report(moment(start), &b.locality.zones[c.zone], c.sample)
		if report.Kind != c.kind || report.Fault != c.fault || ok != c.evidence || report.SubjectZone != c.zone {
			t.Errorf("%s: report %+v, evidence %v; want kind %d, fault %v, zone %d and evidence %v",
				c.name, report, ok, c.kind, c.fault, c.zone, c.evidence)
		}
	}
}

// The figures in the report of one replica are bounded, and a report without evidence is no vote.
func TestReportsOfOneReplicaAreBounded(t *testing.T) {
	var sum zoneReportSum
	sum.add(Report{Kind: ReportZoneUnhealthy, Observer: "a", Calls: 1e9, BadFraction: 7, Fault: FaultErrors,
		Value: -3})
	if sum.calls != maxZoneCalls || sum.bad != maxZoneCalls || sum.unhealthyVotes != 1 ||
		sum.peerFractions[0] != 0 {
		t.Errorf("the sum of a report with values out of range is %+v", sum)
	}
	sum.add(Report{Kind: ReportZoneUnhealthy, Observer: "b", Calls: minZoneCalls / 2, BadFraction: 1, Value: 1})
	if sum.replicas != 1 || sum.unhealthyVotes != 1 || len(sum.peerFractions) != 2 {
		t.Errorf("the sum after a report without evidence is %+v, want it to count only in peerFractions",
			sum)
	}
}

// A rejected call is a bad call of its server, but not of its zone.
func TestRejectionsAreNoFaultOfTheZone(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 4)
	b.trackZones()
	server := b.members.byID["s2"]
	b.recordEvidence(moment(start), &attempt{server: server, zone: 1}, FaultSaturated)
	if recent := b.locality.zones[1].observed.recent; recent.calls != 1 || recent.bad != 0 {
		t.Errorf("the zone's calls after a rejection: %+v, want one that is not bad", recent)
	}
	if recent := server.outlier.recent; recent.bad != 1 || recent.fault != FaultSaturated {
		t.Errorf("the server's calls after a rejection: %+v, want a bad one with FaultSaturated", recent)
	}
}
