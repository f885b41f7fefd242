package balancer

import (
	"math"

	"merlinpick/internal/tailweights"
)

// Weight tuning: makes small corrections to the servers' weights that keep the tail latency of all calls low.
//
// Input: the load reports of all replicas, and the latencies of this replica. Output: a factor of each
// server's weight. In each round the factors move one step towards the loads that package tailweights
// computes as optimal. A server that is warming up, unhealthy, damped or rarely called is not tuned, and each
// zone keeps its share of the load.

const (
	// tuningInterval is the minimum duration of a round. A random part of up to half of it is added, so that
	// replicas do not change their weights at the same time.
	tuningInterval = 3 * seconds

	minTunedCalls = 8.0 // recent calls of all replicas that a server needs to be tuned

	// loadChanceDeviations is a number of standard deviations of a server's recent calls. Changes of a load
	// of up to this size are ignored as random variation, and larger ones are reduced by as much.
	loadChanceDeviations = 1.0

	// worseTailDeviations is the number of standard deviations, by the number of this replica's calls, by
	// which the tail latency must get worse for the last step to be reverted.
	worseTailDeviations = 4.0

	// failureExponent: the latency of a server that fails is divided by the answered fraction of its calls to
	// this power.
	failureExponent = 2.0

	maxLogFactor   = 1.0  // bound of the absolute natural logarithm of a factor
	logFactorDecay = 0.03 // fraction of the logarithm that is removed in each round
	maxTuningStep  = 0.1  // largest change of the logarithm in a round

	tuningStepGrowth = 1.25 // factor of the step in each round

	// tuningStepCut is the divisor of the step after a worse tail. maxTuningStep divided by it is the
	// smallest step.
	tuningStepCut = 4.0

	tuningGain = 0.5 // fraction of the distance to the optimal loads that a round covers
)

// curveLearning configures how the curves of latency against load are fitted.
var curveLearning = tailweights.CurveLearning{AssumedUtilization: 0.5, InformativeSpread: 0.3, Retention: 0.9,
	MaxMisfit: 1.6, MaxSlopeFactor: 8, MinLoadFraction: 0.2}

// tuningState is the weight tuning state of a server.
type tuningState struct {
	curve             tailweights.CurveFit // latency against load
	logFactor         float64              // natural logarithm of the factor
	previousLogFactor float64              // logFactor before the latest round
	factor            float64              // of the server's weight, as of the latest round
}

// newTuningState returns the state of a server whose weight is not corrected.
func newTuningState() tuningState { return tuningState{factor: 1} }

// weightTuning holds the current round and the tail latency of the one before.
type weightTuning struct {
	*shared
	members   *membership
	loads     *loadTracker
	slowStart *slowStart
	reports   *reportExchange
	locality  *locality

	nextAt       moment               // when the next round is due
	step         float64              // largest change of a logarithm in the next round
	tail         tailweights.TailNorm // this round's latencies, as multiples of their class's unloaded ones
	tailCalls    float64              // number of latencies in tail
	previousTail float64              // tail.Root() of the previous round; 0: none
	solver       tailweights.Solver
}

// recordLatency records the latency of an answer as a multiple of its class's unloaded latency.
func (t *weightTuning) recordLatency(relative, priorityWeight float64) {
	t.tail.Add(relative, priorityWeight)
	t.tailCalls++
}

// adjust runs one round, if it is due.
func (t *weightTuning) adjust(now moment) {
	if now < t.nextAt {
		return
	}
	t.nextAt = now.add(tuningInterval + t.randomSpan(tuningInterval/2))
	worse := t.tailIsWorse()
	t.step = min(max(tuningStepGrowth*t.step, maxTuningStep/tuningStepCut), maxTuningStep)
	informed := t.loads.sumReports(now) > 1 && !t.reports.peers.Isolated && !t.settings.DisableWeightTuning
	if informed && worse {
		t.revertStep()
	} else {
		t.takeStep(now, informed)
	}
	for _, server := range t.members.ready {
		server.tuning.factor = math.Exp(server.tuning.logFactor)
	}
}

// tailIsWorse ends the measurement of this round's tail and reports whether it is worse than the previous one
// by more than random variation.
func (t *weightTuning) tailIsWorse() bool {
	before, now := t.previousTail, t.tail.Root()
	worse := before > 0 && now > before*(1+worseTailDeviations/math.Sqrt(t.tailCalls))
	t.previousTail, t.tail, t.tailCalls = now, tailweights.TailNorm{}, 0
	return worse
}

// revertStep reverts the latest step and makes the next ones smaller.
func (t *weightTuning) revertStep() {
	t.step /= tuningStepCut
	for _, server := range t.members.ready {
		server.tuning.logFactor = server.tuning.previousLogFactor
	}
}

// takeStep takes one step, zone by zone. The factor of a server that cannot be tuned, or of all servers if
// informed is false, moves back to 1. The only tunable server of a zone keeps its factor.
func (t *weightTuning) takeStep(now moment, informed bool) {
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
	for zone := range t.locality.zones { // in order of zone numbers, unlike a range over groups
		if len(groups[zone]) > 1 {
			t.adjustZone(groups[zone])
		}
	}
}

// canTune reports whether a server is warm, healthy and called often enough to be tuned.
func (t *weightTuning) canTune(now moment, server *server) bool {
	healthy := !server.damping.active && server.outlier.overallScore() >= healthyScore
	load := &server.load.fleet
	return healthy && t.slowStart.factor(now, server) == 1 &&
		load.calls >= minTunedCalls && load.meanLatency > 0
}

// adjustZone moves the factors of one zone's servers towards the loads with the lowest tail latency. A
// server that fails counts as slower than its answers are.
func (t *weightTuning) adjustZone(group []*server) {
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

// clamp returns x, limited to the range from -bound to bound.
func clamp(x, bound float64) float64 { return min(max(x, -bound), bound) }
