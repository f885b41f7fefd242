// Package tailweights computes how to distribute calls over servers so that the tail of their latencies is
// minimal. It fits the curve of each server's latency against its load, and finds the loads that minimise the
// cost over all curves. Callers provide capacities, minimum loads and costs of calls, and decide what to do
// with the result. The package has no global state, reads no clock and draws no random numbers.
//
// The cost of a load x at a server whose mean latency is t(x) is x × t(x)^4. Latencies at a busy server are
// distributed about exponentially, so their mean fourth power is 24 t^4. By Markov's inequality, the fraction
// of all calls that take longer than T is at most the sum of x × 24 t^4, divided by T^4 and the sum of x.
// Minimising the sum minimises this bound for every T at the same time. Of all powers, 4 and 5 give the
// closest bounds for the 99th percentile of an exponential distribution (7.0 and 6.5 times the mean; the
// exact value is 4.6), and 4 takes only two squarings.
package tailweights

import "math"

// Server holds the parameters of one server. UnloadedLatency and Capacity describe its curve
// t(x) = UnloadedLatency/(1 - x/Capacity), which is that of a queue with random arrivals.
type Server struct {
	UnloadedLatency float64 // mean latency without load, in any unit that is the same for all servers
	Capacity        float64 // calls per second at which the latency grows without bound; 0: it gets no calls
	MinLoad         float64 // least calls per second that it gets
	Weight          float64 // weight of its calls in the cost; 0 or less: the mean of the others
	CallCost        float64 // added per call; a call to an unloaded server of mean UnloadedLatency costs 1
}

// Limits of the input of Solve, and the precision of its result.
const (
	MaxUtilization = 0.995 // greatest load as a fraction of the capacity; beyond it no distribution helps
	Tolerance      = 1e-9  // fraction of the demand by which the sum of the loads may differ from it

	// MaxSteps is the maximum number of times that Solve computes all servers' loads. The marginal cost lies
	// between bounds whose logarithms differ by less than 64, and after maxNewtonSteps each second step
	// halves the interval: 2 × 54 steps leave 64/2^54, below the precision of a float64. About 5 steps are
	// usual.
	MaxSteps       = maxNewtonSteps + 108
	maxNewtonSteps = 12

	// maxRatio limits latency/mean, weight/mean and their inverses, because small costs would be lost in
	// rounding.
	maxRatio         = 30.0
	maxCallCost      = 1e3
	maxCapacityRatio = 1e6 // limit of capacity/demand; with a higher ratio the load would be lost in rounding

	inverseSteps     = 64    // most Newton steps for one server's load
	inversePrecision = 1e-14 // relative precision at which these steps end
)

// Solver distributes loads. The zero value is ready to use. A Solver keeps its memory between calls and is
// not safe for concurrent use.
type Solver struct {
	curves []serverCurve
	Steps  int // steps of the last Solve, 0 to MaxSteps
}

// serverCurve holds the parameters of a server in the form that the search uses. With v = latencyRatio =
// t/UnloadedLatency = 1/(1 - x/capacity) the marginal cost of its load is costScale × v^4 × (4v - 3) +
// callCost.
type serverCurve struct {
	capacity, minLoad, costScale, callCost, latencyRatio float64
}

// Solve appends the load of each server to dst and reports whether the loads meet the demand, in calls per
// second: their sum is the demand within Tolerance, each is at least the server's MinLoad and at most
// MaxUtilization of its capacity, and the cost is minimal. If no loads meet all of these conditions, Solve
// scales the minimum loads (if their sum alone exceeds the demand) or the capacities to the demand. Equal
// servers get exactly equal loads. Numbers that are NaN, negative or infinite are treated as 0, and an
// UnloadedLatency of 0 as the mean of the others.
//
// The cost is convex, so loads are optimal exactly if the marginal cost is the same at all servers except
// those at a limit: it is higher at a minimum load and lower at a maximum load. Each server's load increases
// with the marginal cost, and so does the sum. The search is therefore for one number between bounds that
// enclose it. It takes Newton steps while these stay between the bounds and are few, and otherwise bisects.
// With n servers a step takes n times about 3 Newton steps of a polynomial.
func (s *Solver) Solve(dst []float64, servers []Server, demand float64) ([]float64, bool) {
	s.Steps = 0
	first := len(dst)
	demand = positiveOrZero(demand)
	minLoads, capacities := s.prepare(servers, demand)
	for range servers {
		dst = append(dst, 0)
	}
	loads := dst[first:]
	if minLoads >= demand || capacities*MaxUtilization <= demand {
		s.scaleToDemand(loads, demand, minLoads, capacities)
		return dst, minLoads == demand
	}
	s.search(loads, demand, capacities)
	s.distributeRemainder(loads, demand)
	return dst, true
}

// scaleToDemand distributes a demand that cannot be met: in proportion to the minimum loads if their sum
// exceeds it, and otherwise in proportion to the capacities.
func (s *Solver) scaleToDemand(loads []float64, demand, minLoads, capacities float64) {
	for i, curve := range s.curves {
		if minLoads >= demand && minLoads > 0 {
			loads[i] = curve.minLoad * (demand / minLoads)
		} else if minLoads < demand && capacities > 0 {
			loads[i] = curve.capacity * (demand / capacities)
		}
	}
}

// prepare sets the curves of the servers and returns the sums of their minimum loads and capacities.
func (s *Solver) prepare(servers []Server, demand float64) (minLoads, capacities float64) {
	s.curves = s.curves[:0]
	meanLatency, meanWeight := means(servers)
	for _, server := range servers {
		curve := serverCurve{capacity: min(positiveOrZero(server.Capacity), maxCapacityRatio*demand),
			callCost: min(positiveOrZero(server.CallCost), maxCallCost), latencyRatio: 1}
		curve.minLoad = min(positiveOrZero(server.MinLoad), curve.capacity*MaxUtilization)
		ratio, weight := boundedRatio(server.UnloadedLatency, meanLatency), boundedRatio(server.Weight, meanWeight)
		curve.costScale = weight * ratio * ratio * ratio * ratio
		s.curves = append(s.curves, curve)
		minLoads += curve.minLoad
		capacities += curve.capacity
	}
	return minLoads, capacities
}

// boundedRatio returns the ratio of a number to a mean, limited by maxRatio; 1 if the number is not above 0.
func boundedRatio(x, mean float64) float64 {
	if x = positiveOrZero(x); x > 0 {
		return min(max(x/mean, 1/maxRatio), maxRatio)
	}
	return 1
}

// means returns the means of the latencies and weights that are above 0.
func means(servers []Server) (latency, weight float64) {
	var latencies, weights float64
	for _, server := range servers { // running means: a sum could overflow
		if x := positiveOrZero(server.UnloadedLatency); x > 0 {
			latencies++
			latency += (x - latency) / latencies
		}
		if x := positiveOrZero(server.Weight); x > 0 {
			weights++
			weight += (x - weight) / weights
		}
	}
	return max(latency, math.SmallestNonzeroFloat64), max(weight, math.SmallestNonzeroFloat64)
}

// positiveOrZero returns x, limited to 1e300, if it is positive and finite, and otherwise 0.
func positiveOrZero(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return min(x, 1e300)
}

// search finds the marginal cost at which the loads add up to the demand, and sets the loads to those at this
// cost. The unused fraction of all capacity to the power of -5 is nearly linear in the marginal cost, as it
// is for a single server, so the Newton steps use this power.
func (s *Solver) search(loads []float64, demand, capacities float64) {
	low, high, cost := s.bounds(demand, capacities)
	for s.Steps < MaxSteps {
		sum, slope := s.loadsAt(cost, loads)
		s.Steps++
		if math.Abs(sum-demand) <= Tolerance/10*demand {
			return
		}
		if sum < demand {
			low = cost
		} else {
			high = cost
		}
		unused := (1 - sum/capacities) / (1 - demand/capacities)
		next := cost + (unused*unused*unused*unused*unused-1)*(capacities-sum)/(5*slope)
		if s.Steps > maxNewtonSteps && s.Steps%2 == 0 || !(next > low && next < high) {
			next = math.Sqrt(low) * math.Sqrt(high)
		}
		if next == cost {
			return
		}
		cost = next
	}
}

// bounds returns bounds of the marginal cost, and the cost at which the search starts: the mean marginal cost
// if all servers had the same utilization.
func (s *Solver) bounds(demand, capacities float64) (low, high, cost float64) {
	low = math.Inf(1)
	evenRatio := 1 / (1 - demand/capacities)
	for i := range s.curves {
		if curve := &s.curves[i]; curve.capacity > 0 {
			low = min(low, curve.marginalCost(1))
			high = max(high, curve.marginalCost(1/(1-MaxUtilization)))
			cost += curve.marginalCost(evenRatio) * curve.capacity / capacities
			curve.latencyRatio = evenRatio
		}
	}
	return low, high, cost
}

// loadsAt sets the loads at a marginal cost and returns their sum and its derivative with respect to the
// cost.
func (s *Solver) loadsAt(cost float64, loads []float64) (sum, slope float64) {
	for i := range s.curves {
		load, loadSlope := s.curves[i].loadAt(cost)
		loads[i] = load
		sum += load
		slope += loadSlope
	}
	return sum, slope
}

// marginalCost returns the marginal cost at the load where the latency is v times the unloaded latency.
func (c *serverCurve) marginalCost(v float64) float64 {
	return c.costScale*v*v*v*v*(4*v-3) + c.callCost
}

// loadAt returns the server's load at a marginal cost, and its derivative with respect to the cost. It solves
// v^4 (4v - 3) = y with Newton's method, which always converges from above because the function is convex. It
// starts at the last solution, which is close. If a step from below goes too far, it continues from the
// fourth root of y, which is above the solution too.
func (c *serverCurve) loadAt(cost float64) (load, slope float64) {
	y := (cost - c.callCost) / c.costScale
	if c.capacity == 0 || !(y > 1) {
		return c.minLoad, 0
	}
	v, above := c.latencyRatio, math.Sqrt(math.Sqrt(y))
	for range inverseSteps {
		cube := v * v * v
		step := (cube*v*(4*v-3) - y) / (4 * cube * (5*v - 3))
		v = min(max(v-step, 1), above)
		if math.Abs(step) <= inversePrecision*v {
			break
		}
	}
	c.latencyRatio = v
	load = c.capacity * (1 - 1/v)
	if load <= c.minLoad {
		return c.minLoad, 0
	}
	if load >= c.capacity*MaxUtilization {
		return c.capacity * MaxUtilization, 0
	}
	return load, c.capacity / (v * v * 4 * v * v * v * (5*v - 3) * c.costScale)
}

// distributeRemainder removes the remaining difference to the demand by scaling the loads of all servers that
// are not at a limit by the same factor.
func (s *Solver) distributeRemainder(loads []float64, demand float64) {
	sum, adjustable := 0.0, 0.0
	for i, load := range loads {
		sum += load
		if curve := &s.curves[i]; load > curve.minLoad && load < curve.capacity*MaxUtilization {
			adjustable += load
		}
	}
	if adjustable == 0 {
		return
	}
	factor := 1 + (demand-sum)/adjustable
	for i, load := range loads {
		if curve := &s.curves[i]; load > curve.minLoad && load < curve.capacity*MaxUtilization {
			loads[i] = min(max(load*factor, curve.minLoad), curve.capacity*MaxUtilization)
		}
	}
}
