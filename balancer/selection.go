package balancer

import "math"

// Selection: which server an attempt goes to, by a weighted random draw.
//
// Input: the ready servers in the order of this replica's subset, and for each of them its capacity hint,
// slow start, health, slowness, zone, tuning, evidence that it is still listed, and attempts in flight.
// Output: a server, or none.

const (
	inFlightExponent  = 8.0  // a weight falls with this power of 1 + attempts in flight
	triedWeightFactor = 1e-6 // weight factor of a server that the request was sent to before: the last resort

	// Factor of an unhealthy server's trials in draws for non-idempotent requests, which can't be retried.
	nonIdempotentTrialFactor = 0.2

	minSubset         = 4.0 // minimum number of servers over which this replica spreads its calls
	subsetPerSqrtRate = 3.0 // servers per square root of this replica's rate, in attempts per second
)

// candidate is a server in a draw.
type candidate struct {
	server     *server
	weight     float64
	baseWeight float64 // weight by capacity hint and zone only
	health     float64 // health score for the request's class, 0 to 1
	capacity   float64 // set by slow start: minimum fraction of its warm capacity that the server has, 0 to 1
}

// selection holds the rate of attempts, which determines the size of the subset, and the candidates of the
// current draw.
type selection struct {
	*shared
	members      *membership
	listEvidence *listEvidence
	locality     *locality
	retries      *retryPolicy
	slowStart    *slowStart

	sent       window // attempts by time
	candidates []candidate
}

// recordSend counts an attempt for the rate.
func (s *selection) recordSend(now moment) { s.sent.add(now) }

// subsetSize returns the number of warm and healthy servers over which this replica spreads its calls. With
// more, each server would hold a connection of every replica, and a replica would make too few calls to each
// server to judge it.
func (s *selection) subsetSize(now moment) float64 {
	return max(minSubset, subsetPerSqrtRate*math.Sqrt(s.rate(now)))
}

// rate returns the rate of this replica in attempts per second.
func (s *selection) rate(now moment) float64 {
	return s.sent.count(now, maxWindow) / float64(maxWindow/seconds)
}

// choose draws the server for a request's next attempt; nil if there is no server to send it to.
func (s *selection) choose(now moment, request *request) *server {
	s.slowStart.recordDraw(now)
	if server := s.resumedServer(now, request); server != nil {
		return server
	}
	stale := s.listEvidence.isStale(now)
	if server := s.locality.trial(now, request); server != nil && !stale {
		return server
	}
	d := draw{selection: s, now: now, request: request, stale: stale}
	d.seeksEvidence = stale && s.listEvidence.seeksEvidence(now, s.members.ready, s.rate(now))
	d.gather()
	d.limitUnhealthy()
	point := s.random.Float64() * d.total
	if d.warming {
		point -= s.slowStart.limitWarming(now, s.candidates, d.total, d.spread)
	}
	return s.candidateAt(point)
}

// resumedServer returns a server that an operator has resumed and that may get the request, in any zone: the
// operator expects to see it serve at once. It returns nil if there is none.
func (s *selection) resumedServer(now moment, request *request) *server {
	for _, server := range s.members.ready {
		if server.trialPending && s.retries.sendWindow(now, request, server) != sendForbidden &&
			s.slowStart.admitsTrial(now, server, len(s.members.ready)) {
			server.trialPending = false
			return server
		}
	}
	return nil
}

// draw is the state of one weighted random draw of a server for a request.
type draw struct {
	*selection
	now     moment
	request *request
	stale   bool // the endpoint list is stale

	seeksEvidence bool // see listEvidence.seeksEvidence

	total   float64 // sum of the candidates' weights
	best    float64 // highest weight of a healthy candidate
	spread  float64 // assumed number of servers of each zone over which the replica's calls are spread
	warming bool    // some candidate is warming up and has to be limited
}

// gather collects the candidates: the replica's subset of the local zone first, then as many servers of other
// zones as the spillover requires, and servers of evacuated zones only if there are no others. Each step goes
// on until it has enough healthy and warm servers and at least one to which the request may go.
func (d *draw) gather() {
	d.candidates = d.candidates[:0]
	d.total, d.best, d.warming = 0, 0, false
	enough := d.subsetSize(d.now)
	remote := max(1, enough*d.locality.remoteWeight())
	d.spread = min(enough, float64(len(d.members.ready)/d.settings.ZoneCount))

	remaining := d.gatherFrom(d.members.local(), enough)
	if d.locality.localZoneHasCapacity() && d.total > 0 {
		remaining = 1
	} else {
		remaining = max(remaining, remote)
	}
	d.gatherFrom(d.members.remote(), remaining)
	d.gatherFrom(d.members.evacuated(), 0)
}

// gatherFrom adds servers as candidates until there are enough warm and healthy ones and some candidate has a
// weight. It returns how many are missing.
func (d *draw) gatherFrom(servers []*server, enough float64) (missing float64) {
	for _, server := range servers {
		if enough <= 0 && d.total > 0 {
			break
		}
		enough -= d.add(server)
	}
	return enough
}

// add makes a server a candidate. It returns how much the server counts towards the subset size, 0 to 1.
func (d *draw) add(server *server) (counts float64) {
	slowStartFactor := d.slowStart.factor(d.now, server)
	c := candidate{server: server, baseWeight: d.baseWeight(server),
		health: server.healthScore(d.request.Class)}
	d.warming = d.warming || d.slowStart.limitsDraw(slowStartFactor)
	if d.retries.sendWindow(d.now, d.request, server) != sendForbidden {
		c.weight = d.weight(d.now, server, d.request.Class, c.baseWeight)
	}
	if d.request.triedOn(server) {
		c.weight *= triedWeightFactor
	}
	counts = c.health * slowStartFactor
	if d.stale {
		factor := d.listEvidence.factor(d.now, server, d.seeksEvidence)
		if c.weight *= factor; factor <= unconfirmedWeight {
			counts = 0 // servers with evidence may follow
		}
	}
	d.total += c.weight
	if c.health >= healthyScore {
		d.best = max(d.best, c.weight)
	}
	d.candidates = append(d.candidates, c)
	return counts
}

// limitUnhealthy limits unhealthy candidates to trials, that is, to a fraction of the weight of the best
// candidate. Otherwise a server that fails fast would be drawn most, since it has few attempts in flight.
func (d *draw) limitUnhealthy() {
	nonIdempotent := d.request.classRules().Idempotency == NonIdempotent
	for i := range d.candidates {
		c := &d.candidates[i]
		fraction := c.health
		if nonIdempotent && c.server.riskyForNonIdempotent() {
			fraction *= nonIdempotentTrialFactor
		}
		if excess := c.weight - fraction*d.best; d.best > 0 && fraction < healthyScore && excess > 0 {
			d.total, c.weight = d.total-excess, fraction*d.best
		}
	}
}

// candidateAt returns the candidate at which the sum of the weights exceeds point; nil if no candidate has a
// weight or point is negative.
func (s *selection) candidateAt(point float64) (last *server) {
	for i := range s.candidates {
		if c := &s.candidates[i]; c.weight > 0 && point >= 0 {
			last = c.server
			if point -= c.weight; point < 0 {
				break
			}
		}
	}
	return last
}

// baseWeight returns a server's weight by its capacity hint and zone only.
func (s *selection) baseWeight(server *server) float64 {
	weight := 1.0
	if s.settings.CapacityHints && server.CapacityHint > 0 {
		weight = server.CapacityHint
	}
	if server.Zone != s.settings.Zone {
		weight *= s.locality.remoteWeight()
	}
	return weight
}

// weight returns a server's weight for a class: baseWeight times factors for its health, slowness, slow
// start, tuning and the recovery of its zone, divided by a power of its attempts in flight.
func (s *selection) weight(now moment, server *server, class int, baseWeight float64) float64 {
	slowness, health := server.latency.slowness, max(minHealthScore, server.healthScore(class))
	weight := health / (slowness * slowness) * s.slowStart.factor(now, server)
	weight *= baseWeight * server.tuning.factor / math.Pow(float64(1+server.inFlight), inFlightExponent)
	return weight * s.locality.recoveryFactor(server.Zone)
}

// healthScore returns the factor, 0 to 1, of a server's weight for a class by its health. The score of a
// damped server is constant, or lower while it refuses connections.
func (s *server) healthScore(class int) float64 {
	score := s.outlier.score(class)
	if s.damping.active && (!s.outlier.connectionRefused || score > dampedWeight) {
		return dampedWeight
	}
	return score
}

// riskyForNonIdempotent reports whether non-idempotent requests, which can't be retried, should avoid the
// server.
func (s *server) riskyForNonIdempotent() bool {
	return s.damping.active || s.outlier.overallScore() < healthyScore
}
