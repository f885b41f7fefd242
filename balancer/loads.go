package balancer

import (
	"cmp"
	"math"
	"slices"
)

// The data that weights are tuned by. What here decides, or why it does not: docs/policy.md.

const (
	loadSpan  = 4 * second // loads fade over this
	loadEvery = second     // and are told anew so often
	loadFresh = 5 * second // older ones count for nothing
)

// load sums up a server's calls of late: all, those that failed, and the worth and times of those answered.
type load struct {
	calls, bad, worth, time float64
	last                    int64
}

func (l *load) fade(now int64) {
	keep := math.Exp(-float64(now-l.last) / float64(loadSpan))
	l.calls, l.bad, l.worth, l.time, l.last = keep*l.calls, keep*l.bad, keep*l.worth, keep*l.time, now
}

// loadSum is what all copies tell of a server: calls a second, the calls that it rests on, the part of them
// that failed, and the mean time of the others, in microseconds.
type loadSum struct{ rate, calls, bad, time float64 }

// measure takes the end of an attempt. Times are those of a call of a middling class: otherwise a server
// would be fast for the classes that it happened to get.
func (b *Balancer) measure(now int64, s *server, class int, o Outcome) {
	c, worth := &b.classes[class], b.s.Classes[class].PriorityWeight
	s.load.fade(now)
	if s.load.calls++; o.Status != StatusOK {
		s.load.bad++
		return
	}
	b.middle += (c.base - b.middle) * gainAfter(b.measured, baseGain)
	b.measured++
	took := float64(o.Latency) / max(c.base, 1)
	s.load.worth += worth
	s.load.time += worth * took * b.middle
	b.tail.Add(took, worth)
	b.tailCalls++
}

// tellLoads is what this copy tells of loads; it stands for a while, since what changes has to be sent.
func (b *Balancer) tellLoads(now int64) []Report {
	if b.s.DisableWeightTuning || now-b.loadAt < loadEvery && b.loadAt != 0 {
		return b.loads
	}
	b.loadAt, b.loads = now, nil
	for _, s := range b.all {
		if s.load.last == 0 || now-s.load.last > loadFresh {
			continue
		}
		s.load.fade(now)
		n := Report{Kind: ReportServerLoad, ObserverZone: b.s.Zone, Server: s.ID, StartTime: s.StartTime, Calls: s.load.calls,
			BadFraction: s.load.bad / s.load.calls, LastObserved: now}
		if s.load.worth > 0 {
			n.Value = s.load.time / s.load.worth
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
		if n.Kind == ReportServerLoad && n.LastObserved <= now && n.LastObserved >= now-loadFresh && n.Calls > 0 &&
			n.BadFraction >= 0 && n.BadFraction <= 1 && n.Value >= 0 {
			told = append(told, n)
			of[n.Observer] += min(n.Calls, 1e9)
			if n.Value > 0 {
				times = append(times, n.Value)
			}
		}
	}
	for _, s := range b.all {
		s.sum = loadSum{}
	}
	if len(times) == 0 {
		return 0
	}
	for _, n := range of {
		calls = append(calls, n)
	}
	slices.Sort(times)
	slices.Sort(calls)
	time, most := times[len(times)/2], loadMost*calls[len(calls)/2]
	for _, n := range told {
		s := b.byID[n.Server]
		if s == nil || !sameStart(s, n) {
			continue
		}
		part := min(1, most/of[n.Observer])
		got := part * min(n.Calls, 1e9)
		s.sum.calls += got
		s.sum.bad += got * n.BadFraction
		if n.Value > 0 {
			s.sum.rate += got * (1 - n.BadFraction) // for now: the weight of time
			s.sum.time += got * (1 - n.BadFraction) * min(max(n.Value, time/loadOdd), time*loadOdd)
		}
	}
	all := float64(max(b.peers.LiveReplicas, len(of))) / float64(len(of)) // those that are not heard call, too
	for _, s := range b.all {
		s.sum.time /= cmp.Or(s.sum.rate, 1)
		s.sum.bad /= cmp.Or(s.sum.calls, 1)
		s.sum.rate = all * s.sum.calls * float64(second) / float64(loadSpan)
	}
	return len(of)
}

// factors works the factors of the draw out, once a round.
func (b *Balancer) factors() {
	for _, s := range b.ready {
		s.tuned = math.Exp(s.tune)
	}
}
