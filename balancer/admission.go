package balancer

// Admission: how many attempts may be in flight at once, for the tier and for each class, which class gives
// way to which, and when a rejected client may come back.
//
// Input: the ends of attempts, as late or timely. Output: whether one more attempt may be sent. A limit
// starts out of reach, rises after good feedback rounds and is cut after bad ones. An attempt over a limit
// is rejected at once and never queued: a queue would make all calls late.

const (
	startLimit = 1e6 // attempts: a new replica rejects nothing before its first round

	// After a good round a limit is at most the peak in flight times the factor, plus the calls: a limit that
	// is not used would admit a burst unchecked. The calls leave room for chance at replicas with few.
	limitHeadroomFactor, limitHeadroomCalls = 1.5, 2.0

	limitIncrease         = 1.0 // attempts added to a limit after a good round,
	limitIncreaseFraction = 0.2 // but no more than this fraction of it

	minLimit          = 0.3 // attempts: some have to pass, or a recovery would go unnoticed
	minLimitInnerTier = 8.0 // attempts: rejecting here wastes what the tiers before have done

	maxLateFraction          = 0.4 // of a round: more late calls make it bad for a limit
	maxLateFractionInnerTier = 0.7

	lateFraction    = 0.8 // of the latency objective: an answer that took longer is late
	preemptionRatio = 1.5 // a class gives way to one whose priority is more than this many times its own

	retryAfterFraction = 0.5 // of the latency objective: the longest Retry-After
)

// concurrencyLimit limits attempts in flight.
type concurrencyLimit struct {
	inFlight     int
	peakInFlight int     // since the last change of max
	max          float64 // attempts in flight; a fraction is the chance of one more
	min          float64 // that max is never cut below
	feedback     feedbackRound
}

// admits reports whether one more attempt may be sent; chance is drawn evenly from 0 to 1. It makes a
// fractional limit work: otherwise a replica with two calls in flight could shed none or half.
func (l *concurrencyLimit) admits(chance float64) bool { return float64(l.inFlight)+1 <= l.max+chance }

// acquire counts an attempt in.
func (l *concurrencyLimit) acquire() {
	l.inFlight++
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
}

// learn takes the end of an attempt into a round and adjusts the limit when the round ends.
func (l *concurrencyLimit) learn(round *feedbackRound, now, sentAt moment, bad bool) {
	switch factor := round.record(now, sentAt, bad); factor {
	case 0:
		return
	case 1:
		used := max(l.min, limitHeadroomFactor*float64(l.peakInFlight)+limitHeadroomCalls)
		l.max = min(l.max+min(limitIncrease, limitIncreaseFraction*l.max), used)
	default:
		l.max = max(l.min, min(l.max, float64(l.peakInFlight))*factor)
	}
	l.peakInFlight = l.inFlight
}

// classAdmission is what admission keeps of a class.
type classAdmission struct {
	limit      concurrencyLimit
	preemption feedbackRound // of calls of classes with a clearly higher priority
	awaiting   []*attempt    // front tier: in order of sending, those not yet known as slow
}

// attemptAdmission is what admission keeps of an attempt.
type attemptAdmission struct {
	counted      bool // it counts as in flight
	reportedSlow bool // it counted as slow before its end
}

// admission holds the limits of the tier; those of the classes are in shared.classes.
type admission struct {
	*shared
	tier       concurrencyLimit
	rejections [rejectReasonCount]int64 // requests by reason
}

func newAdmission(common *shared) *admission {
	a := &admission{shared: common}
	a.tier = a.newLimit(0) // see configure
	return a
}

// configure takes the duration of the tier's feedback round.
func (a *admission) configure(roundDuration span) { a.tier.feedback.maxDuration = roundDuration }

// newLimit is a limit that has seen nothing; maxDuration is that of its feedback round.
func (a *admission) newLimit(maxDuration span) concurrencyLimit {
	badFraction, least := maxLateFraction, minLimit
	if a.settings.Tier > 0 {
		badFraction, least = maxLateFractionInnerTier, minLimitInnerTier
	}
	return concurrencyLimit{max: startLimit, min: least,
		feedback: feedbackRound{maxBadFraction: badFraction, maxDuration: maxDuration}}
}

// newClass is the state of a class that has seen nothing.
func (a *admission) newClass(rules Class) classAdmission {
	duration := feedbackRoundObjectives * span(rules.LatencyObjective)
	return classAdmission{limit: a.newLimit(duration),
		preemption: feedbackRound{maxBadFraction: maxSlowFraction, maxDuration: duration}}
}

// admitsTier reports whether the tier has room for one more attempt.
func (a *admission) admitsTier() bool { return a.tier.admits(a.random.Float64()) }

// admitsClass reports whether a class has room for one more attempt.
func (a *admission) admitsClass(class int) bool {
	return a.classes[class].admission.limit.admits(a.random.Float64())
}

// admitsRetry reports whether tier and class both have room for a retry of a request; chance is drawn
// evenly from 0 to 1.
func (a *admission) admitsRetry(class int, chance float64) bool {
	return a.tier.admits(chance) && a.classes[class].admission.limit.admits(chance)
}

// acquire counts an attempt as in flight: its server has begun with it or is about to. One whose body is
// still pending is not counted yet, since that takes its client's time.
func (a *admission) acquire(class int, attempt *attempt) {
	attempt.admission.counted = true
	attempt.server.inFlight++
	a.tier.acquire()
	state := &a.classes[class].admission
	state.limit.acquire()
	if a.settings.Tier == 0 {
		state.awaiting = append(state.awaiting, attempt)
	}
}

// release counts an attempt out, if it was counted in.
func (a *admission) release(class int, attempt *attempt) {
	if !attempt.admission.counted {
		return
	}
	attempt.admission.counted = false
	attempt.server.inFlight--
	a.tier.inFlight--
	a.classes[class].admission.limit.inFlight--
}

// learn takes the end of an attempt into the limits of its tier and class.
func (a *admission) learn(now moment, class int, sentAt moment, late bool) {
	a.tier.learn(&a.tier.feedback, now, sentAt, late)
	limit := &a.classes[class].admission.limit
	limit.learn(&limit.feedback, now, sentAt, late)
}

// preempt cuts the limits of the classes that have to give way while calls of a class are slow. A class
// without a call in flight since its last change has nothing to give: its limit would fall to the least.
func (a *admission) preempt(now moment, class int, sentAt moment, slow bool) {
	for i := range a.classes {
		other := &a.classes[i].admission
		if other.limit.peakInFlight > 0 && a.priority(class) > preemptionRatio*a.priority(i) {
			other.limit.learn(&other.preemption, now, sentAt, slow)
		}
	}
}

// priority is a class's priority weight for each unit of work; where the settings state it for each
// request, the unloaded latency is taken for the work.
func (a *admission) priority(class int) float64 {
	if a.settings.WeightPerWork {
		return a.settings.Classes[class].PriorityWeight
	}
	return a.settings.Classes[class].PriorityWeight / a.classes[class].latency.unloaded
}

// slowInFlight returns, once for each, the attempts of a class that have been in flight for longer than
// threshold. In an overload they would otherwise be known as slow only at their end, seconds later.
func (a *admission) slowInFlight(now moment, class int, threshold span) (slow []*attempt) {
	state := &a.classes[class].admission
	for len(state.awaiting) > 0 && now.since(state.awaiting[0].sentAt) > threshold {
		attempt := state.awaiting[0]
		state.awaiting = state.awaiting[1:]
		if attempt.pending && !attempt.responseStarted {
			attempt.admission.reportedSlow = true
			slow = append(slow, attempt)
		}
	}
	return slow
}

// reject counts a rejection and returns its Retry-After in µs. It is at most half of the latency
// objective, so that the next answer can still be in time, and spread evenly, so that clients don't come
// back together.
func (a *admission) reject(request *request, reason RejectReason) (retryAfter int64) {
	a.rejections[reason]++
	objective := request.classRules().LatencyObjective
	longest := min(request.Settings.MaxRetryAfter, int64(retryAfterFraction*float64(objective)))
	return longest/2 + a.random.Int64N(longest/2+1)
}
