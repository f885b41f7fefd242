// Package tailweights is the mathematics of sharing calls out over servers so that the tail of their latencies is
// least: the curve of a server's latency against its load, how one is learned, and the loads that minimise the cost
// over all curves. It never decides: what a capacity, a least load or a call's cost is, and what is done with the
// result, is its caller's. It keeps no global state, reads no clock and draws no random numbers.
//
// The cost of a load x at a server whose mean latency is t(x) is x × t(x)^4. Latencies at a busy server are spread
// about exponentially, so their mean fourth power is 24 t^4, and by Markov's inequality the part of all calls that
// takes longer than T is at most the sum of x × 24 t^4 over T^4 and the sum of x. Minimising that sum minimises the
// bound for every T at once; of the powers, 4 and 5 bound the 99th percentile of an exponential closest (7.0 and 6.5
// means, where it is 4.6), and 4 is two squarings.
package tailweights

import "math"

// Server is what is known of one server. UnloadedLatency and Capacity describe its curve
// t(x) = UnloadedLatency/(1 - x/Capacity), which is that of a queue with random arrivals.
type Server struct {
	UnloadedLatency float64 // mean latency without load, in any unit that is the same for all
	Capacity        float64 // calls a second at which the latency grows without bound; 0: it takes none
	MinLoad         float64 // calls a second that it gets at least
	Weight          float64 // how much its calls weigh in the cost; 0 or less: 1
	CallCost        float64 // of each call, where one at a server of mean UnloadedLatency without load costs 1
}

// Bounds of what Solve takes and how well it answers.
const (
	MaxUtilization = 0.995 // of its capacity: no server gets more, and beyond it no sharing out helps
	Tolerance      = 1e-9  // part of the demand by which the sum of the loads may differ from it

	// MaxSteps is the number of times at most that Solve works out all servers' loads. The marginal cost lies
	// between bounds whose logarithms differ by less than 64, and after maxNewtonSteps each second step halves what
	// lies between: 2 × 54 steps leave 64/2^54, below the precision of a float64. Some 5 are usual.
	MaxSteps       = maxNewtonSteps + 108
	maxNewtonSteps = 12

	maxRatio         = 30.0 // latencies and weights count within this factor of their mean; small costs would be lost
	maxCallCost      = 1e3
	maxCapacityRatio = 1e6 // to the demand: a higher capacity counts as this, or the load would be lost in rounding

	inverseSteps     = 64    // Newton steps at most for one server's load
	inversePrecision = 1e-14 // of the result, at which they end
)

// Solver shares loads out. The zero value is ready; it keeps its memory between calls and is not safe for concurrent
// use.
type Solver struct {
	curves []serverCurve
	Steps  int // taken by the last Solve, 0 to MaxSteps
}

// serverCurve is a server as the search needs it. With v = latencyRatio = t/UnloadedLatency = 1/(1 - x/capacity) the
// marginal cost of its load is costScale × v^4 × (4v - 3) + callCost.
type serverCurve struct {
	capacity, minLoad, costScale, callCost, latencyRatio float64
}

// Solve appends to dst the load of each server and reports whether they meet the demand, in calls a second: their sum
// is the demand within Tolerance, each is at least its MinLoad and at most MaxUtilization of its capacity, and the
// cost is least. Where no loads meet all of that, the least loads (if these alone are too much) or the capacities are
// scaled to the demand. Equal servers get exactly equal loads. Numbers that are no numbers, negative or infinite
// count as 0; an UnloadedLatency of 0 counts as the mean of the others.
//
// The cost is convex, so loads are optimal exactly when the marginal cost is the same at all servers but those at a
// bound, where it is higher at a least load and lower at the greatest. The load of each at a given marginal cost
// increases with that, and so does the sum: the search is for one number, between bounds that hold it. Steps are
// Newton's while these stay between the bounds and are few, and halvings else. With n servers a step takes n times
// some 3 Newton steps of a polynomial.
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

// scaleToDemand shares out a demand that can't be met: in proportion to the least loads where these are too much, else to the
// capacities.
func (s *Solver) scaleToDemand(loads []float64, demand, minLoads, capacities float64) {
	for i, curve := range s.curves {
		if minLoads >= demand && minLoads > 0 {
			loads[i] = curve.minLoad * (demand / minLoads)
		} else if minLoads < demand && capacities > 0 {
			loads[i] = curve.capacity * (demand / capacities)
		}
	}
}

// prepare takes the servers in and returns the sums of their least loads and capacities.
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

// boundedRatio is the ratio of a number to a mean, within maxRatio; 1 if the number is not above 0.
func boundedRatio(x, mean float64) float64 {
	if x = positiveOrZero(x); x > 0 {
		return min(max(x/mean, 1/maxRatio), maxRatio)
	}
	return 1
}

// means are those of the latencies and weights that are above 0.
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

// positiveOrZero is a number that is positive and finite, else 0.
func positiveOrZero(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return min(x, 1e300)
}

// search finds the marginal cost at which the loads add up to the demand, and leaves the loads at it. The power -5 of
// the unused part of all capacity is close to a straight line in the marginal cost, as it is for a single server, so
// that is what Newton's steps are taken on.
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
		part := (1 - sum/capacities) / (1 - demand/capacities)
		next := cost + (part*part*part*part*part-1)*(capacities-sum)/(5*slope)
		if s.Steps > maxNewtonSteps && s.Steps%2 == 0 || !(next > low && next < high) {
			next = math.Sqrt(low) * math.Sqrt(high)
		}
		if next == cost {
			return
		}
		cost = next
	}
}

// bounds returns bounds of the marginal cost, and the mean one if all servers were used alike, where the search
// starts.
func (s *Solver) bounds(demand, capacities float64) (low, high, cost float64) {
	low = math.Inf(1)
	common := 1 / (1 - demand/capacities)
	for i := range s.curves {
		if curve := &s.curves[i]; curve.capacity > 0 {
			low = min(low, curve.marginalCost(1))
			high = max(high, curve.marginalCost(1/(1-MaxUtilization)))
			cost += curve.marginalCost(common) * curve.capacity / capacities
			curve.latencyRatio = common
		}
	}
	return low, high, cost
}

// loadsAt sets the loads at a marginal cost and returns their sum and how fast it rises with the cost.
func (s *Solver) loadsAt(cost float64, loads []float64) (sum, slope float64) {
	for i := range s.curves {
		load, rise := s.curves[i].loadAt(cost)
		loads[i] = load
		sum += load
		slope += rise
	}
	return sum, slope
}

// marginalCost is that at a load where the latency is v times the unloaded one.
func (c *serverCurve) marginalCost(v float64) float64 {
	return c.costScale*v*v*v*v*(4*v-3) + c.callCost
}

// loadAt is the server's load at a marginal cost, and how fast it rises with that. Newton's method for
// v^4 (4v - 3) = y comes down from above, where it can't miss, since that is convex. It begins with the last answer,
// which is close; should a step from below leap too far, the fourth root of y is above as well.
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

// distributeRemainder takes the last of the difference to the demand off the servers between their bounds, all by the
// same part.
func (s *Solver) distributeRemainder(loads []float64, demand float64) {
	sum, free := 0.0, 0.0
	for i, load := range loads {
		sum += load
		if curve := &s.curves[i]; load > curve.minLoad && load < curve.capacity*MaxUtilization {
			free += load
		}
	}
	if free == 0 {
		return
	}
	part := 1 + (demand-sum)/free
	for i, load := range loads {
		if curve := &s.curves[i]; load > curve.minLoad && load < curve.capacity*MaxUtilization {
			loads[i] = min(max(load*part, curve.minLoad), curve.capacity*MaxUtilization)
		}
	}
}
