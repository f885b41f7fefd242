package balancer

import (
	"cmp"
	"math"
)

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
