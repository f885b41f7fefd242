package balancer

import (
	"math"
	"testing"
)

// loadReport returns a replica's report of the load of server s0; latency is in µs.
func loadReport(observer string, calls, badFraction, latency float64) Report {
	return Report{Kind: ReportServerLoad, Observer: observer, Server: "s0", Calls: calls, BadFraction: badFraction,
		Value: latency, LastObserved: start}
}

// TestLoadReportsAreSummedOverReplicas checks the load of a server by the reports of several replicas, of
// which some are missing, invalid, out of proportion, too old or about another process.
func TestLoadReportsAreSummedOverReplicas(t *testing.T) {
	for _, c := range []struct {
		name     string
		live     int
		reports  []Report
		replicas int
		want     fleetLoad
	}{
		{"none", 3, nil, 0, fleetLoad{}},
		{"two replicas", 2, []Report{loadReport("a", 40, 0, 50_000), loadReport("b", 40, 0.5, 80_000)}, 2,
			fleetLoad{callsPerSecond: 20, calls: 80, failedFraction: 0.25, meanLatency: 60_000}},
		{"two of four replicas are heard", 4, []Report{loadReport("a", 40, 0, 50_000), loadReport("b", 40, 0, 50_000)}, 2,
			fleetLoad{callsPerSecond: 40, calls: 80, meanLatency: 50_000}},
		{"calls out of proportion", 3,
			[]Report{loadReport("a", 40, 0, 50_000), loadReport("b", 40, 0, 50_000), loadReport("c", 1e300, 0, 50_000)}, 3,
			fleetLoad{callsPerSecond: 40, calls: 160, meanLatency: 50_000}},
		{"a latency out of proportion", 3,
			[]Report{loadReport("a", 40, 0, 50_000), loadReport("b", 40, 0, 50_000), loadReport("c", 40, 0, math.Inf(1))}, 3,
			fleetLoad{callsPerSecond: 30, calls: 120, meanLatency: 100_000}},
		{"no numbers", 3, []Report{loadReport("a", 40, 0, 50_000), loadReport("b", math.NaN(), 0, 50_000),
			loadReport("c", 40, math.NaN(), 50_000), loadReport("d", 40, 0, math.NaN())}, 1,
			fleetLoad{callsPerSecond: 30, calls: 40, meanLatency: 50_000}},
		{"too old", 3, []Report{{Kind: ReportServerLoad, Observer: "a", Server: "s0", Calls: 40, Value: 50_000,
			LastObserved: start - int64(loadReportTTL) - 1}}, 0, fleetLoad{}},
		{"another process of the server", 1, []Report{{Kind: ReportServerLoad, Observer: "a", Server: "s0", Calls: 40,
			Value: 50_000, LastObserved: start, StartTime: 2 * second}}, 1, fleetLoad{}},
	} {
		b, _ := newWithServers(t, testSettings(), 2)
		b.reports.peers = PeerReports{LiveReplicas: c.live, Reports: c.reports}
		replicas := b.loads.sumReports(moment(start))
		got := b.members.byID["s0"].load.fleet
		near := func(x, y float64) bool { return math.Abs(x-y) <= 1e-9*max(1, math.Abs(y)) }
		if replicas != c.replicas || !near(got.callsPerSecond, c.want.callsPerSecond) || !near(got.calls, c.want.calls) ||
			!near(got.failedFraction, c.want.failedFraction) || !near(got.meanLatency, c.want.meanLatency) {
			t.Errorf("%s: the reports of %d replicas sum up to %+v, want %+v", c.name, replicas, got, c.want)
		}
	}
}

// TestLoadIsReportedOnceASecond checks that load reports change at most once in loadReportInterval, and that
// there are none long after the latest call or without weight tuning.
func TestLoadIsReportedOnceASecond(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 1)
	b.Reports(start) // from now on load is recorded
	sendRequest(b, h, start, "1", 0)
	b.HandleOutcome(start+50_000, h, Outcome{RequestID: "1", Status: StatusOK, Latency: 50_000, RequestDone: true})
	loads := func(now int64) (n int) {
		for _, report := range b.Reports(now) {
			n += int(indicator(report.Kind == ReportServerLoad))
		}
		return n
	}
	if n := loads(start + int64(loadReportInterval) - 1); n != 0 {
		t.Errorf("%d load reports before a second has passed", n)
	}
	if n := loads(start + int64(loadReportInterval)); n != 1 {
		t.Errorf("%d load reports after a second", n)
	}
	if n := loads(start + 20*second); n != 0 {
		t.Errorf("%d load reports long after the latest call", n)
	}
	b.settings.DisableWeightTuning = true
	sendRequest(b, h, start+30*second, "2", 0)
	if n := loads(start + 32*second); n != 0 {
		t.Errorf("%d load reports with weight tuning off", n)
	}
}
