package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// serverQueue simulates a server that works on a limited number of calls at once, each for a random time.
// Further calls wait in a queue.
type serverQueue struct {
	slots           []int64      // when each of the concurrent calls ends
	mean            float64      // µs: mean time for a call
	failureFraction float64      // fraction of the calls that fail immediately
	shared          *serverQueue // nil, or a resource that the calls use next, shared with other servers
}

// finish returns when a call that arrives now ends.
func (q *serverQueue) finish(w *fleetSimulation, now int64) int64 {
	i := slices.Index(q.slots, slices.Min(q.slots))
	q.slots[i] = max(q.slots[i], now) + int64(q.mean*(0.3+0.7*w.rnd.ExpFloat64()))
	if q.shared != nil {
		return q.shared.finish(w, q.slots[i])
	}
	return q.slots[i]
}

// tuningRun simulates ten replicas and twelve servers of one zone, with or without weight tuning.
type tuningRun struct {
	*fleetSimulation
	queues       []*serverQueue // by number of the server
	extraLatency int64          // µs: added to the calls of every other replica
	latencies    []int64        // µs: of the calls sent after tuningFrom
}

// A run lasts until tuningEnd. Latencies are measured after tuningFrom.
const tuningEnd, tuningFrom = 80 * second, 40 * second

// newTuning returns a run with weight tuning or without; rate is in requests per second of each replica.
func newTuning(t *testing.T, tuned bool, rate float64) *tuningRun {
	sim := &tuningRun{fleetSimulation: newFleetSimulation(t, 1, 10, 12, rate, true)}
	for range 12 {
		sim.queues = append(sim.queues, &serverQueue{slots: make([]int64, 2), mean: 55_000})
	}
	for _, c := range sim.replicas {
		c.b.settings.DisableWeightTuning = !tuned
	}
	sim.outcome = func(c *replica, s Server) (Status, int64) {
		var i int
		fmt.Sscanf(s.ID, "s%d", &i)
		q := sim.queues[i]
		if sim.rnd.Float64() < q.failureFraction {
			return StatusError, 2_000
		}
		latency := q.finish(sim.fleetSimulation, sim.now) - sim.now + sim.extraLatency*int64(c.index%2)
		if sim.now > start+tuningFrom {
			sim.latencies = append(sim.latencies, latency)
		}
		return StatusOK, latency
	}
	return sim
}

// p99 returns the 99th percentile of the measured latencies in ms.
func (r *tuningRun) p99() float64 {
	slices.Sort(r.latencies)
	return float64(r.latencies[len(r.latencies)*99/100]) / 1000
}

// factors returns the factor of each server at the first replica, and the calls to s0 in the last 20 s as a
// multiple of the mean of all servers.
func (r *tuningRun) factors() (f [12]float64, s0 float64) {
	for i := range f {
		f[i] = math.Exp(r.replicas[0].b.members.byID[fmt.Sprint("s", i)].tuning.logFactor)
	}
	calls, total := 0.0, 0.0
	for _, c := range r.replicas {
		for _, s := range c.sends {
			if s.at > start+tuningEnd-20*second {
				total++
				calls += indicator(s.server == "s0")
			}
		}
	}
	return f, 12 * calls / total
}

// Tuning lowers the tail latency of unequal servers, and does no harm where servers are equal, fail, change
// their capacity or share a resource, or where reports are lost or wrong.
func TestWeightTuning(t *testing.T) {
	equalWithin := func(ratio float64) func(f [12]float64, s0 float64) bool {
		return func(f [12]float64, _ float64) bool {
			return slices.Min(f[:]) > 1/ratio && slices.Max(f[:]) < ratio
		}
	}
	unequal := func(sim *tuningRun) {
		for i, q := range sim.queues {
			q.mean *= []float64{0.8, 0.8, 1.6}[i%3]
		}
	}
	for _, c := range []struct {
		name   string
		rate   float64 // requests per second of each replica
		setUp  func(sim *tuningRun)
		most   float64 // highest ratio of the p99 with tuning to the one without; 0: not checked
		expect func(f [12]float64, s0 float64) bool
	}{
		{"equal servers", 30, nil, 1.08, equalWithin(1.1)},
		{"equal servers, few calls", 3, nil, 1.08, equalWithin(1.1)},
		{"unequal servers", 30, unequal, 0.98, func(f [12]float64, _ float64) bool {
			return min(f[0], f[1], f[3], f[4]) > max(f[2], f[5], f[8], f[11])
		}},
		{"a capacity that halves during a round", 30, func(sim *tuningRun) {
			sim.after(35*second+second/2, func() { sim.queues[0].slots = sim.queues[0].slots[:1] })
		}, 1.05, func(f [12]float64, s0 float64) bool { return f[0] < 1 && s0 < 0.6 }},
		{"fast because it fails", 30, func(sim *tuningRun) { sim.queues[0].failureFraction = 0.3 }, 0,
			func(f [12]float64, s0 float64) bool { return f[0] <= 1.02 }},
		{"fast because it gets no calls", 30, func(sim *tuningRun) {
			sim.queues[0].mean *= 6
			sim.after(20*second, func() { sim.queues[0].mean /= 6 })
		}, 0, func(f [12]float64, s0 float64) bool { return s0 > 0.7 && s0 < 1.3 }},
		{"two servers share a slow resource", 30, func(sim *tuningRun) {
			resource := &serverQueue{slots: make([]int64, 2), mean: 35_000}
			sim.queues[0].shared, sim.queues[1].shared = resource, resource
		}, 0, func(f [12]float64, s0 float64) bool { return f[0] < 1 && f[1] < 1 }},
		{"replicas with unequal latencies", 30, func(sim *tuningRun) { sim.extraLatency = 50_000 }, 0,
			equalWithin(1.1)},
		{"a third of the reports is lost", 30, func(sim *tuningRun) {
			unequal(sim)
			sim.delivers = func(from, to *replica) bool { return sim.rnd.IntN(3) > 0 }
		}, 0, func(f [12]float64, _ float64) bool { return f[0] > f[2] }},
		{"no report arrives after 40 s", 30, func(sim *tuningRun) {
			unequal(sim)
			sim.after(40*second, func() { sim.delivers = func(from, to *replica) bool { return false } })
		}, 0, func(f [12]float64, _ float64) bool {
			return f == [12]float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
		}},
		{"a third of the replicas reports invalid values", 30, func(sim *tuningRun) {
			sim.alterReports = func(c *replica, reports []Report) []Report {
				for i := range reports {
					if n := &reports[i]; n.Kind == ReportServerLoad && c.index%3 == 0 {
						n.Calls, n.Value = []float64{1e300, math.NaN(), 50}[i%3], []float64{1, 1e300, math.Inf(1)}[i%3]
					}
				}
				return reports
			}
		}, 1.15, func(f [12]float64, _ float64) bool { return slices.Min(f[:]) > 0.3 && slices.Max(f[:]) < 3 }},
	} {
		p99, failed := map[bool]float64{}, map[bool]int{}
		var sim *tuningRun
		for _, tuned := range []bool{false, true} {
			if !tuned && c.most == 0 {
				continue
			}
			if sim = newTuning(t, tuned, c.rate); c.setUp != nil {
				c.setUp(sim)
			}
			sim.run(tuningEnd)
			p99[tuned], failed[tuned] = sim.p99(), sim.failures()
		}
		f, s0 := sim.factors()
		result := fmt.Sprintf("%s: p99 %.0f ms with tuning, %.0f ms without; %d and %d requests rejected or "+
			"failed; factors %.2f; s0 gets %.2f times the mean calls of a server", c.name,
			p99[true], p99[false], failed[true], failed[false], f, s0)
		worse := p99[true] > c.most*p99[false] || float64(failed[true]) > 1.3*float64(failed[false])+30
		if t.Log(result); c.most > 0 && worse || !c.expect(f, s0) {
			t.Error("unexpected result: ", result)
		}
	}
}

// A step of one round is bounded, and reverted if the tail of this replica's latencies got worse. The factor
// of a server that is warming up, damped, unhealthy or rarely called moves back to 1, as do all factors
// without enough reports.
func TestTuningRound(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(b *Balancer, s *server)
		from  float64 // logarithm of the factor of s0
		want  func(before, after float64) bool
	}{
		{"a step", nil, 0.3, func(before, after float64) bool {
			return after < before && after >= before*(1-logFactorDecay)-maxTuningStep-1e-9
		}},
		{"the tail got worse", func(b *Balancer, s *server) {
			b.tuning.previousTail, s.tuning.previousLogFactor = 1, 0.2
			for range 1000 {
				b.tuning.tail.Add(1.5, 1)
				b.tuning.tailCalls++
			}
		}, 0.3, func(_, after float64) bool { return after == 0.2 }},
		{"the tail got worse by random variation", func(b *Balancer, s *server) {
			b.tuning.previousTail, s.tuning.previousLogFactor = 1, 0.2
			b.tuning.tail.Add(2, 1)
			b.tuning.tailCalls++
		}, 0.3, func(before, after float64) bool { return after != 0.2 && after < before }},
		{"isolated", func(b *Balancer, s *server) { b.reports.peers.Isolated = true }, 0.3,
			func(before, after float64) bool { return math.Abs(after-(before-maxTuningStep)) < 1e-9 }},
		{"reports of a single replica", func(b *Balancer, s *server) {
			for i := range b.reports.peers.Reports {
				b.reports.peers.Reports[i].Observer = "a"
			}
		}, 0.3, func(before, after float64) bool { return math.Abs(after-(before-maxTuningStep)) < 1e-9 }},
		{"disabled", func(b *Balancer, s *server) { b.settings.DisableWeightTuning = true }, 0.05,
			func(_, after float64) bool { return after == 0 }},
		{"warming up", func(b *Balancer, s *server) {
			s.StartTime = start - second
			for i := range b.reports.peers.Reports {
				b.reports.peers.Reports[i].StartTime = s.StartTime
			}
		}, 0.05,
			func(_, after float64) bool { return after == 0 }},
		{"damped", func(b *Balancer, s *server) { s.damping.active = true }, 0.05,
			func(_, after float64) bool { return after == 0 }},
		{"unhealthy", func(b *Balancer, s *server) { s.outlier.overall.score = 0.1 }, 0.05,
			func(_, after float64) bool { return after == 0 }},
		{"fast because it fails", func(b *Balancer, s *server) {
			for i := range b.reports.peers.Reports {
				if n := &b.reports.peers.Reports[i]; n.Server == "s0" {
					n.Value, n.BadFraction = 20_000, 0.4
				}
			}
		}, 0, func(_, after float64) bool { return after <= 0 }},
	} {
		b, h := newWithServers(t, testSettings(), 12)
		b.HandlePeerReports(start, h, PeerReports{LiveReplicas: 3, LiveReplicasInZone: 3})
		for _, s := range b.members.ready {
			for _, observer := range []string{"a", "b"} {
				report := Report{Kind: ReportServerLoad, Observer: observer, Server: s.ID, Calls: 200,
					Value: 40_000, LastObserved: start}
				if s.ID == "s0" {
					report.Value = 100_000
				}
				b.reports.peers.Reports = append(b.reports.peers.Reports, report)
			}
		}
		s := b.members.byID["s0"]
		b.tuning.step, s.tuning.logFactor = maxTuningStep, c.from
		if c.setUp != nil {
			c.setUp(b, s)
		}
		b.tuning.adjust(moment(start + 5*second))
		if !c.want(c.from, s.tuning.logFactor) {
			t.Errorf("%s: the logarithm of the factor of s0 went from %g to %g",
				c.name, c.from, s.tuning.logFactor)
		}
	}
}
