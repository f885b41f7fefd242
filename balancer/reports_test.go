package balancer

import (
	"slices"
	"testing"
)

// TestFalseReportsOfAThirdMoveNothing checks that false reports by a third of the replicas, which call all
// servers and zones unhealthy, remove no more servers than the budget allows and evacuate no zone.
func TestFalseReportsOfAThirdMoveNothing(t *testing.T) {
	for _, falseReports := range []bool{false, true} {
		w := newFleetSimulation(t, 3, 6, 6, 15, true)
		w.alterReports = func(c *replica, reports []Report) []Report {
			if !falseReports || c.index%9 > 2 { // two of the six of each zone
				return reports
			}
			reports = nil
			for _, s := range w.servers {
				reports = append(reports, Report{Kind: ReportServerUnhealthy, Fault: FaultErrors, ObserverZone: c.b.settings.Zone, Server: s.ID, Calls: 1e9, BadFraction: 7,
					LastObserved: w.now + 1e9})
			}
			for z := range 3 {
				reports = append(reports, Report{Kind: ReportZoneUnhealthy, Fault: FaultUnresponsive, ObserverZone: c.b.settings.Zone, SubjectZone: z, Calls: 1e9, BadFraction: 1, LastObserved: w.now})
			}
			return reports
		}
		w.run(40 * second)
		for _, c := range w.replicas {
			checkBudget(t, c.b)
			if evacuated := c.evacuatedZones(); len(evacuated) > 0 {
				t.Errorf("%s has evacuated zones %v", c.name, evacuated)
			}
		}
		if part := w.attemptFraction(-1, -1, 5*second, 40*second); part > 0.15 {
			t.Errorf("false reports %v: %.2f of the attempts go to other zones", falseReports, part)
		}
		if n := w.failures(); n > 40 {
			t.Errorf("false reports %v: %d requests failed", falseReports, n)
		}
	}
}

// TestOwnLinkFailureReportsNothing checks that a replica whose calls fail in several zones, and are answered
// by none, reports nothing: then its own network link is more likely at fault.
func TestOwnLinkFailureReportsNothing(t *testing.T) {
	for _, c := range []struct {
		name         string
		answering    []int // zones that answer
		unresponsive []int // zones whose servers do not respond
		want         int   // servers that are reported as unhealthy
	}{
		{"all silent over two zones", nil, []int{0, 1}, 0},
		{"one zone silent", nil, []int{0}, 4},
		{"home answers", []int{0}, []int{1}, 4},
	} {
		b, _ := newWithServers(t, testSettings(), 8)
		b.trackZones()
		for _, s := range b.members.all {
			for range 3 {
				if slices.Contains(c.answering, s.Zone) {
					b.recordEvidence(moment(start), &attempt{server: s, zone: s.Zone}, NoFault)
				} else if slices.Contains(c.unresponsive, s.Zone) {
					b.recordEvidence(moment(start), &attempt{server: s, zone: s.Zone}, FaultUnresponsive)
				}
			}
		}
		got, zones := 0, 0
		for _, n := range b.Reports(start + 1) {
			got += int(indicator(n.Kind == ReportServerUnhealthy))
			zones += int(indicator(n.Kind == ReportZoneUnhealthy))
		}
		if got != c.want || zones != c.want/4 {
			t.Errorf("%s: %d servers and %d zones are reported as unhealthy", c.name, got, zones)
		}
	}
}
