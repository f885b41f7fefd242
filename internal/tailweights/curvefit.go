package tailweights

import "math"

// CurveFit learns a server's curve. With t(x) = base/(1 - x/capacity) the reciprocal of the latency falls along a
// straight line with the load: 1/t = 1/base - x/concurrency, where concurrency = base × capacity is the number of
// calls that the server works on at once. The least squares of a line need five sums, so a CurveFit has a fixed size
// whatever it has seen, and two merge by adding. The zero value has seen nothing.
type CurveFit struct {
	sumWeight, sumLoad, sumInverse, sumLoadSquared, sumLoadInverse float64
}

// Add takes a mean latency at a load, with a weight such as the number of calls. What is not above 0 and finite is
// left out.
func (f *CurveFit) Add(load, latency, weight float64) {
	load, latency, weight = positiveOrZero(load), positiveOrZero(latency), positiveOrZero(weight)
	if load*latency*weight == 0 {
		return
	}
	inverse := 1 / latency
	f.Merge(CurveFit{weight, weight * load, weight * inverse, weight * load * load, weight * load * inverse})
}

// Merge adds what another has seen.
func (f *CurveFit) Merge(other CurveFit) {
	f.sumWeight += other.sumWeight
	f.sumLoad += other.sumLoad
	f.sumInverse += other.sumInverse
	f.sumLoadSquared += other.sumLoadSquared
	f.sumLoadInverse += other.sumLoadInverse
}

// Decay leaves the given part, 0 to 1, of the weight of what was seen.
func (f *CurveFit) Decay(part float64) {
	f.sumWeight = part * f.sumWeight
	f.sumLoad = part * f.sumLoad
	f.sumInverse = part * f.sumInverse
	f.sumLoadSquared = part * f.sumLoadSquared
	f.sumLoadInverse = part * f.sumLoadInverse
}

// Estimate returns the curve through what was seen: the latency without load, and the capacity in the unit of the
// loads. ok is false where nothing was seen. Loads that hardly differ say nothing of the slope: concurrency is a
// guess at it, which counts as much as loads that differ by a part spread of their mean, and the answer stays within
// a factor maxSlopeFactor of it.
func (f CurveFit) Estimate(concurrency, spread, maxSlopeFactor float64) (base, capacity float64, ok bool) {
	concurrency = positiveOrZero(concurrency)
	if !(f.sumWeight > 0) || concurrency == 0 || math.IsInf(f.sumLoadSquared, 1) || math.IsInf(f.sumLoadInverse, 1) {
		return 0, 0, false
	}
	meanLoad, meanInverse, guess := f.sumLoad/f.sumWeight, f.sumInverse/f.sumWeight, 1/concurrency
	guessWeight := spread * spread * meanLoad * meanLoad
	covariance := f.sumLoadInverse/f.sumWeight - meanLoad*meanInverse
	variance := max(f.sumLoadSquared/f.sumWeight-meanLoad*meanLoad, 0)
	slope := (guessWeight*guess - covariance) / (variance + guessWeight)
	slope = min(max(slope, guess/maxSlopeFactor), maxSlopeFactor*guess)
	inverseBase := meanInverse + slope*meanLoad
	base, capacity = 1/inverseBase, inverseBase/slope
	if !(positiveOrZero(base) > 0) || !(positiveOrZero(capacity) > 0) {
		return 0, 0, false
	}
	return base, capacity, true
}

// LatencyAt is the mean latency at a load of a server with the given curve, in the unit of base; infinite from its
// capacity on.
func LatencyAt(base, capacity, load float64) float64 {
	if load >= capacity {
		return math.Inf(1)
	}
	return base / (1 - load/capacity)
}

// TailNorm is the mean fourth power of latencies, whose root represents their tail as the cost of Solver does: 2.2
// means of exponential latencies. Two merge by adding. The zero value has seen nothing.
type TailNorm struct{ Weight, Sum float64 }

// Add takes a latency with a weight.
func (n *TailNorm) Add(latency, weight float64) {
	square := latency * latency
	n.Weight += weight
	n.Sum += weight * square * square
}

// Root is the fourth root of the mean, in the unit of the latencies; 0 where nothing was seen.
func (n TailNorm) Root() float64 {
	if !(n.Weight > 0) {
		return 0
	}
	return math.Sqrt(math.Sqrt(n.Sum / n.Weight))
}
