package tailweights

import "math"

// CurveFit fits a server's curve to observations. With t(x) = base/(1 - x/capacity) the reciprocal of the
// latency is a linear function of the load: 1/t = 1/base - x/concurrency, where concurrency = base × capacity
// is the number of calls that the server processes at the same time. A least squares fit of a line needs five
// sums, so a CurveFit has a fixed size, and two are merged by adding. The zero value has no observations.
type CurveFit struct {
	sumWeight, sumLoad, sumInverse, sumLoadSquared, sumLoadInverse float64
}

// Add adds a mean latency at a load, with a weight such as the number of calls. It ignores the observation if
// one of the numbers is not positive and finite.
func (f *CurveFit) Add(load, latency, weight float64) {
	load, latency, weight = positiveOrZero(load), positiveOrZero(latency), positiveOrZero(weight)
	if load*latency*weight == 0 {
		return
	}
	inverse := 1 / latency
	f.Merge(CurveFit{weight, weight * load, weight * inverse, weight * load * load, weight * load * inverse})
}

// Merge adds the observations of another CurveFit.
func (f *CurveFit) Merge(other CurveFit) {
	f.sumWeight += other.sumWeight
	f.sumLoad += other.sumLoad
	f.sumInverse += other.sumInverse
	f.sumLoadSquared += other.sumLoadSquared
	f.sumLoadInverse += other.sumLoadInverse
}

// Decay multiplies the weight of all observations by a factor from 0 to 1.
func (f *CurveFit) Decay(factor float64) {
	f.sumWeight = factor * f.sumWeight
	f.sumLoad = factor * f.sumLoad
	f.sumInverse = factor * f.sumInverse
	f.sumLoadSquared = factor * f.sumLoadSquared
	f.sumLoadInverse = factor * f.sumLoadInverse
}

// Estimate returns the fitted curve: the latency without load, and the capacity in the unit of the loads. ok
// is false if there are no observations. Loads that hardly differ say nothing about the slope, so
// 1/concurrency is used as a prior for it. The prior weighs as much as loads that differ by the fraction
// spread of their mean, and the result stays within a factor maxSlopeFactor of it.
func (f CurveFit) Estimate(concurrency, spread, maxSlopeFactor float64) (base, capacity float64, ok bool) {
	concurrency = positiveOrZero(concurrency)
	if !(f.sumWeight > 0) || concurrency == 0 || math.IsInf(f.sumLoadSquared, 1) || math.IsInf(f.sumLoadInverse, 1) {
		return 0, 0, false
	}
	meanLoad, meanInverse, priorSlope := f.sumLoad/f.sumWeight, f.sumInverse/f.sumWeight, 1/concurrency
	priorWeight := spread * spread * meanLoad * meanLoad
	covariance := f.sumLoadInverse/f.sumWeight - meanLoad*meanInverse
	variance := max(f.sumLoadSquared/f.sumWeight-meanLoad*meanLoad, 0)
	slope := (priorWeight*priorSlope - covariance) / (variance + priorWeight)
	slope = min(max(slope, priorSlope/maxSlopeFactor), maxSlopeFactor*priorSlope)
	inverseBase := meanInverse + slope*meanLoad
	base, capacity = 1/inverseBase, inverseBase/slope
	if !(positiveOrZero(base) > 0) || !(positiveOrZero(capacity) > 0) {
		return 0, 0, false
	}
	return base, capacity, true
}

// LatencyAt returns the mean latency at a load of a server with the given curve, in the unit of base. It is
// infinite from the server's capacity on.
func LatencyAt(base, capacity, load float64) float64 {
	if load >= capacity {
		return math.Inf(1)
	}
	return base / (1 - load/capacity)
}

// TailNorm is the mean fourth power of latencies. Its fourth root measures their tail as the cost of Solver
// does; for exponential latencies it is 2.2 times the mean. Two are merged by adding the fields. The zero
// value has no latencies.
type TailNorm struct{ Weight, Sum float64 }

// Add adds a latency with a weight.
func (n *TailNorm) Add(latency, weight float64) {
	square := latency * latency
	n.Weight += weight
	n.Sum += weight * square * square
}

// Root returns the fourth root of the mean, in the unit of the latencies, or 0 if there are no latencies.
func (n TailNorm) Root() float64 {
	if !(n.Weight > 0) {
		return 0
	}
	return math.Sqrt(math.Sqrt(n.Sum / n.Weight))
}
