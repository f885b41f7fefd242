package balancer

import (
	"cmp"
	"math"
)

// Slow start: how much a server gets while it is warming up, so that all replicas together don't overload it.
//
// Input: a server's start time, the rate of requests at this replica, and the candidates of a draw. Output: a
// factor of the server's weight by its age and, where the settings say what overloads a server, a cap on its
// part of the draw.
//
// No replica knows a warming server's capacity or what the others send to it. The cap takes for granted
// that the other replicas send as this one does, spread evenly over the servers of their subset by capacity
// and zone, and that a warm server can carry what comes to it so. Each draw has a chance, rather than each
// replica a number of calls, so that the sum over all replicas varies as chance has it, be they few or
// many.

const (
	warmupMargin   = 0.6          // of its least capacity: what a warming server's weight is kept to
	overloadMargin = 0.65         // of what overloads it: what all replicas may send to a warming server
	arrivalDecay   = 30 * seconds // time constant by which a replica learns its usual rate of requests
)

// slowStart holds the draws, which show the present rate.
type slowStart struct {
	*shared
	draws        window // attempts to find a server
	otherProcess bool   // another process of this proxy sends too
}

func newSlowStart(common *shared) *slowStart { return &slowStart{shared: common} }

// setOtherProcess records whether another process of this proxy sends, too.
func (s *slowStart) setOtherProcess(sends bool) { s.otherProcess = sends }

// recordDraw counts a draw.
func (s *slowStart) recordDraw(now moment) { s.draws.add(now) }

// capacity is the least fraction of its warm capacity that a server of its age has; 1 for a warm one.
func (s *slowStart) capacity(now moment, server *server) float64 {
	started := cmp.Or(server.LocalStartTime, server.StartTime)
	age := now.since(moment(started))
	if started == 0 || age >= span(s.settings.SlowStartDuration) {
		return 1
	}
	least := s.settings.SlowStartMinCapacity
	return least + (1-least)*float64(max(age, 0))/float64(s.settings.SlowStartDuration)
}

// factor is the factor of a server's weight, 0 to 1, by its age; 1 for a warm one.
func (s *slowStart) factor(now moment, server *server) float64 {
	capacity := s.capacity(now, server)
	if capacity == 1 {
		return 1
	}
	if s.otherProcess { // it sends there too
		capacity /= 2
	}
	return warmupMargin * capacity
}

// limitsDraw reports whether a server with this factor needs the cap of limitWarming.
func (s *slowStart) limitsDraw(factor float64) bool {
	return factor < 1 && s.settings.OverloadMultiple > 0
}

// arrivalRates returns the requests that usually come to this replica in Settings.OverloadWindow, and the
// draws it has made in the one that ends now. A new replica takes what comes for usual.
func (s *slowStart) arrivalRates(now moment) (usual, present float64) {
	length := min(span(s.settings.OverloadWindow), maxWindow)
	age := float64(max(now.since(s.arrivals.firstAt), length))
	learned := -math.Expm1(-age / float64(arrivalDecay)) // of what the decaying count comes to hold
	usual = s.arrivals.recent.at(now) * float64(length) / (float64(arrivalDecay) * learned)
	return usual, max(1, s.draws.count(now, length))
}

// limitWarming caps the weight of each warming candidate so that all replicas together send it no more than
// overloadMargin of what overloads it. A rate above the usual, as of rejected clients that come again,
// doesn't raise the cap. The excess goes to the warm candidates that are healthy, or least ill, as far as
// their health allows; the rest is returned as the weight of draws that have to find no server. total is
// the sum of weights, spread the number of servers that the replica's calls are taken to be spread over.
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

// admitsTrial reports whether a server that an operator has resumed may get a call now. Where ready servers
// are so many that its part of this replica's usual calls is below one, that part is the chance of a call.
func (s *slowStart) admitsTrial(now moment, server *server, ready int) bool {
	usual, present := s.arrivalRates(now)
	capacity := s.capacity(now, server)
	part := usual * overloadMargin * s.settings.OverloadMultiple * capacity / float64(ready)
	return capacity == 1 || s.settings.OverloadMultiple == 0 || part >= 1 ||
		s.random.Float64() < part/present
}
