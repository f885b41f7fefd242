package balancer

import "math"

// Which server a call goes to.

const (
	inFlightExponent         = 8.0  // how sharply a weight falls with the calls of this copy that its server holds
	triedWeightFactor        = 1e-6 // weight left to a server that the request has tried, for when there is no other
	nonIdempotentTrialFactor = 0.2  // of the trials of a silent server go on with calls that cannot be made again
	healthyScore             = 0.5  // of its health left: a server below it only gets trials
	warmupMargin             = 0.6  // part of its least capacity that a cold server is given
	overloadMargin           = 0.65 // of what tips a cold server over is the most that all copies may send it
)

// draw picks a ready server of this copy's subset at random by weight; those tried before come last. The
// subset grows where it has too few warm and healthy servers, or none that the request may go to. One back
// from a ban gets the first call that it stands, wherever it is: who called it back wants to see it serve.
func (b *Balancer) draw(now int64, q *request) *server {
	b.draws.add(now)
	for _, s := range b.ready {
		if s.probePending && b.within(now, q, s) >= 0 && b.stands(now, s) {
			s.probePending = false
			return s
		}
	}
	stale := b.stale(now)
	if s := b.trial(now, q); s != nil && !stale {
		return s
	}
	b.drawn, b.weights = b.drawn[:0], b.weights[:0]
	total, best, room := 0.0, 0.0, b.subset(now)
	beyond, spread, cold := max(1, room*b.beyond()), min(room, float64(len(b.ready)/b.s.ZoneCount)), false
	for i := 0; i < len(b.ready); i++ {
		if i < b.near && room <= 0 && total > 0 {
			i = b.near
		}
		if i == b.near && b.homeCopes() && total > 0 {
			room = 1
		} else if i == b.near {
			room = max(room, beyond)
		}
		if i == b.far {
			room = 0
		}
		if i == len(b.ready) || room <= 0 && total > 0 {
			break
		}
		s := b.ready[i]
		warmth := b.warmth(now, s)
		room, cold = room-s.healthScore(q.Class)*warmth, cold || warmth < 1 && b.s.OverloadMultiple > 0
		w := 0.0
		if b.within(now, q, s) >= 0 {
			w = b.weigh(now, s, q.Class)
		}
		if q.triedOn(s) {
			w *= triedWeightFactor
		}
		if stale {
			w *= b.listedPart(now, s)
		}
		total += w
		if s.healthScore(q.Class) >= healthyScore {
			best = max(best, w)
		}
		b.drawn, b.weights = append(b.drawn, s), append(b.weights, w)
	}
	// One that fails fast holds few calls, so it would draw the most: its trials are a part of the best.
	for i, s := range b.drawn {
		part, unsafe := s.healthScore(q.Class), q.Settings.Classes[q.Class].Idempotency == NonIdempotent
		if unsafe && (s.damped || s.whole.score*s.told < healthyScore) {
			part *= nonIdempotentTrialFactor
		}
		if over := b.weights[i] - part*best; best > 0 && part < healthyScore && over > 0 {
			total, b.weights[i] = total-over, part*best
		}
	}
	x := b.rnd.Float64() * total
	if cold {
		x -= b.ration(now, q.Class, total, spread)
	}
	return b.pick(x)
}

// healthFor is a server's for a class; that of a damped one is steady, or less if it refuses connections.
func (s *server) healthScore(class int) float64 {
	left := s.whole.score * s.classes[class].score * s.told
	if s.damped && (!s.refused || left > dampedWeight) {
		return dampedWeight
	}
	return left
}

// reach is how far calls go to a server for its size and zone alone.
func (b *Balancer) reach(s *server) float64 {
	w := 1.0
	if b.s.CapacityHints && s.CapacityHint > 0 {
		w = s.CapacityHint
	}
	if s.Zone != b.s.Zone { // calls stay at home while home copes
		w *= b.beyond()
	}
	return w
}

// weigh is a server's weight by its size, age and zone, what was learned of it and the calls that it holds.
func (b *Balancer) weigh(now int64, s *server, class int) float64 {
	w := max(minHealthScore, s.healthScore(class)) / (s.slowness * s.slowness) * b.warmth(now, s)
	w *= b.reach(s) * s.tuned / math.Pow(float64(1+s.inFlight), inFlightExponent)
	if z := b.zone(s.Zone); z != nil && z.Phase != ZoneEvacuated { // one that is away comes last anyway
		w *= z.WeightFraction
	}
	return w
}

// pick returns the drawn server at which the sum of weights passes x, or nil if none has weight or x is below 0.
func (b *Balancer) pick(x float64) (last *server) {
	for i, w := range b.weights {
		if w > 0 && x >= 0 {
			last = b.drawn[i]
			if x -= w; x < 0 {
				break
			}
		}
	}
	return last
}

// subset is how many warm and healthy servers this copy's calls are spread over.
func (b *Balancer) subset(now int64) float64 {
	rate := b.tier.admitted.count(now, maxWindow) / float64(maxWindow/second)
	return max(minSubset, subsetPerRootRate*math.Sqrt(rate))
}
