// Package tail is the mathematics of sharing calls out so that the tail of their times is least: the curve of
// a server's time against its load, how one is learned, and the loads that minimise the cost over all curves.
// It decides nothing: what a capacity, a floor or a price is, and what is done with the result, is its caller's.
//
// The cost of a load x at a server whose mean time is t(x) is x times t(x)^4. Times at a busy server are
// spread about exponentially, so the mean fourth power of them is 24 t^4, and by Markov's inequality the part
// of all calls that takes longer than T is at most the sum of x 24 t^4 over T^4 and the sum of x. Minimising
// that sum minimises the bound for every T at once; of the powers, 4 and 5 bound the 99th percentile of an
// exponential closest (7.0 and 6.5 means, where it is 4.6), and 4 is two squarings.
package tailweights

import "math"

// Server is what is known of one server. Base and Cap describe its curve t(x) = Base/(1 - x/Cap), which is that
// of a queue with random arrivals.
type Server struct {
	Base  float64 // mean time without load, in any unit that is the same for all
	Cap   float64 // load at which the time grows without bound, in calls a second; 0: it takes none
	Floor float64 // it gets this load at least
	Worth float64 // how much its calls weigh in the cost; 0 or less: 1
	Price float64 // of each call, where a call at a server of mean Base without load costs 1
}

// Bounds of what Solve takes and how well it answers.
const (
	Edge  = 0.995 // of the capacity: no server gets more, and beyond it no sharing out helps
	Exact = 1e-9  // part of the demand by which the loads may differ from it

	// Most is the number of times at most that Solve works all servers' loads out. The marginal cost lies
	// between bounds whose logarithms differ by less than 64, and after the first newtons each second step
	// halves what lies between: 2 x 54 steps leave 64/2^54, below the precision of a float64. Some 5 are usual.
	Most    = newtons + 108
	newtons = 12

	widest = 30.0 // Base and Worth count within this factor of their mean, or small costs are lost in rounding
	dear   = 1e3  // the highest Price
	ample  = 1e6  // times the demand: a higher capacity counts as this, or the load would be lost in rounding
)

// Solver shares loads out. The zero value is ready; it keeps its memory between calls and is not safe for
// concurrent use.
type Solver struct {
	work  []curve
	Steps int // taken by the last Solve
}

// curve is a server as the search needs it. With v = t/Base = 1/(1 - x/Cap), the marginal cost of its load is
// scale v^4 (4v - 3) + price.
type curve struct {
	cap, floor, scale, price, v float64
}

// Solve appends to dst the load of each server and tells whether they meet the demand: their sum is the demand
// within Exact, each is at least its floor and at most Edge of its capacity, and the cost is least. Where no
// loads meet all of that, the floors (if these alone are too much) or the capacities are scaled to the demand.
// Equal servers get exactly equal loads. Numbers that are no numbers, negative or infinite count as 0; a Base of
// 0 counts as the mean of the others.
//
// The cost is convex, so loads are optimal exactly when the marginal cost is the same at all servers but those
// at a bound, where it is higher at a floor and lower at an edge. The load of each at a given marginal cost
// increases with that, and so does the sum: the search is for one number, between bounds that hold it. Steps
// are Newton's while these stay between the bounds and are few, and halvings else. With n servers a step takes n
// times some 3 Newton steps of a polynomial.
func (s *Solver) Solve(dst []float64, servers []Server, demand float64) ([]float64, bool) {
	s.Steps = 0
	first := len(dst)
	demand = clean(demand)
	floors, caps := s.prepare(servers, demand)
	for range servers {
		dst = append(dst, 0)
	}
	loads := dst[first:]
	if floors >= demand || caps*Edge <= demand {
		for i, c := range s.work {
			if floors >= demand && floors > 0 {
				loads[i] = c.floor * (demand / floors)
			} else if floors < demand && caps > 0 {
				loads[i] = c.cap * (demand / caps)
			}
		}
		return dst, floors == demand
	}
	s.search(loads, demand, caps)
	s.settle(loads, demand)
	return dst, true
}

// prepare takes the servers in and returns the sums of their floors and capacities.
func (s *Solver) prepare(servers []Server, demand float64) (floors, caps float64) {
	s.work = s.work[:0]
	base, worth := means(servers)
	for _, x := range servers {
		c := curve{cap: min(clean(x.Cap), ample*demand), price: min(clean(x.Price), dear), v: 1}
		c.floor = min(clean(x.Floor), c.cap*Edge)
		ratio := 1.0
		if b := clean(x.Base); b > 0 {
			ratio = min(max(b/base, 1/widest), widest)
		}
		weight := 1.0
		if w := clean(x.Worth); w > 0 {
			weight = min(max(w/worth, 1/widest), widest)
		}
		c.scale = weight * ratio * ratio * ratio * ratio
		s.work = append(s.work, c)
		floors += c.floor
		caps += c.cap
	}
	return floors, caps
}

// means are those of the bases and worths that are numbers above 0.
func means(servers []Server) (base, worth float64) {
	var nb, nw float64
	for _, x := range servers { // running means: a sum could overflow
		if b := clean(x.Base); b > 0 {
			nb++
			base += (b - base) / nb
		}
		if w := clean(x.Worth); w > 0 {
			nw++
			worth += (w - worth) / nw
		}
	}
	return max(base, math.SmallestNonzeroFloat64), max(worth, math.SmallestNonzeroFloat64)
}

func clean(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return min(x, 1e300)
}

// search finds the marginal cost at which the loads add up to the demand, and leaves the loads at it. The power
// -5 of the unused part of all capacity is close to a straight line in the marginal cost, as it is for a single
// server, so that is what Newton's steps are taken on.
func (s *Solver) search(loads []float64, demand, caps float64) {
	low, high, cost := math.Inf(1), 0.0, 0.0
	common := 1 / (1 - demand/caps) // if all were used alike
	for i := range s.work {
		if c := &s.work[i]; c.cap > 0 {
			low = min(low, c.margin(1))
			high = max(high, c.margin(1/(1-Edge)))
			cost += c.margin(common) * c.cap / caps
			c.v = common
		}
	}
	for s.Steps < Most {
		sum, slope := 0.0, 0.0
		for i := range s.work {
			x, d := s.work[i].load(cost)
			loads[i] = x
			sum += x
			slope += d
		}
		s.Steps++
		if math.Abs(sum-demand) <= Exact/10*demand {
			return
		}
		if sum < demand {
			low = cost
		} else {
			high = cost
		}
		part := (1 - sum/caps) / (1 - demand/caps)
		next := cost + (part*part*part*part*part-1)*(caps-sum)/(5*slope)
		if s.Steps > newtons && s.Steps%2 == 0 || !(next > low && next < high) {
			next = math.Sqrt(low) * math.Sqrt(high)
		}
		if next == cost {
			return
		}
		cost = next
	}
}

func (c *curve) margin(v float64) float64 { return c.scale*v*v*v*v*(4*v-3) + c.price }

// load is the server's at a marginal cost, and how fast it rises with that. Newton's method for
// v^4 (4v - 3) = y comes down from above, where it cannot miss, since that is convex. It begins with the last
// answer, which is close; should a step from below leap too far, the fourth root of y is above as well.
func (c *curve) load(cost float64) (x, slope float64) {
	y := (cost - c.price) / c.scale
	if c.cap == 0 || !(y > 1) {
		return c.floor, 0
	}
	v, above := c.v, math.Sqrt(math.Sqrt(y))
	for range 64 {
		cube := v * v * v
		step := (cube*v*(4*v-3) - y) / (4 * cube * (5*v - 3))
		v = min(max(v-step, 1), above)
		if math.Abs(step) <= 1e-14*v {
			break
		}
	}
	c.v = v
	x = c.cap * (1 - 1/v)
	if x <= c.floor {
		return c.floor, 0
	}
	if x >= c.cap*Edge {
		return c.cap * Edge, 0
	}
	return x, c.cap / (v * v * 4 * v * v * v * (5*v - 3) * c.scale)
}

// settle takes the last of the difference to the demand off those between their bounds, all by the same part.
func (s *Solver) settle(loads []float64, demand float64) {
	sum, free := 0.0, 0.0
	for i, x := range loads {
		sum += x
		if c := &s.work[i]; x > c.floor && x < c.cap*Edge {
			free += x
		}
	}
	if free == 0 {
		return
	}
	part := 1 + (demand-sum)/free
	for i, x := range loads {
		if c := &s.work[i]; x > c.floor && x < c.cap*Edge {
			loads[i] = min(max(x*part, c.floor), c.cap*Edge)
		}
	}
}
