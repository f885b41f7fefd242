package balancer

import "math"

// Selection: which server an attempt goes to, by a weighted random draw.
//
// Input: the ready servers in the order of this replica's subset, and what the other rules say of each:
// capacity hint, slow start, health, slowness, zone, tuning, evidence that it is still listed, and the
// attempts that it holds. Output: a server, or none.

const (
	inFlightExponent  = 8.0  // of 1 + attempts in flight: how sharply a weight falls with them
	triedWeightFactor = 1e-6 // for a server that the request has tried: the last resort

	// Of its trials, those that an unhealthy server gets from calls that can't be repeated.
	nonIdempotentTrialFactor = 0.2

	minSubset         = 4.0 // servers that this replica spreads its calls over
	subsetPerRootRate = 3.0 // servers for each root of a call a second
)

// candidate is a server in a draw.
type candidate struct {
	server     *server
	weight     float64
	baseWeight float64 // weight by capacity hint and zone alone
	health     float64 // score for the request's class, 0 to 1
	capacity   float64 // slow start: least fraction of its warm capacity
}

// selection holds what the size of the subset follows from, and the candidates of the present draw.
type selection struct {
	*shared
	members   *membership
	listing   *listEvidence
	locality  *locality
	retries   *retryPolicy
	slowStart *slowStart

	sent       window // attempts
	candidates []candidate
}

// recordSend counts an attempt.
func (s *selection) recordSend(now moment) { s.sent.add(now) }

// subsetSize is how many warm and healthy servers this replica's calls are spread over. With more, each
// server would hold a connection of every replica, and each replica would see too few calls of a server to
// judge it.
func (s *selection) subsetSize(now moment) float64 {
	return max(minSubset, subsetPerRootRate*math.Sqrt(s.rate(now)))
}

// rate is the attempts a second of this replica.
func (s *selection) rate(now moment) float64 {
	return s.sent.count(now, maxWindow) / float64(maxWindow/seconds)
}

// choose draws the server of a request's next attempt, nil if there is none to send it to.
func (s *selection) choose(now moment, request *request) *server {
	s.slowStart.recordDraw(now)
	if server := s.resumed(now, request); server != nil {
		return server
	}
	stale := s.listing.isStale(now)
	if server := s.locality.trial(now, request); server != nil && !stale {
		return server
	}
	d := draw{selection: s, now: now, request: request, stale: stale}
	d.seeksEvidence = stale && s.listing.seeksEvidence(now, s.members.ready, s.rate(now))
	d.gather()
	d.limitUnhealthy()
	point := s.random.Float64() * d.total
	if d.warming {
		point -= s.slowStart.limitWarming(now, s.candidates, d.total, d.spread)
	}
	return s.at(point)
}

// resumed is a server that an operator has resumed and that may get the request, wherever it is: whoever
// resumed it wants to see it serve.
func (s *selection) resumed(now moment, request *request) *server {
	for _, server := range s.members.ready {
		if server.trialPending && s.retries.sendWindow(now, request, server) != neverAgain &&
			s.slowStart.admitsTrial(now, server, len(s.members.ready)) {
			server.trialPending = false
			return server
		}
	}
	return nil
}

// draw is one draw in progress.
type draw struct {
	*selection
	now     moment
	request *request
	stale   bool // the list alone shows nothing

	seeksEvidence bool // see listEvidence

	total   float64 // of the candidates' weights
	best    float64 // the highest weight of a healthy candidate
	spread  float64 // servers of a zone that the replica's calls are taken to be spread over
	warming bool    // a candidate is warming up and has to be limited
}

// gather collects the candidates: the replica's subset of the local zone first, then as many of other zones
// as the spillover asks for, and evacuated zones only where there is nothing else. Each step goes on until
// it has enough healthy and warm servers and at least one that the request may go to.
func (d *draw) gather() {
	d.candidates = d.candidates[:0]
	d.total, d.best, d.warming = 0, 0, false
	enough := d.subsetSize(d.now)
	remote := max(1, enough*d.locality.remoteWeight())
	d.spread = min(enough, float64(len(d.members.ready)/d.settings.ZoneCount))

	left := d.gatherFrom(d.members.local(), enough)
	if d.locality.localZoneCopes() && d.total > 0 {
		left = 1
	} else {
		left = max(left, remote)
	}
	d.gatherFrom(d.members.remote(), left)
	d.gatherFrom(d.members.evacuated(), 0)
}

// gatherFrom adds servers until they add up to enough warm and healthy ones and some candidate has a
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

// add makes a server a candidate and returns what it counts as towards the subset.
func (d *draw) add(server *server) (counts float64) {
	warmth := d.slowStart.factor(d.now, server)
	c := candidate{server: server, baseWeight: d.baseWeight(server),
		health: server.healthScore(d.request.Class)}
	d.warming = d.warming || d.slowStart.limitsDraw(warmth)
	if d.retries.sendWindow(d.now, d.request, server) != neverAgain {
		c.weight = d.weight(d.now, server, d.request.Class, c.baseWeight)
	}
	if d.request.triedOn(server) {
		c.weight *= triedWeightFactor
	}
	counts = c.health * warmth
	if d.stale {
		factor := d.listing.factor(d.now, server, d.seeksEvidence)
		if c.weight *= factor; factor <= unconfirmedWeight {
			counts = 0 // those with evidence may come after it
		}
	}
	d.total += c.weight
	if c.health >= healthyScore {
		d.best = max(d.best, c.weight)
	}
	d.candidates = append(d.candidates, c)
	return counts
}

// limitUnhealthy keeps unhealthy candidates to trials: a part of the best one's weight. One that fails fast
// holds few attempts and would draw the most otherwise.
func (d *draw) limitUnhealthy() {
	nonIdempotent := d.request.classRules().Idempotency == NonIdempotent
	for i := range d.candidates {
		c := &d.candidates[i]
		part := c.health
		if nonIdempotent && c.server.riskyForNonIdempotent() {
			part *= nonIdempotentTrialFactor
		}
		if over := c.weight - part*d.best; d.best > 0 && part < healthyScore && over > 0 {
			d.total, c.weight = d.total-over, part*d.best
		}
	}
}

// at is the candidate at which the sum of weights passes point; nil if none has a weight or point is below 0.
func (s *selection) at(point float64) (last *server) {
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

// baseWeight is a server's weight by its capacity hint and zone alone.
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

// weight is a server's weight for a class: its baseWeight, times factors for its health, slowness, age,
// tuning and the recovery of its zone, over a power of the attempts that it holds.
func (s *selection) weight(now moment, server *server, class int, baseWeight float64) float64 {
	slowness, health := server.latency.slowness, max(minHealthScore, server.healthScore(class))
	weight := health / (slowness * slowness) * s.slowStart.factor(now, server)
	weight *= baseWeight * server.tuning.factor / math.Pow(float64(1+server.inFlight), inFlightExponent)
	return weight * s.locality.recoveryFactor(server.Zone)
}

// healthScore is what is left of a server's weight for a class, 0 to 1. One that flaps has a steady one, or a
// lower one while it refuses connections.
func (s *server) healthScore(class int) float64 {
	score := s.outlier.score(class)
	if s.damping.active && (!s.outlier.connectionRefused || score > dampedWeight) {
		return dampedWeight
	}
	return score
}

// riskyForNonIdempotent reports whether a call that can't be repeated should rather go elsewhere.
func (s *server) riskyForNonIdempotent() bool {
	return s.damping.active || s.outlier.overallScore() < healthyScore
}
