package balancer

import (
	"math"

	"merlinpick/internal/tailweights"
)

// Weights tuned for the tail: by what all copies tell, each round moves them a step towards the loads of the
// least tail. One that is cold, bad, damped or hardly called is not tuned, and zones keep what they have.
const (
	tuningInterval       = 3 * second // a round lasts this long, and up to half of it more: copies do not step together
	loadChanceDeviations = 1.0        // standard deviations of the calls seen by which a load may miss by chance
	minTunedCalls        = 8.0        // lately seen calls of all copies from which a server is tuned
	worseTailDeviations  = 4.0        // over the root of this copy's calls: a tail worse by more takes the step back
	failureExponent      = 2.0        // the power of the answered part by which the time of one that fails counts more

	maxLogFactor, logFactorDecay = 1.0, 0.03 // bound of a weight's logarithm; the part that a round takes back

	maxTuningStep, tuningGain = 0.1, 0.5 // a round moves the logarithm by this at most, and this part of the way

	maxReplicaCallsRatio, maxLatencyDeviation = 2.0, 4.0 // a copy counts as so many median ones at most, its times within this factor
)

var curveLearning = tailweights.CurveLearning{AssumedUtilization: 0.5, InformativeSpread: 0.3, Retention: 0.9, MaxMisfit: 1.6, MaxSlopeFactor: 8, MinLoadFraction: 0.2}

// tune is one round, when it is due.
func (b *Balancer) tune(now int64) {
	if now < b.tuneAt {
		return
	}
	defer b.factors()
	b.tuneAt = now + tuningInterval + b.rnd.Int64N(tuningInterval/2)
	was, is := b.tailWas, b.tail.Root()
	worse := was > 0 && is > was*(1+worseTailDeviations/math.Sqrt(b.tailCalls))
	b.tailWas, b.tail, b.tailCalls = is, tailweights.TailNorm{}, 0
	b.step = min(max(1.25*b.step, maxTuningStep/4), maxTuningStep)
	fresh := b.sumLoads(now) > 1 && !b.peers.Isolated && !b.s.DisableWeightTuning
	if fresh && worse {
		b.step /= 4
		for _, s := range b.ready {
			s.tune = s.tuneWas
		}
		return
	}
	groups := map[int][]*server{}
	for _, s := range b.ready {
		s.tuneWas = s.tune
		healthy := !s.damped && s.whole.score*s.told >= healthyScore && b.warmth(now, s) == 1
		if fresh && healthy && s.sum.calls >= minTunedCalls && s.sum.meanLatency > 0 {
			groups[s.Zone] = append(groups[s.Zone], s)
		} else {
			s.tune -= clamp(s.tune, b.step)
		}
	}
	for z := range b.zones { // in order
		if len(groups[z]) > 1 {
			b.tuneGroup(groups[z])
		}
	}
}

func clamp(x, most float64) float64 { return min(max(x, -most), most) }

// tuneGroup steps weights towards the loads of the least tail. One that fails counts as slower than it seems.
func (b *Balancer) tuneGroup(group []*server) {
	seen, mean := make([]tailweights.Observation, len(group)), 0.0
	for i, s := range group {
		time := s.sum.meanLatency / math.Pow(max(1-s.sum.failedFraction, minHealthScore), failureExponent)
		seen[i] = tailweights.Observation{CallsPerSecond: s.sum.callsPerSecond, MeanLatency: time, Weight: s.sum.calls, Curve: &s.fit}
	}
	ways := b.solver.Adjust(curveLearning, seen)
	for i, s := range group {
		ways[i] -= clamp(ways[i], loadChanceDeviations/math.Sqrt(s.sum.calls))
		mean += ways[i] / float64(len(group))
	}
	for i, s := range group {
		s.tune = clamp(s.tune*(1-logFactorDecay)+clamp(tuningGain*(ways[i]-mean), b.step), maxLogFactor)
	}
}

// factors works the factors of the draw out, once a round.
func (b *Balancer) factors() {
	for _, s := range b.ready {
		s.tuned = math.Exp(s.tune)
	}
}
