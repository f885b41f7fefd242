package balancer

import (
	"fmt"
	"slices"
	"testing"
)

func TestWeightsFollowLatencyAndFailures(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 2)
	fast, slow := b.members.byID["s0"], b.members.byID["s1"]
	c := &b.classes[0]
	for range 200 {
		recordLatency(&c.latency, &fast.latency, 100_000)
		recordLatency(&c.latency, &slow.latency, 300_000)
	}
	if weightOf(b, start, fast, 0) < 2*weightOf(b, start, slow, 0) {
		t.Errorf("weights %v and %v", weightOf(b, start, fast, 0), weightOf(b, start, slow, 0))
	}
	before := weightOf(b, start, fast, 0)
	b.outliers.attribute(fast, 0, StatusError)
	if weightOf(b, start, fast, 0) > before/2 {
		t.Error("a failure that its peer does not show left the weight")
	}
	for range 100 {
		b.outliers.attribute(fast, 0, StatusError)
	}
	if weightOf(b, start, fast, 0) <= 0 {
		t.Error("no floor keeps trials going")
	}
}

// A server that fails one class keeps the others.
func TestErrorConcernsItsClassAndNoResponseTheServer(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 4)
	ill, well := b.members.byID["s0"], b.members.byID["s1"]
	for range 5 {
		b.outliers.attribute(ill, 0, StatusError)
		b.outliers.attribute(well, 0, StatusOK)
	}
	if w := weightOf(b, start, ill, 0); w > weightOf(b, start, well, 0)/5 {
		t.Errorf("a server that fails the class keeps weight %v", w)
	}
	if weightOf(b, start, ill, 2) != weightOf(b, start, well, 2) {
		t.Error("errors of one class cost a server the others")
	}
	for range 5 {
		b.outliers.attribute(ill, 0, StatusTimedOut)
		for range 3 {
			b.outliers.attribute(well, 0, StatusOK)
		}
	}
	if w := weightOf(b, start, ill, 2); w > weightOf(b, start, well, 2)/5 {
		t.Errorf("a silent server keeps weight %v for the other classes", w)
	}
}

// A server that rejects one class must not get its weight for it back by answers of another.
func TestRejectionConcernsItsClass(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 4)
	ill, well := b.members.byID["s0"], b.members.byID["s1"]
	for range 5 {
		b.outliers.attribute(ill, 0, StatusRejected)
		for range 3 {
			b.outliers.attribute(ill, 2, StatusOK)
			b.outliers.attribute(well, 0, StatusOK)
			b.outliers.attribute(well, 2, StatusOK)
		}
	}
	if w := weightOf(b, start, ill, 0); w > weightOf(b, start, well, 0)/5 {
		t.Errorf("a server that is full for the class keeps weight %v", w)
	}
	if w := weightOf(b, start, ill, 2); w < weightOf(b, start, well, 2)/2 {
		t.Errorf("and for the other class it is left %v", w)
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
			t.Errorf("%s is not blamed", id)
		}
	}
	if b.outliers.attribute(b.members.byID["s2"], 0, StatusRejected) {
		t.Error("a single failure of a server that is well is blamed")
	}
}

// An error that all servers show comes from an inner tier: it is attributed to none.
func TestFailuresOfAllServersAreNotAttributed(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 4)
	for range 100 {
		for _, s := range b.members.all {
			b.outliers.attribute(s, 0, StatusError)
		}
	}
	for _, s := range b.members.all {
		if b.outliers.attribute(s, 0, StatusError) {
			t.Errorf("%s is blamed for what its peers show", s.ID)
		}
	}
}

// When a zone is lost all its servers refuse connections alike, and the failures are attributed to them nonetheless.
func TestRefusedConnectionIsAlwaysAttributed(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 8)
	for range 5 {
		for _, s := range b.members.all {
			if !b.outliers.attribute(s, 0, StatusConnectFailed) {
				t.Fatalf("%s is not blamed for a refused connection", s.ID)
			}
		}
	}
}

// checkBudget checks that reports take out no more than a third of the tier's servers and of each zone's, or one.
func checkBudget(t interface{ Errorf(string, ...any) }, b *Balancer) {
	all, out := map[int]int{}, map[int]int{}
	for _, s := range b.members.ready {
		for _, z := range []int{s.Zone, -1} {
			all[z]++
			out[z] += int(indicator(s.outlier.peerFactor < 1))
		}
	}
	for z, n := range out {
		if n > max(1, all[z]/3) || n > 0 && n == all[z] {
			t.Errorf("zone %d: verdicts take out %d of %d servers", z, n, all[z])
		}
	}
}

// A server that others report as unhealthy gets trials only, until it answers this replica; another process of it begins
// anew.
func TestReportedServerIsEjectedUntilItAnswers(t *testing.T) {
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
			b.recordEvidence(moment(start+1), &attempt{server: b.members.byID["s1"]}, NoFault)
		}, 1},
		{"it has restarted since", says(3, ReportServerUnhealthy, FaultErrors, 0), func(b *Balancer, h Host) {
			b.UpdateEndpoints(start, h, UpdateDelta, []Server{{ID: "s1", State: ServerReady, CapacityHint: 1, StartTime: start - 1}})
		}, 1},
	} {
		b, h := newWithServers(t, set, 8)
		if b.Reports(start); c.do != nil {
			c.do(b, h)
		}
		b.HandlePeerReports(start+2, h, PeerReports{LiveReplicas: 8, LiveReplicasInZone: 4, Reports: c.say})
		if got := b.members.byID["s1"].outlier.peerFactor; got != c.want {
			t.Errorf("%s: left %v of its weight, not %v", c.name, got, c.want)
		}
		b.HandlePeerReports(start+3, h, PeerReports{LiveReplicas: 8, LiveReplicasInZone: 4, Isolated: true, Reports: c.say})
		if got := b.members.byID["s1"].outlier.peerFactor; got != 1 {
			t.Errorf("%s, then alone: left %v of its weight", c.name, got)
		}
	}
}
