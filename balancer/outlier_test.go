package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// The weight of a server falls with its latency and with the failures attributed to it, but never to 0.
func TestWeightsFollowLatencyAndFailures(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 2)
	fast, slow := b.members.byID["s0"], b.members.byID["s1"]
	c := &b.classes[0]
	for range 200 {
		recordLatency(&c.latency, &fast.latency, 100_000)
		recordLatency(&c.latency, &slow.latency, 300_000)
	}
	if weightOf(b, start, fast, 0) < 2*weightOf(b, start, slow, 0) {
		t.Errorf("weights %v and %v of a server and one that is three times as slow, want at least a "+
			"factor of 2", weightOf(b, start, fast, 0), weightOf(b, start, slow, 0))
	}
	before := weightOf(b, start, fast, 0)
	b.outliers.attribute(fast, 0, StatusError)
	if weightOf(b, start, fast, 0) > before/2 {
		t.Errorf("weight %v after a failure attributed to the server, want at most half of %v",
			weightOf(b, start, fast, 0), before)
	}
	for range 100 {
		b.outliers.attribute(fast, 0, StatusError)
	}
	if weightOf(b, start, fast, 0) <= 0 {
		t.Error("a server that always fails has no weight left for trial requests")
	}
}

// An error lowers the weight of its server for one class only, a missing response that for all classes.
func TestErrorConcernsItsClassAndNoResponseTheServer(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 4)
	failing, healthy := b.members.byID["s0"], b.members.byID["s1"]
	for range 5 {
		b.outliers.attribute(failing, 0, StatusError)
		b.outliers.attribute(healthy, 0, StatusOK)
	}
	if w := weightOf(b, start, failing, 0); w > weightOf(b, start, healthy, 0)/5 {
		t.Errorf("weight %v of a server that fails the class, want at most a fifth of a healthy server's", w)
	}
	if weightOf(b, start, failing, 2) != weightOf(b, start, healthy, 2) {
		t.Error("errors of one class changed the server's weight for another class")
	}
	for range 5 {
		b.outliers.attribute(failing, 0, StatusTimedOut)
		for range 3 {
			b.outliers.attribute(healthy, 0, StatusOK)
		}
	}
	if w := weightOf(b, start, failing, 2); w > weightOf(b, start, healthy, 2)/5 {
		t.Errorf("weight %v of an unresponsive server for another class, want at most a fifth of a healthy "+
			"server's", w)
	}
}

// A server that rejects one class must not regain its weight for that class by answering another.
func TestRejectionConcernsItsClass(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 4)
	failing, healthy := b.members.byID["s0"], b.members.byID["s1"]
	for range 5 {
		b.outliers.attribute(failing, 0, StatusRejected)
		for range 3 {
			b.outliers.attribute(failing, 2, StatusOK)
			b.outliers.attribute(healthy, 0, StatusOK)
			b.outliers.attribute(healthy, 2, StatusOK)
		}
	}
	if w := weightOf(b, start, failing, 0); w > weightOf(b, start, healthy, 0)/5 {
		t.Errorf("weight %v of a server that rejects the class, want at most a fifth of a healthy server's",
			w)
	}
	if w := weightOf(b, start, failing, 2); w < weightOf(b, start, healthy, 2)/2 {
		t.Errorf("weight %v of the same server for another class, want at least half of a healthy server's",
			w)
	}
}

// Failures are attributed to servers even where half of all calls fail.
func TestFailuresOfHalfTheServersAreAttributed(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 4)
	for range 50 {
		b.outliers.attribute(b.members.byID["s0"], 0, StatusRejected)
		b.outliers.attribute(b.members.byID["s1"], 0, StatusRejected)
		b.outliers.attribute(b.members.byID["s2"], 0, StatusOK)
		b.outliers.attribute(b.members.byID["s3"], 0, StatusOK)
	}
	for _, id := range []string{"s0", "s1"} {
		if !b.outliers.attribute(b.members.byID[id], 0, StatusRejected) {
			t.Errorf("a rejection is not attributed to %s, which rejects all calls as half of the servers do",
				id)
		}
	}
	if b.outliers.attribute(b.members.byID["s2"], 0, StatusRejected) {
		t.Error("a single rejection is attributed to a healthy server")
	}
}

// An error that all servers return alike comes from an inner tier and is attributed to none of them.
func TestFailuresOfAllServersAreNotAttributed(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 4)
	for range 100 {
		for _, s := range b.members.all {
			b.outliers.attribute(s, 0, StatusError)
		}
	}
	for _, s := range b.members.all {
		if b.outliers.attribute(s, 0, StatusError) {
			t.Errorf("an error is attributed to %s although all servers return it", s.ID)
		}
	}
}

// When a zone is lost, all its servers refuse connections alike. The failures are attributed to them
// nevertheless.
func TestRefusedConnectionIsAlwaysAttributed(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 8)
	for range 5 {
		for _, s := range b.members.all {
			if !b.outliers.attribute(s, 0, StatusConnectFailed) {
				t.Fatalf("a refused connection is not attributed to %s", s.ID)
			}
		}
	}
}

// checkBudget checks that reports eject at most a third of the servers of the tier and of each zone, or one,
// but never all.
func checkBudget(t interface{ Errorf(string, ...any) }, b *Balancer) {
	ready, ejected := map[int]int{}, map[int]int{} // by zone; -1: the tier
	for _, s := range b.members.ready {
		for _, z := range []int{s.Zone, -1} {
			ready[z]++
			ejected[z] += int(indicator(s.outlier.peerFactor < 1))
		}
	}
	for z, n := range ejected {
		if n > max(1, ready[z]/3) || n > 0 && n == ready[z] {
			t.Errorf("zone %d (-1 is the tier): %d of %d ready servers are ejected", z, n, ready[z])
		}
	}
}

// A server that other replicas report as unhealthy gets trial requests only, until it answers this replica or
// is started again.
func TestReportedServerIsEjectedUntilItAnswers(t *testing.T) {
	set := testSettings()
	reportsOf := func(n int, kind ReportKind, fault Fault, zone int) (reports []Report) {
		for i := range n {
			reports = append(reports, Report{Kind: kind, Fault: fault, Observer: fmt.Sprint(kind, "p", i),
				ObserverZone: zone, Server: "s1", Calls: 5, BadFraction: 1 - float64(kind),
				LastObserved: start})
		}
		return reports
	}
	for _, c := range []struct {
		name    string
		reports []Report
		before  func(b *Balancer, h Host) // called before the reports arrive, unless nil
		want    float64                   // peerFactor
	}{
		{"two replicas report it", reportsOf(2, ReportServerUnhealthy, FaultErrors, 0), nil, minHealthScore},
		{"one replica reports it", reportsOf(1, ReportServerUnhealthy, FaultErrors, 0), nil, 1},
		{"as many report it as healthy", slices.Concat(reportsOf(2, ReportServerUnhealthy, FaultErrors, 0),
			reportsOf(2, ReportServerHealthy, NoFault, 0)), nil, 1},
		{"unresponsive to another zone", reportsOf(3, ReportServerUnhealthy, FaultUnresponsive, 1), nil, 1},
		{"unresponsive to this zone", reportsOf(3, ReportServerUnhealthy, FaultUnresponsive, 0), nil,
			minHealthScore},
		{"it has answered since", reportsOf(3, ReportServerUnhealthy, FaultErrors, 0),
			func(b *Balancer, h Host) {
				b.recordEvidence(moment(start+1), &attempt{server: b.members.byID["s1"]}, NoFault)
			}, 1},
		{"it has restarted since", reportsOf(3, ReportServerUnhealthy, FaultErrors, 0),
			func(b *Balancer, h Host) {
				b.UpdateEndpoints(start, h, UpdateDelta,
					[]Server{{ID: "s1", State: ServerReady, CapacityHint: 1, StartTime: start - 1}})
			}, 1},
	} {
		b, h := newWithServers(t, set, 8)
		if b.Reports(start); c.before != nil {
			c.before(b, h)
		}
		b.HandlePeerReports(start+2, h,
			PeerReports{LiveReplicas: 8, LiveReplicasInZone: 4, Reports: c.reports})
		if got := b.members.byID["s1"].outlier.peerFactor; got != c.want {
			t.Errorf("%s: the server keeps %v of its weight, want %v", c.name, got, c.want)
		}
		b.HandlePeerReports(start+3, h,
			PeerReports{LiveReplicas: 8, LiveReplicasInZone: 4, Isolated: true, Reports: c.reports})
		if got := b.members.byID["s1"].outlier.peerFactor; got != 1 {
			t.Errorf("%s, then the replica is isolated: the server keeps %v of its weight, want 1",
				c.name, got)
		}
	}
}
