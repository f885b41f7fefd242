package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// A third that lies about all servers and zones takes no more than the budget out and moves nobody.
func TestALyingThirdMovesNothing(t *testing.T) {
	for _, liars := range []bool{false, true} {
		w := laid(t, 3, 6, 6, 15, true)
		w.lie = func(c *copyOf, tells []Report) []Report {
			if !liars || c.n%9 > 2 { // two of the six of each zone
				return tells
			}
			tells = nil
			for _, s := range w.servers {
				tells = append(tells, Report{Kind: ReportServerUnhealthy, Fault: FaultErrors, ObserverZone: c.b.s.Zone, Server: s.ID, Calls: 1e9, BadFraction: 7,
					LastObserved: w.now + 1e9})
			}
			for z := range 3 {
				tells = append(tells, Report{Kind: ReportZoneUnhealthy, Fault: FaultUnresponsive, ObserverZone: c.b.s.Zone, SubjectZone: z, Calls: 1e9, BadFraction: 1, LastObserved: w.now})
			}
			return tells
		}
		w.run(40 * second)
		for _, c := range w.copies {
			checkBudget(t, c.b)
			if away := c.away(); len(away) > 0 {
				t.Errorf("%s has left %v", c.name, away)
			}
		}
		if part := w.part(-1, -1, 5*second, 40*second); part > 0.15 {
			t.Errorf("liars %v: %.2f of attempts across zones", liars, part)
		}
		if n := w.failed(); n > 40 {
			t.Errorf("liars %v: %d requests failed", liars, n)
		}
	}
}

// checkBudget checks that verdicts of others take out no more than a third of the tier and of each zone, or one.
func checkBudget(t interface{ Errorf(string, ...any) }, b *Balancer) {
	all, out := map[int]int{}, map[int]int{}
	for _, s := range b.ready {
		for _, z := range []int{s.Zone, -1} {
			all[z]++
			out[z] += int(indicator(s.told < 1))
		}
	}
	for z, n := range out {
		if n > max(1, all[z]/3) || n > 0 && n == all[z] {
			t.Errorf("zone %d: verdicts take out %d of %d servers", z, n, all[z])
		}
	}
}

// One that fails over several zones, and is answered by none, tells nothing.
func TestABadLinkOfItsOwnCondemnsNobody(t *testing.T) {
	for _, c := range []struct {
		name string
		well []int // zones that answer
		bad  []int // zones whose servers do not
		want int   // servers that are called bad
	}{
		{"all silent over two zones", nil, []int{0, 1}, 0},
		{"one zone silent", nil, []int{0}, 4},
		{"home answers", []int{0}, []int{1}, 4},
	} {
		b, _ := with(t, testSettings(), 8)
		b.open()
		for _, s := range b.all {
			for range 3 {
				if slices.Contains(c.well, s.Zone) {
					b.note(start, &attempt{server: s, zone: s.Zone}, NoFault)
				} else if slices.Contains(c.bad, s.Zone) {
					b.note(start, &attempt{server: s, zone: s.Zone}, FaultUnresponsive)
				}
			}
		}
		got, zones := 0, 0
		for _, n := range b.Reports(start + 1) {
			got += int(indicator(n.Kind == ReportServerUnhealthy))
			zones += int(indicator(n.Kind == ReportZoneUnhealthy))
		}
		if got != c.want || zones != c.want/4 {
			t.Errorf("%s: %d servers and %d zones are called bad", c.name, got, zones)
		}
	}
}

// A server that others call bad gets trials only, until it answers this copy; restarted it begins anew.
func TestAVerdictOfOthersIsAPrior(t *testing.T) {
	set := testSettings()
	says := func(n int, kind ReportKind, cause Fault, zone int) (out []Report) {
		for i := range n {
			out = append(out, Report{Kind: kind, Fault: cause, Observer: fmt.Sprint(kind, "p", i), ObserverZone: zone, Server: "s1",
				Calls: 5, BadFraction: 1 - float64(kind), LastObserved: start})
		}
		return out
	}
	for _, c := range []struct {
		name string
		say  []Report
		do   func(b *Balancer, h Host)
		want float64
	}{
		{"two say so", says(2, ReportServerUnhealthy, FaultErrors, 0), nil, minHealthScore},
		{"one says so", says(1, ReportServerUnhealthy, FaultErrors, 0), nil, 1},
		{"as many say well", slices.Concat(says(2, ReportServerUnhealthy, FaultErrors, 0), says(2, ReportServerHealthy, NoFault, 0)), nil, 1},
		{"silent to another zone", says(3, ReportServerUnhealthy, FaultUnresponsive, 1), nil, 1},
		{"silent to this zone", says(3, ReportServerUnhealthy, FaultUnresponsive, 0), nil, minHealthScore},
		{"it has answered since", says(3, ReportServerUnhealthy, FaultErrors, 0), func(b *Balancer, h Host) {
			b.note(start+1, &attempt{server: b.byID["s1"]}, NoFault)
		}, 1},
		{"it has restarted since", says(3, ReportServerUnhealthy, FaultErrors, 0), func(b *Balancer, h Host) {
			b.UpdateEndpoints(start, h, UpdateDelta, []Server{{ID: "s1", State: ServerReady, CapacityHint: 1, StartTime: start - 1}})
		}, 1},
	} {
		b, h := with(t, set, 8)
		if b.Reports(start); c.do != nil {
			c.do(b, h)
		}
		b.HandlePeerReports(start+2, h, PeerReports{LiveReplicas: 8, LiveReplicasInZone: 4, Reports: c.say})
		if got := b.byID["s1"].told; got != c.want {
			t.Errorf("%s: left %v of its weight, not %v", c.name, got, c.want)
		}
		b.HandlePeerReports(start+3, h, PeerReports{LiveReplicas: 8, LiveReplicasInZone: 4, Isolated: true, Reports: c.say})
		if got := b.byID["s1"].told; got != 1 {
			t.Errorf("%s, then alone: left %v of its weight", c.name, got)
		}
	}
}
