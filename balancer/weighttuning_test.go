package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// serverQueue is a server that works on so many calls at once, each for a time spread about a mean; others wait.
type serverQueue struct {
	slots  []int64      // when each is free
	mean   float64      // microseconds
	fails  float64      // part of calls, at once
	shared *serverQueue // calls also pass this, which others share
}

// finish is when a call that comes now is done.
func (q *serverQueue) finish(w *fleetSimulation, now int64) int64 {
	i := slices.Index(q.slots, slices.Min(q.slots))
	q.slots[i] = max(q.slots[i], now) + int64(q.mean*(0.3+0.7*w.rnd.ExpFloat64()))
	if q.shared != nil {
		return q.shared.finish(w, q.slots[i])
	}
	return q.slots[i]
}

// tuningRun runs ten replicas and twelve servers of one zone, tuned or not.
type tuningRun struct {
	*fleetSimulation
	queues       []*serverQueue
	extraLatency int64 // every other replica has this much further to go
	latencies    []int64
}

const tuningEnd, tuningFrom = 80 * second, 40 * second

func newTuning(t *testing.T, on bool, rate float64) *tuningRun {
	p := &tuningRun{fleetSimulation: newFleetSimulation(t, 1, 10, 12, rate, true)}
	for range 12 {
		p.queues = append(p.queues, &serverQueue{slots: make([]int64, 2), mean: 55_000})
	}
	for _, c := range p.replicas {
		c.b.settings.DisableWeightTuning = !on
	}
	p.outcome = func(c *replica, s Server) (Status, int64) {
		var i int
		fmt.Sscanf(s.ID, "s%d", &i)
		q := p.queues[i]
		if p.rnd.Float64() < q.fails {
			return StatusError, 2_000
		}
		took := q.finish(p.fleetSimulation, p.now) - p.now + p.extraLatency*int64(c.index%2)
		if p.now > start+tuningFrom {
			p.latencies = append(p.latencies, took)
		}
		return StatusOK, took
	}
	return p
}

func (p *tuningRun) p99() float64 {
	slices.Sort(p.latencies)
	return float64(p.latencies[len(p.latencies)*99/100]) / 1000
}

// factors are those of each server at the first replica, and the part of calls that s0 gets of an equal one.
func (p *tuningRun) factors() (f [12]float64, s0 float64) {
	for i := range f {
		f[i] = math.Exp(p.replicas[0].b.members.byID[fmt.Sprint("s", i)].tuning.logFactor)
	}
	n, of := 0.0, 0.0
	for _, c := range p.replicas {
		for _, s := range c.sends {
			if s.at > start+tuningEnd-20*second {
				of++
				n += indicator(s.server == "s0")
			}
		}
	}
	return f, 12 * n / of
}

func TestWeightTuning(t *testing.T) {
	alike := func(by float64) func(f [12]float64, s0 float64) bool {
		return func(f [12]float64, _ float64) bool { return slices.Min(f[:]) > 1/by && slices.Max(f[:]) < by }
	}
	unequal := func(p *tuningRun) {
		for i, q := range p.queues {
			q.mean *= []float64{0.8, 0.8, 1.6}[i%3]
		}
	}
	for _, c := range []struct {
		name   string
		rate   float64 // requests a second of each replica
		set    func(p *tuningRun)
		most   float64 // p99 tuned, of p99 not tuned; 0: not looked at
		expect func(f [12]float64, s0 float64) bool
	}{
		{"all alike", 30, nil, 1.08, alike(1.1)},
		{"all alike, few calls", 3, nil, 1.08, alike(1.1)},
		{"unequal", 30, unequal, 0.98, func(f [12]float64, _ float64) bool {
			return min(f[0], f[1], f[3], f[4]) > max(f[2], f[5], f[8], f[11])
		}},
		{"a capacity that halves in mid-round", 30, func(p *tuningRun) {
			p.after(35*second+second/2, func() { p.queues[0].slots = p.queues[0].slots[:1] })
		}, 1.05, func(f [12]float64, s0 float64) bool { return f[0] < 1 && s0 < 0.6 }},
		{"fast because it fails", 30, func(p *tuningRun) { p.queues[0].fails = 0.3 }, 0,
			func(f [12]float64, s0 float64) bool { return f[0] <= 1.02 }},
		{"fast because nobody sends there", 30, func(p *tuningRun) {
			p.queues[0].mean *= 6
			p.after(20*second, func() { p.queues[0].mean /= 6 })
		}, 0, func(f [12]float64, s0 float64) bool { return s0 > 0.7 && s0 < 1.3 }},
		{"two on one slow part", 30, func(p *tuningRun) {
			part := &serverQueue{slots: make([]int64, 2), mean: 35_000}
			p.queues[0].shared, p.queues[1].shared = part, part
		}, 0, func(f [12]float64, s0 float64) bool { return f[0] < 1 && f[1] < 1 }},
		{"unequal replicas", 30, func(p *tuningRun) { p.extraLatency = 50_000 }, 0, alike(1.1)},
		{"a third of the reports is lost", 30, func(p *tuningRun) {
			unequal(p)
			p.delivers = func(from, to *replica) bool { return p.rnd.IntN(3) > 0 }
		}, 0, func(f [12]float64, _ float64) bool { return f[0] > f[2] }},
		{"no report arrives any more", 30, func(p *tuningRun) {
			unequal(p)
			p.after(40*second, func() { p.delivers = func(from, to *replica) bool { return false } })
		}, 0, func(f [12]float64, _ float64) bool { return f == [12]float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1} }},
		{"a third reports nonsense", 30, func(p *tuningRun) {
			p.alterReports = func(c *replica, reports []Report) []Report {
				for i := range reports {
					if n := &reports[i]; n.Kind == ReportServerLoad && c.index%3 == 0 {
						n.Calls, n.Value = []float64{1e300, math.NaN(), 50}[i%3], []float64{1, 1e300, math.Inf(1)}[i%3]
					}
				}
				return reports
			}
		}, 1.15, func(f [12]float64, _ float64) bool { return slices.Min(f[:]) > 0.3 && slices.Max(f[:]) < 3 }},
	} {
		p99, refused := map[bool]float64{}, map[bool]int{}
		var p *tuningRun
		for _, on := range []bool{false, true} {
			if !on && c.most == 0 {
				continue
			}
			if p = newTuning(t, on, c.rate); c.set != nil {
				c.set(p)
			}
			p.run(tuningEnd)
			p99[on], refused[on] = p.p99(), p.failures()
		}
		f, s0 := p.factors()
		say := fmt.Sprintf("%s: p99 %.0f ms tuned, %.0f not; %d and %d refused; factors %.2f, s0 gets %.2f of its part", c.name,
			p99[true], p99[false], refused[true], refused[false], f, s0)
		worse := p99[true] > c.most*p99[false] || float64(refused[true]) > 1.3*float64(refused[false])+30
		if t.Log(say); c.most > 0 && worse || !c.expect(f, s0) {
			t.Error("not so: ", say)
		}
	}
}

// One round: a step is bounded, and taken back if the tail of this replica's latencies got worse. A server that is warming
// up, damped, unhealthy or hardly called goes back to its own weight, as all do where nothing is reported.
func TestTuningRound(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(b *Balancer, s *server)
		from float64 // logarithm of its factor
		want func(was, is float64) bool
	}{
		{"a step", nil, 0.3, func(was, is float64) bool { return is < was && is >= was*(1-logFactorDecay)-maxTuningStep-1e-9 }},
		{"worse", func(b *Balancer, s *server) {
			b.tuning.previousTail, s.tuning.previousLogFactor = 1, 0.2
			for range 1000 {
				b.tuning.tail.Add(1.5, 1)
				b.tuning.tailCalls++
			}
		}, 0.3, func(_, is float64) bool { return is == 0.2 }},
		{"worse by chance", func(b *Balancer, s *server) {
			b.tuning.previousTail, s.tuning.previousLogFactor = 1, 0.2
			b.tuning.tail.Add(2, 1)
			b.tuning.tailCalls++
		}, 0.3, func(was, is float64) bool { return is != 0.2 && is < was }},
		{"nobody heard", func(b *Balancer, s *server) { b.reports.peers.Isolated = true }, 0.3,
			func(was, is float64) bool { return math.Abs(is-(was-maxTuningStep)) < 1e-9 }},
		{"one heard", func(b *Balancer, s *server) {
			for i := range b.reports.peers.Reports {
				b.reports.peers.Reports[i].Observer = "a"
			}
		}, 0.3, func(was, is float64) bool { return math.Abs(is-(was-maxTuningStep)) < 1e-9 }},
		{"switched off", func(b *Balancer, s *server) { b.settings.DisableWeightTuning = true }, 0.05, func(_, is float64) bool { return is == 0 }},
		{"cold", func(b *Balancer, s *server) {
			s.StartTime = start - second
			for i := range b.reports.peers.Reports {
				b.reports.peers.Reports[i].StartTime = s.StartTime
			}
		}, 0.05, func(_, is float64) bool { return is == 0 }},
		{"damped", func(b *Balancer, s *server) { s.damping.active = true }, 0.05, func(_, is float64) bool { return is == 0 }},
		{"bad", func(b *Balancer, s *server) { s.outlier.overall.score = 0.1 }, 0.05, func(_, is float64) bool { return is == 0 }},
		{"failing, and fast by it", func(b *Balancer, s *server) {
			for i := range b.reports.peers.Reports {
				if n := &b.reports.peers.Reports[i]; n.Server == "s0" {
					n.Value, n.BadFraction = 20_000, 0.4
				}
			}
		}, 0, func(_, is float64) bool { return is <= 0 }},
	} {
		b, h := newWithServers(t, testSettings(), 12)
		b.HandlePeerReports(start, h, PeerReports{LiveReplicas: 3, LiveReplicasInZone: 3})
		for _, s := range b.members.ready {
			for _, who := range []string{"a", "b"} {
				n := Report{Kind: ReportServerLoad, Observer: who, Server: s.ID, Calls: 200, Value: 40_000, LastObserved: start}
				if s.ID == "s0" {
					n.Value = 100_000
				}
				b.reports.peers.Reports = append(b.reports.peers.Reports, n)
			}
		}
		s := b.members.byID["s0"]
		b.tuning.step, s.tuning.logFactor = maxTuningStep, c.from
		if c.set != nil {
			c.set(b, s)
		}
		b.tuning.adjust(moment(start + 5*second))
		if !c.want(c.from, s.tuning.logFactor) {
			t.Errorf("%s: from %g to %g", c.name, c.from, s.tuning.logFactor)
		}
	}
}
