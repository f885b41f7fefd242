package tailweights

import "math"

// Observation holds recent measurements of one server. All numbers must be above 0.
type Observation struct {
	CallsPerSecond float64
	MeanLatency    float64   // in any unit that is the same for all servers
	Weight         float64   // such as the number of calls that the two measurements are based on
	Curve          *CurveFit // learned in previous rounds; Adjust updates it
}

// CurveLearning holds the parameters for learning curves from observations.
type CurveLearning struct {
	AssumedUtilization float64 // 0 to 1: fraction of all capacity in use, until the curves are known
	InformativeSpread  float64 // fraction of mean load: loads this far apart weigh like AssumedUtilization
	Retention          float64 // 0 to 1: fraction of the weight of earlier observations kept in each round
	MaxMisfit          float64 // factor: a latency that is off its curve by more than this starts a new curve
	MaxSlopeFactor     float64 // factor by which a curve's slope may differ from the assumed slope
	MinLoadFraction    float64 // least load of a server, as a fraction of the mean and of its current load
}

// Adjust returns, for each server, the natural logarithm of the ratio of its optimal load to its current
// load. Above 0 it should get more. It updates the servers' curves.
func (s *Solver) Adjust(learning CurveLearning, observations []Observation) []float64 {
	concurrency, demand := totals(learning, observations)
	n := float64(len(observations))
	servers := make([]Server, len(observations))
	for i, observation := range observations {
		base, capacity := observation.updateCurve(learning, concurrency)
		servers[i] = Server{UnloadedLatency: base, Capacity: capacity, MinLoad: learning.MinLoadFraction * demand / n}
	}
	loads, _ := s.Solve(nil, servers, demand)
	changes := make([]float64, len(loads))
	for i, observation := range observations {
		changes[i] = math.Log(max(loads[i]/observation.CallsPerSecond, learning.MinLoadFraction))
	}
	return changes
}

// totals returns the sum of the loads as demand, and the number of calls that a server is assumed to process
// at the same time, which is assumed to be the same for all.
func totals(learning CurveLearning, observations []Observation) (concurrency, demand float64) {
	n, utilization := float64(len(observations)), learning.AssumedUtilization
	for _, observation := range observations {
		concurrency += observation.CallsPerSecond * observation.MeanLatency / n *
			(1 - utilization) / utilization
		demand += observation.CallsPerSecond
	}
	return concurrency, demand
}

// updateCurve adds an observation to its server's curve and returns the curve. An observation that is far off
// the curve is from another server with the same name or from one that has changed, so it starts a new curve.
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
