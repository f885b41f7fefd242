package tailweights

import "math"

// Observation is what was lately seen of one server. All numbers must be above 0.
type Observation struct {
	CallsPerSecond float64
	MeanLatency    float64   // in any unit that is the same for all
	Weight         float64   // of the two, such as the number of calls that they rest on
	Curve          *CurveFit // of this server over the rounds; Adjust updates it
}

// CurveLearning is how curves are learned from observations.
type CurveLearning struct {
	AssumedUtilization float64 // 0 to 1: part of their capacity that servers use on the whole, until curves are known
	InformativeSpread  float64 // of the mean load: loads that differ by it say as much of a curve as that assumption
	Retention          float64 // 0 to 1: what each round leaves of the weight of earlier observations
	MaxMisfit          float64 // factor: a latency that is further off its curve begins a new one
	MaxSlopeFactor     float64 // factor of the assumed slope within which a curve's slope is kept
	MinLoadFraction    float64 // of an equal load, that each server gets at least; of its present load, for the change
}

// Adjust returns, for each server, the natural logarithm of the ratio of the load at which the tail is least to its
// load: above 0 it should get more. It updates the servers' curves.
func (s *Solver) Adjust(learning CurveLearning, observations []Observation) []float64 {
	concurrency, demand := totals(learning, observations)
	n := float64(len(observations))
	servers := make([]Server, len(observations))
	for i, seen := range observations {
		base, capacity := seen.updateCurve(learning, concurrency)
		servers[i] = Server{UnloadedLatency: base, Capacity: capacity, MinLoad: learning.MinLoadFraction * demand / n}
	}
	loads, _ := s.Solve(nil, servers, demand)
	changes := make([]float64, len(loads))
	for i, seen := range observations {
		changes[i] = math.Log(max(loads[i]/seen.CallsPerSecond, learning.MinLoadFraction))
	}
	return changes
}

// totals returns the sum of the loads, and the number of calls that a server is assumed to work on at once, which is
// taken to be the same for all.
func totals(learning CurveLearning, observations []Observation) (concurrency, demand float64) {
	n, use := float64(len(observations)), learning.AssumedUtilization
	for _, seen := range observations {
		concurrency += seen.CallsPerSecond * seen.MeanLatency / n * (1 - use) / use
		demand += seen.CallsPerSecond
	}
	return concurrency, demand
}

// updateCurve adds an observation to its server's curve and returns the curve. One that is far off it is of another server
// by the same name, or of one that has changed: the curve begins anew.
func (o *Observation) updateCurve(learning CurveLearning, concurrency float64) (base, capacity float64) {
	estimate := func() (base, capacity float64, ok bool) {
		return o.Curve.Estimate(concurrency, learning.InformativeSpread, learning.MaxSlopeFactor)
	}
	base, capacity, ok := estimate()
	misfit := o.MeanLatency / LatencyAt(base, capacity, o.CallsPerSecond)
	if !ok || misfit > learning.MaxMisfit || misfit < 1/learning.MaxMisfit {
		*o.Curve = CurveFit{}
	}
	o.Curve.Decay(learning.Retention)
	o.Curve.Add(o.CallsPerSecond, o.MeanLatency, o.Weight)
	base, capacity, _ = estimate()
	return base, capacity
}
