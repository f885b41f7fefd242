package balancer

import (
	"cmp"
	"math"
)

// Slow start: limits what a server gets while it is warming up, so that all replicas together do not overload
// it.
//
// Input: a server's start time, the rate of requests at this replica, and the candidates of a draw. Output: a
// factor of the server's weight by its age and, where the settings state what overloads a server, a cap on
// its share of the draw.
//
// No replica knows the capacity of a warming server or what the other replicas send to it. The cap assumes
// that the other replicas send the same traffic as this one, spread evenly over the servers of their subsets
// by capacity and zone, and that a warm server can handle what it gets that way. The cap limits a probability
// in each draw rather than a number of calls of each replica, so that the sum over all replicas has the same
// random variation whether there are few replicas or many.

const (
	// warmupMargin is the fraction of its minimum capacity to which the weight of a warming server is
	// limited.
	warmupMargin = 0.6

	// overloadMargin: all replicas together may send a warming server at most this fraction of the load that
	// would overload it.
	overloadMargin = 0.65

	// arrivalDecay is the time constant of a replica's usual rate of requests.
	arrivalDecay = 30 * seconds
)

// slowStart counts the draws, from which the present rate follows.
type slowStart struct {
	*shared
	draws        window // selections of a server, successful or not
	otherProcess bool   // another process of this proxy sends requests, too
}

// newSlowStart returns the slow start rule without any recorded draws.
func newSlowStart(common *shared) *slowStart { return &slowStart{shared: common} }

// setOtherProcess sets whether another process of this proxy sends requests, too.
func (s *slowStart) setOtherProcess(sends bool) { s.otherProcess = sends }

// recordDraw counts a draw.
func (s *slowStart) recordDraw(now moment) { s.draws.add(now) }

// capacity returns the least fraction of its warm capacity that a server of its age has. It is 1 for a warm
// server.
func (s *slowStart) capacity(now moment, server *server) float64 {
	started := cmp.Or(server.LocalStartTime, server.StartTime)
	age := now.since(moment(started))
	if started == 0 || age >= span(s.settings.SlowStartDuration) {
		return 1
	}
	least := s.settings.SlowStartMinCapacity
	return least + (1-least)*float64(max(age, 0))/float64(s.settings.SlowStartDuration)
}

// factor returns the factor of a server's weight by its age, from 0 to 1. It is 1 for a warm server.
func (s *slowStart) factor(now moment, server *server) float64 {
	capacity := s.capacity(now, server)
	if capacity == 1 {
		return 1
	}
	if s.otherProcess { // the other process sends to the server, too
		capacity /= 2
	}
	return warmupMargin * capacity
}

// limitsDraw reports whether limitWarming has to cap the weight of a server with this factor.
func (s *slowStart) limitsDraw(factor float64) bool {
	return factor < 1 && s.settings.OverloadMultiple > 0
}

// arrivalRates returns how many requests this replica usually gets in Settings.OverloadWindow, and how many
// draws it has made in the window that ends now. The usual number at a new replica is estimated from the
// requests so far.
func (s *slowStart) arrivalRates(now moment) (usual, present float64) {
	length := min(span(s.settings.OverloadWindow), maxWindow)
	age := float64(max(now.since(s.arrivals.firstAt), length))
	// learned is the part of its final value that the decaying count has reached.
	learned := -math.Expm1(-age / float64(arrivalDecay))
	usual = s.arrivals.recent.at(now) * float64(length) / (float64(arrivalDecay) * learned)
	return usual, max(1, s.draws.count(now, length))
}

// limitWarming caps the weight of each warming candidate so that all replicas together send it at most
// overloadMargin of the load that would overload it. Requests above the usual rate, such as those of rejected
// clients that come back, do not raise the cap. The excess weight goes to the warm candidates that are
// healthy, or to the healthiest ones if none is, as far as their health allows. The rest is returned as the
// weight of draws that have to find no server. total is the sum of all weights, and spread is the number of
// servers over which the calls of this replica are assumed to be spread.
func (s *slowStart) limitWarming(now moment, candidates []candidate, total, spread float64) (shed float64) {
	totalBaseWeight, healthiest := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		c.capacity, totalBaseWeight = s.capacity(now, c.server), totalBaseWeight+c.baseWeight
		healthiest = max(healthiest, c.health*indicator(c.capacity == 1 && c.weight > 0))
	}
	usual, present := s.arrivalRates(now)
	capPerCapacity := total * overloadMargin * s.settings.OverloadMultiple *
		min(1, (usual+1)/present) / max(totalBaseWeight, spread)
	takesExcess := func(c *candidate) bool {
		return c.capacity == 1 && c.health >= min(healthiest, healthyScore)
	}
	warm := 0.0
	for i := range candidates {
		c := &candidates[i]
		if excess := c.weight - capPerCapacity*c.baseWeight*c.capacity; c.capacity < 1 && excess > 0 {
			c.weight, shed = c.weight-excess, shed+excess
		} else if takesExcess(c) {
			warm += c.weight
		}
	}
	excessRatio := shed * min(1, healthiest/healthyScore) / max(warm, math.SmallestNonzeroFloat64)
	for i := range candidates {
		if takesExcess(&candidates[i]) {
			candidates[i].weight *= 1 + excessRatio
		}
	}
	return shed - excessRatio*warm
}

// admitsTrial reports whether a server that an operator has resumed may get a call now. If there are so many
// ready servers that its share of this replica's usual calls in Settings.OverloadWindow is below one, it gets
// a call with that probability per window.
func (s *slowStart) admitsTrial(now moment, server *server, ready int) bool {
	usual, present := s.arrivalRates(now)
	capacity := s.capacity(now, server)
	part := usual * overloadMargin * s.settings.OverloadMultiple * capacity / float64(ready)
	return capacity == 1 || s.settings.OverloadMultiple == 0 || part >= 1 ||
		s.random.Float64() < part/present
}
