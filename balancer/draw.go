package balancer

// Which server a call goes to.

import (
	"cmp"
	"math"
)

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

// ration keeps rule 4 for the sum of all copies: by weight alone a cold server without calls, beside warm
// ones that have some or fail, draws the most by far. Its chance is held to what it stands (see rush). The
// rest goes to the least ill of the warm ones, as far as they are healthy, or is refused: that is returned.
func (b *Balancer) ration(now int64, class int, total, spread float64) (refused float64) {
	all, warm, able := 0.0, 0.0, 0.0
	for i, s := range b.drawn {
		s.warmFraction, all = b.grown(now, s), all+b.reach(s)
		able = max(able, s.healthScore(class)*indicator(s.warmFraction == 1 && b.weights[i] > 0))
	}
	usual, present := b.rush(now)
	most := total * overloadMargin * b.s.OverloadMultiple * min(1, (usual+1)/present) / max(all, spread)
	takes := func(s *server) bool { return s.warmFraction == 1 && s.healthScore(class) >= min(able, healthyScore) }
	for i, s := range b.drawn {
		if over := b.weights[i] - most*b.reach(s)*s.warmFraction; s.warmFraction < 1 && over > 0 {
			b.weights[i], refused = b.weights[i]-over, refused+over
		} else if takes(s) {
			warm += b.weights[i]
		}
	}
	more := refused * min(1, able/healthyScore) / max(warm, math.SmallestNonzeroFloat64)
	for i, s := range b.drawn {
		if takes(s) {
			b.weights[i] *= 1 + more
		}
	}
	return refused - more*warm
}

// stands tells whether one back from a ban may get a call: by chance, if this copy's part of it is under one.
func (b *Balancer) stands(now int64, s *server) bool {
	usual, present := b.rush(now)
	part := usual * overloadMargin * b.s.OverloadMultiple * b.grown(now, s) / float64(len(b.ready))
	return b.grown(now, s) == 1 || b.s.OverloadMultiple == 0 || part >= 1 || b.rnd.Float64() < part/present
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

// warmth keeps a cold server's weight under the least capacity that one of its age has (rule 4).
func (b *Balancer) warmth(now int64, s *server) float64 {
	part := b.grown(now, s)
	if part == 1 {
		return 1
	}
	if b.shared { // the other process sends there too
		part /= 2
	}
	return warmupMargin * part
}

// grown is the least part of its capacity that a server of its age has.
func (b *Balancer) grown(now int64, s *server) float64 {
	started := cmp.Or(s.LocalStartTime, s.StartTime)
	age := now - started
	if started == 0 || age >= b.s.SlowStartDuration {
		return 1
	}
	return b.s.SlowStartMinCapacity + (1-b.s.SlowStartMinCapacity)*float64(max(age, 0))/float64(b.s.SlowStartDuration)
}

// rush is how many requests usually come to this copy in Settings.FallSpan, and how many draws it has made in
// the one that ends now. By these it judges what a cold server stands, as no copy knows its capacity or what
// others send; docs/policy.md says what is taken for granted. Each draw has a chance, not each copy a number
// of calls, so that the sum of all copies is as chance has it by Poisson, be they few or many.
func (b *Balancer) rush(now int64) (usual, present float64) {
	span := min(b.s.OverloadWindow, maxWindow)
	seen := -math.Expm1(-float64(max(now-b.born, span)) / float64(arrivalDecay)) // of what a tally comes to hold
	return b.came.at(now) * float64(span) / (float64(arrivalDecay) * seen), max(1, b.draws.count(now, span))
}
