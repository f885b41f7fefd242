package balancer

import (
	"cmp"
	"math"
	"slices"
)

// The data that weights are tuned by. What here decides, or why it does not: docs/policy.md.

const (
	loadDecay          = 4 * second // loads fade over this
	loadReportInterval = second     // and are told anew so often
	loadReportTTL      = 5 * second // older ones count for nothing
)

// load sums up a server's calls of late: all, those that failed, and the worth and times of those answered.
type loadStats struct {
	calls, failed, weight, weightedLatency float64
	lastAt                                 int64
}

func (l *loadStats) fade(now int64) {
	keep := math.Exp(-float64(now-l.lastAt) / float64(loadDecay))
	l.calls, l.failed, l.weight, l.weightedLatency, l.lastAt = keep*l.calls, keep*l.failed, keep*l.weight, keep*l.weightedLatency, now
}

// loadSum is what all copies tell of a server: calls a second, the calls that it rests on, the part of them
// that failed, and the mean time of the others, in microseconds.
type fleetLoad struct{ callsPerSecond, calls, failedFraction, meanLatency float64 }

// measure takes the end of an attempt. Times are those of a call of a middling class: otherwise a server
// would be fast for the classes that it happened to get.
func (b *Balancer) measure(now int64, s *server, class int, o Outcome) {
	c, worth := &b.classes[class], b.s.Classes[class].PriorityWeight
	s.load.fade(now)
	if s.load.calls++; o.Status != StatusOK {
		s.load.failed++
		return
	}
	b.middle += (c.base - b.middle) * runningGain(b.measured, minUnloadedGain)
	b.measured++
	took := float64(o.Latency) / max(c.base, 1)
	s.load.weight += worth
	s.load.weightedLatency += worth * took * b.middle
	b.tail.Add(took, worth)
	b.tailCalls++
}

// tellLoads is what this copy tells of loads; it stands for a while, since what changes has to be sent.
func (b *Balancer) tellLoads(now int64) []Report {
	if b.s.DisableWeightTuning || now-b.loadAt < loadReportInterval && b.loadAt != 0 {
		return b.loads
	}
	b.loadAt, b.loads = now, nil
	for _, s := range b.all {
		if s.load.lastAt == 0 || now-s.load.lastAt > loadReportTTL {
			continue
		}
		s.load.fade(now)
		n := Report{Kind: ReportServerLoad, ObserverZone: b.s.Zone, Server: s.ID, StartTime: s.StartTime, Calls: s.load.calls,
			BadFraction: s.load.failed / s.load.calls, LastObserved: now}
		if s.load.weight > 0 {
			n.Value = s.load.weightedLatency / s.load.weight
		}
		b.loads = append(b.loads, n)
	}
	return b.loads
}

// sumLoads adds up what all copies tell, and returns how many copies that is. What is no number or out of all
// proportion is bounded.
func (b *Balancer) sumLoads(now int64) (copies int) {
	var told []Report
	var times, calls []float64
	of := map[string]float64{}
	for n := range b.notices {
		if n.Kind == ReportServerLoad && n.LastObserved <= now && n.LastObserved >= now-loadReportTTL && n.Calls > 0 &&
			n.BadFraction >= 0 && n.BadFraction <= 1 && n.Value >= 0 {
			told = append(told, n)
			of[n.Observer] += min(n.Calls, 1e9)
			if n.Value > 0 {
				times = append(times, n.Value)
			}
		}
	}
	for _, s := range b.all {
		s.sum = fleetLoad{}
	}
	if len(times) == 0 {
		return 0
	}
	for _, n := range of {
		calls = append(calls, n)
	}
	slices.Sort(times)
	slices.Sort(calls)
	time, most := times[len(times)/2], maxReplicaCallsRatio*calls[len(calls)/2]
	for _, n := range told {
		s := b.byID[n.Server]
		if s == nil || !sameProcess(s, n) {
			continue
		}
		part := min(1, most/of[n.Observer])
		got := part * min(n.Calls, 1e9)
		s.sum.calls += got
		s.sum.failedFraction += got * n.BadFraction
		if n.Value > 0 {
			s.sum.callsPerSecond += got * (1 - n.BadFraction) // for now: the weight of time
			s.sum.meanLatency += got * (1 - n.BadFraction) * min(max(n.Value, time/maxLatencyDeviation), time*maxLatencyDeviation)
		}
	}
	all := float64(max(b.peers.LiveReplicas, len(of))) / float64(len(of)) // those that are not heard call, too
	for _, s := range b.all {
		s.sum.meanLatency /= cmp.Or(s.sum.callsPerSecond, 1)
		s.sum.failedFraction /= cmp.Or(s.sum.calls, 1)
		s.sum.callsPerSecond = all * s.sum.calls * float64(second) / float64(loadDecay)
	}
	return len(of)
}
