package balancer

import (
	"math"

	"merlinpick/internal/tailweights"
)

// Weight tuning: small corrections of the servers' weights that keep the tail of all calls' latencies low.
//
// Input: the load reports of all replicas, and this replica's latencies. Output: a factor of each server's
// weight. In each round the factors move a step towards the loads that package tailweights finds best. A
// server that is warming up, unhealthy, damped or hardly called isn't tuned, and each zone keeps its share.

const (
	// A round lasts this long, and up to half of it more, as replicas shouldn't step together.
	tuningInterval = 3 * seconds

	minTunedCalls        = 8.0 // lately seen calls of all replicas from which on a server is tuned
	loadChanceDeviations = 1.0 // standard deviations of these calls by which a load may be off by chance
	worseTailDeviations  = 4.0 // of this replica's calls: a worse tail takes the last step back
	failureExponent      = 2.0 // of the answered fraction: how much slower a server that fails counts

	maxLogFactor   = 1.0  // bound of a factor's logarithm
	logFactorDecay = 0.03 // of the logarithm that a round takes back
	maxTuningStep  = 0.1  // of the logarithm that a round moves

	tuningStepGrowth = 1.25 // factor of the step, each round
	tuningStepCut    = 4.0  // divisor of the step after a worse tail; of maxTuningStep: the least step

	tuningGain = 0.5 // of the way to the best loads that a round moves
)

var curveLearning = tailweights.CurveLearning{AssumedUtilization: 0.5, InformativeSpread: 0.3, Retention: 0.9,
	MaxMisfit: 1.6, MaxSlopeFactor: 8, MinLoadFraction: 0.2}

// tuningState is what weight tuning keeps of a server.
type tuningState struct {
	curve             tailweights.CurveFit // of its latency against its load
	logFactor         float64              // natural logarithm of the factor
	previousLogFactor float64              // before the last round
	factor            float64              // of its weight, as of the last round
}

func newTuningState() tuningState { return tuningState{factor: 1} }

// weightTuning holds the present round and the tail of the one before.
type weightTuning struct {
	*shared
	members   *membership
	loads     *loadTracker
	slowStart *slowStart
	reports   *reportExchange
	locality  *locality

	nextAt       moment               // when the next round is due
	step         float64              // of the logarithm that a round moves at most
	tail         tailweights.TailNorm // of this round's latencies, as multiples of their class's unloaded one
	tailCalls    float64
	previousTail float64
	solver       tailweights.Solver
}

// recordLatency takes the latency of an answer, as a multiple of its class's unloaded one.
func (t *weightTuning) recordLatency(relative, priorityWeight float64) {
	t.tail.Add(relative, priorityWeight)
	t.tailCalls++
}

// adjust is one round, if it is due.
func (t *weightTuning) adjust(now moment) {
	if now < t.nextAt {
		return
	}
	t.nextAt = now.add(tuningInterval + t.randomSpan(tuningInterval/2))
	worse := t.tailIsWorse()
	t.step = min(max(tuningStepGrowth*t.step, maxTuningStep/tuningStepCut), maxTuningStep)
	informed := t.loads.sumReports(now) > 1 && !t.reports.peers.Isolated && !t.settings.DisableWeightTuning
	if informed && worse {
		t.takeBack()
	} else {
		t.advance(now, informed)
	}
	for _, server := range t.members.ready {
		server.tuning.factor = math.Exp(server.tuning.logFactor)
	}
}

// tailIsWorse ends the round's tail and reports whether it is worse than the one before by more than chance.
func (t *weightTuning) tailIsWorse() bool {
	before, now := t.previousTail, t.tail.Root()
	worse := before > 0 && now > before*(1+worseTailDeviations/math.Sqrt(t.tailCalls))
	t.previousTail, t.tail, t.tailCalls = now, tailweights.TailNorm{}, 0
	return worse
}

// takeBack takes the last step back and makes the next ones smaller.
func (t *weightTuning) takeBack() {
	t.step /= tuningStepCut
	for _, server := range t.members.ready {
		server.tuning.logFactor = server.tuning.previousLogFactor
	}
}

// advance takes a step, by zone. A server that can't be tuned, or all where nothing is known, goes back to
// its own weight; the only tunable server of a zone keeps its factor.
func (t *weightTuning) advance(now moment, informed bool) {
	groups := map[int][]*server{}
	for _, server := range t.members.ready {
		state := &server.tuning
		state.previousLogFactor = state.logFactor
		if informed && t.canTune(now, server) {
			groups[server.Zone] = append(groups[server.Zone], server)
		} else {
			state.logFactor -= clamp(state.logFactor, t.step)
		}
	}
	for zone := range t.locality.zones { // in order
		if len(groups[zone]) > 1 {
			t.advanceGroup(groups[zone])
		}
	}
}

// canTune reports whether a server is warm, healthy and called enough.
func (t *weightTuning) canTune(now moment, server *server) bool {
	healthy := !server.damping.active && server.outlier.overallScore() >= healthyScore
	load := &server.load.fleet
	return healthy && t.slowStart.factor(now, server) == 1 &&
		load.calls >= minTunedCalls && load.meanLatency > 0
}

// advanceGroup moves the factors of one zone's servers towards the loads with the least tail. A server that
// fails counts as slower than its answers are.
func (t *weightTuning) advanceGroup(group []*server) {
	observations, mean := make([]tailweights.Observation, len(group)), 0.0
	for i, server := range group {
		load := &server.load.fleet
		latency := load.meanLatency / math.Pow(max(1-load.failedFraction, minHealthScore), failureExponent)
		observations[i] = tailweights.Observation{CallsPerSecond: load.callsPerSecond, MeanLatency: latency,
			Weight: load.calls, Curve: &server.tuning.curve}
	}
	changes := t.solver.Adjust(curveLearning, observations)
	for i, server := range group {
		changes[i] -= clamp(changes[i], loadChanceDeviations/math.Sqrt(server.load.fleet.calls))
		mean += changes[i] / float64(len(group))
	}
	for i, server := range group {
		step := clamp(tuningGain*(changes[i]-mean), t.step)
		server.tuning.logFactor = clamp(server.tuning.logFactor*(1-logFactorDecay)+step, maxLogFactor)
	}
}

// clamp keeps x between -most and most.
func clamp(x, most float64) float64 { return min(max(x, -most), most) }
