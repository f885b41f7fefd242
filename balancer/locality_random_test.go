package balancer

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestZonesUnderAnyReports checks with random reports that some zone always takes traffic, that the removal
// budget is kept, that two replicas with the same reports have the same zone states, and that all zones
// recover once all are reported as healthy or nothing is reported any more.
func TestZonesUnderAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		set.SlowStartDuration = 4 * second
		set.ZoneCount = rapid.IntRange(1, 4).Draw(t, "zones")
		var servers []Server
		for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
			servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: i % set.ZoneCount, State: ServerReady, CapacityHint: 1})
		}
		var balancers [2]*Balancer
		h := &recorder{}
		for i := range balancers {
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			balancers[i] = b
			b.UpdateEndpoints(start, h, UpdateSnapshot, servers)
		}
		now, replicas := start, rapid.IntRange(1, 5).Draw(t, "replicas")
		exchange := func(p PeerReports) {
			now += second / 10
			for _, b := range balancers {
				b.Reports(now)
				b.HandlePeerReports(now, h, p)
			}
		}
		randomReport := rapid.Custom(func(t *rapid.T) Report {
			return Report{Kind: ReportKind(rapid.IntRange(0, 6).Draw(t, "kind")),
				Fault:        Fault(rapid.IntRange(0, 5).Draw(t, "fault")),
				Observer:     fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "observer")),
				ObserverZone: rapid.IntRange(-1, 1).Draw(t, "observer zone"),
				Server:       fmt.Sprint("s", rapid.IntRange(0, 13).Draw(t, "server")),
				SubjectZone:  rapid.IntRange(-1, 4).Draw(t, "subject zone"),
				Calls:        rapid.Float64().Draw(t, "calls"),
				BadFraction:  rapid.SampledFrom([]float64{0, 0.5, 1, math.NaN()}).Draw(t, "bad"),
				Value:        rapid.SampledFrom([]float64{0, 0.05, 0.4, 1, math.Inf(1)}).Draw(t, "value"), LastObserved: rapid.Int64().Draw(t, "at")}
		})
		// All replicas of this zone report the same of each zone.
		zoneReports := rapid.Custom(func(t *rapid.T) (out []Report) {
			var bad []bool
			for range set.ZoneCount {
				bad = append(bad, rapid.Bool().Draw(t, "bad"))
			}
			for i := range replicas {
				for z, bad := range bad {
					out = append(out, Report{Kind: ReportZoneHealthy - ReportKind(indicator(bad)), Observer: fmt.Sprint("p", i), SubjectZone: z, Calls: 5,
						BadFraction: indicator(bad), Value: 1 - indicator(bad), LastObserved: now})
				}
				for _, s := range servers {
					if bad[s.Zone] {
						out = append(out, Report{Kind: ReportServerUnhealthy, Fault: FaultErrors, Observer: fmt.Sprint("p", i), Server: s.ID, Calls: 5,
							BadFraction: 1, LastObserved: now})
					}
				}
			}
			return out
		})
		for range rapid.IntRange(1, 15).Draw(t, "rounds") {
			p := PeerReports{LiveReplicas: replicas, LiveReplicasInZone: replicas,
				Isolated: rapid.IntRange(0, 9).Draw(t, "isolated") == 0}
			if rapid.Bool().Draw(t, "whole zones") {
				p.Reports = zoneReports.Draw(t, "zone reports")
			} else {
				p.Reports = rapid.SliceOfN(randomReport, 0, 30).Draw(t, "reports")
			}
			for i, state := range rapid.SliceOfN(rapid.SampledFrom([]ServerState{ServerReady, ServerReady, ServerDraining}), 0, set.ZoneCount).Draw(t, "states") {
				for j := i; j < len(servers); j += set.ZoneCount {
					servers[j].State = state
				}
			}
			for _, b := range balancers {
				b.UpdateEndpoints(now, h, UpdateSnapshot, servers)
			}
			for range rapid.IntRange(1, 40).Draw(t, "times") {
				exchange(p)
				accepting := 0
				for _, z := range balancers[0].locality.zones {
					accepting += int(indicator(z.acceptsTraffic()))
				}
				if accepting == 0 && len(balancers[0].members.ready) > 0 {
					t.Fatalf("no zone takes traffic: %+v", balancers[0].ZoneStates(now))
				}
				checkBudget(t, balancers[0])
				if !reflect.DeepEqual(balancers[0].ZoneStates(now), balancers[1].ZoneStates(now)) {
					t.Fatalf("two replicas with the same reports have different zone states:\n%+v\n%+v",
						balancers[0].ZoneStates(now), balancers[1].ZoneStates(now))
				}
			}
		}
		healthyReports := PeerReports{LiveReplicas: replicas, LiveReplicasInZone: replicas}
		for i := range replicas * rapid.IntRange(0, 1).Draw(t, "reported") { // or there are no reports
			for z := range set.ZoneCount {
				healthyReports.Reports = append(healthyReports.Reports, Report{Kind: ReportZoneHealthy,
					Observer: fmt.Sprint("p", i), SubjectZone: z, Calls: 5, Value: 1, LastObserved: now})
			}
		}
		for range 10 * (int64(maxEvacuation) + 8*set.SlowStartDuration) / second {
			exchange(healthyReports)
		}
		for _, z := range balancers[0].ZoneStates(now) {
			if z.WeightFraction < 1 {
				t.Fatalf("the zone has not recovered: %+v", z)
			}
		}
	})
}
