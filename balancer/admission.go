package balancer

// The rules that are checked before each send, and how their counts are learned.

const (
	startLimit              = 1e6 // a count before its first round: a fresh copy refuses nothing while servers answer
	limitHeadroomFactor     = 1.5 // a good round leaves a count no higher than this times the calls it saw out: an
	limitHeadroomCalls      = 2.0 // unused count guards from no burst; and this many more, for chance at sparse copies
	cutPerBadFraction       = 0.6 // a bad round cuts a count or a share by this times its bad part
	feedbackRoundCalls      = 12  // finishes in a round of evidence: fewer are chance, more are late
	feedbackRoundObjectives = 2   // aims: a round with fewer finishes has lasted long enough
	maxSlowFraction         = 0.3 // a larger part of slow finishes makes a round bad for the shares and for home

	maxQuotaMultiple       = 2.0  // multiple of its share that a tenant may pass before any evidence, and at most
	overloadQuotaMultiple  = 1.0  // and after a bad round: what is over the shares goes first
	minQuotaMultiple       = 0.2  // and at least
	innerTierQuotaMultiple = 20.0 // start in a late tier: quotas count first calls, and the front has shed already
	burstDeviations        = 2.0  // standard deviations of a Poisson count above the mean that are taken for chance
	minWindowCalls         = 24.0 // a QPS window stretches until its count times its length is this much

	minLimit, minLimitInnerTier = 0.3, 8.0 // least counts: some calls must bring evidence; late refusals waste work

	maxLateFraction, maxLateFractionInnerTier = 0.4, 0.7 // a larger part of late or failed finishes makes a round bad; in a late tier

	quotaIncreaseAboveShare, quotaIncreaseBelowShare = 0.1, 0.15 // added after a good round: over a share calls are worth little; below

	limitIncrease, limitIncreaseFraction = 1.0, 0.2 // added to a count after a good round, but no more than this part of it

	arrivalDecay = 30 * second // over which a copy learns how many requests are usual

	initialMeanFraction = 0.25 // of the aim: a fresh copy's guess at the mean time
)

// canPass lets a fractional count work: its fraction is the chance u of one call more. A sparse copy with
// two calls in flight could otherwise shed nothing or half.
func (r *concurrencyLimit) admits(u float64) bool { return float64(r.inFlight)+1 <= r.max+u }

func (r *concurrencyLimit) learn(ev *feedbackRound, now, sent int64, bad bool) {
	f := ev.record(now, sent, bad)
	if f == 0 {
		return
	} else if f == 1 {
		used := max(r.min, limitHeadroomFactor*float64(r.peakInFlight)+limitHeadroomCalls)
		r.max = min(r.max+min(limitIncrease, limitIncreaseFraction*r.max), used)
	} else {
		r.max = max(r.min, min(r.max, float64(r.peakInFlight))*f)
	}
	r.peakInFlight = r.inFlight
}

func (b *Balancer) freshRule(span int64) concurrencyLimit {
	allowed, least := maxLateFraction, minLimit
	if b.s.Tier > 0 {
		allowed, least = maxLateFractionInnerTier, minLimitInnerTier
	}
	return concurrencyLimit{max: startLimit, min: least, feedback: feedbackRound{maxBadFraction: allowed, maxDuration: span}}
}

func (b *Balancer) freshClass(c Class) classState {
	first, span := initialMeanFraction*float64(c.LatencyObjective), feedbackRoundObjectives*c.LatencyObjective
	return classState{rule: b.freshRule(span), mean: first, base: first,
		yield: feedbackRound{maxBadFraction: maxSlowFraction, maxDuration: span}}
}

func (b *Balancer) canPass(now int64, q *request) bool {
	i := b.tenant(q)
	return b.tier.admits(b.rnd.Float64()) &&
		(i < 0 || b.tenants[i].admits(now, b.born, b.share*b.fair*b.s.Tenants[i].Share, b.room(now, i),
			b.rnd.Float64())) &&
		b.classes[q.Class].rule.admits(b.rnd.Float64())
}

// value is a class's worth for each unit of work, by the time that its calls take when little waits.
func (b *Balancer) value(class int) float64 {
	if b.s.WeightPerWork {
		return b.s.Classes[class].PriorityWeight
	}
	return b.s.Classes[class].PriorityWeight / b.classes[class].base
}

// threadRule limits calls in flight.
type concurrencyLimit struct {
	node
	max      float64
	min      float64
	feedback feedbackRound
}

// node holds the statistics that rules read: calls in flight and calls passed.
type node struct {
	inFlight     int
	peakInFlight int
	admitted     window
}

// enter counts a call in.
func (n *node) acquire() {
	n.inFlight++
	n.peakInFlight = max(n.peakInFlight, n.inFlight)
}

// count counts an attempt in: a server has begun with it, or is about to. One whose body is still coming is not
// counted yet, since how long that takes is its client's doing.
func (b *Balancer) count(q *request, a *attempt) {
	a.counted = true
	a.server.inFlight++
	b.tier.acquire()
	b.classes[q.Class].rule.acquire()
	if b.s.Tier == 0 {
		b.classes[q.Class].waiting = append(b.classes[q.Class].waiting, a)
	}
}

// leave counts an attempt out.
func (b *Balancer) leave(q *request, a *attempt) {
	if !a.counted {
		return
	}
	a.counted = false
	a.server.inFlight--
	b.tier.inFlight--
	b.classes[q.Class].rule.inFlight--
}
