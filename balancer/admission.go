package balancer

// Admission: limits the attempts in flight of the tier and of each class, cuts the limits of classes with a
// low priority in favor of those with a higher one, and sets the Retry-After of rejected requests.
//
// Input: the outcomes of attempts, as late or timely. Output: whether one more attempt may be sent. A limit
// starts so high that it never rejects, rises after good feedback rounds and is cut after bad ones. An
// attempt over a limit is rejected at once and never queued: a queue would make all calls late.

const (
	initialLimit = 1e6 // attempts: a new replica rejects nothing before its first feedback round ends

	// After a good round a limit is at most limitHeadroomFactor times the peak of attempts in flight, plus
	// limitHeadroomCalls: an unused high limit would admit a burst unchecked. limitHeadroomCalls leaves room
	// for random variation at replicas with few calls.
	limitHeadroomFactor, limitHeadroomCalls = 1.5, 2.0

	limitIncrease         = 1.0 // attempts added to a limit after a good round,
	limitIncreaseFraction = 0.2 // but at most this fraction of the limit

	minLimit          = 0.3 // attempts: without any, a recovery would go unnoticed
	minLimitInnerTier = 8.0 // attempts: a rejection here wastes the work of the tiers in front

	maxLateFraction          = 0.4 // of a round's calls: if more are late, the round is bad for a limit
	maxLateFractionInnerTier = 0.7 // the same at an inner tier

	lateFraction = 0.8 // of the latency objective: an answer that took longer counts as late

	// preemptionRatio: a class is preempted by classes whose priority is more than this many times its own.
	preemptionRatio = 1.5

	retryAfterFraction = 0.5 // of the latency objective: the longest Retry-After
)

// concurrencyLimit limits the number of attempts in flight.
type concurrencyLimit struct {
	inFlight     int
	peakInFlight int     // highest inFlight since the last change of max
	max          float64 // attempts in flight; its fractional part is the probability of admitting one more
	min          float64 // lower bound of max
	feedback     feedbackRound
}

// admits reports whether one more attempt may be sent. The caller draws chance uniformly from [0, 1), which
// gives a fractional limit its effect: without it, a replica with two calls in flight could only shed none or
// half of them.
func (l *concurrencyLimit) admits(chance float64) bool { return float64(l.inFlight)+1 <= l.max+chance }

// acquire counts one more attempt in flight.
func (l *concurrencyLimit) acquire() {
	l.inFlight++
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
}

// recordCall records the end of an attempt in a feedback round and adjusts the limit when that round ends.
// sentAt is when the attempt was sent.
func (l *concurrencyLimit) recordCall(round *feedbackRound, now, sentAt moment, bad bool) {
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

// classAdmission is the admission state of a class.
type classAdmission struct {
	limit      concurrencyLimit
	preemption feedbackRound // counts slow calls of classes with a clearly higher priority
	unchecked  []*attempt    // front tier only: attempts in order of sending, not yet checked for slowness
}

// attemptAdmission is the admission state of an attempt.
type attemptAdmission struct {
	counted     bool // counted as in flight
	countedSlow bool // counted as slow before its end
}

// admission holds the limit of the tier and the number of rejections. The limits of the classes are in
// shared.classes.
type admission struct {
	*shared
	tier       concurrencyLimit
	rejections [rejectReasonCount]int64 // rejected requests by reason
}

// newAdmission returns the admission rule with the initial limit of the tier.
func newAdmission(common *shared) *admission {
	a := &admission{shared: common}
	a.tier = a.newLimit(0) // configure sets the duration of its round
	return a
}

// configure sets the maximum duration of the tier's feedback round.
func (a *admission) configure(roundDuration span) { a.tier.feedback.maxDuration = roundDuration }

// newLimit returns a limit without any recorded calls. maxDuration is the maximum duration of its feedback
// round.
func (a *admission) newLimit(maxDuration span) concurrencyLimit {
	badFraction, least := maxLateFraction, minLimit
	if a.settings.Tier > 0 {
		badFraction, least = maxLateFractionInnerTier, minLimitInnerTier
	}
	return concurrencyLimit{max: initialLimit, min: least,
		feedback: feedbackRound{maxBadFraction: badFraction, maxDuration: maxDuration}}
}

// newClass returns the state of a class without any recorded calls.
func (a *admission) newClass(rules Class) classAdmission {
	duration := feedbackRoundObjectives * span(rules.LatencyObjective)
	return classAdmission{limit: a.newLimit(duration),
		preemption: feedbackRound{maxBadFraction: maxSlowFraction, maxDuration: duration}}
}

// admitsTier reports whether the limit of the tier admits one more attempt.
func (a *admission) admitsTier() bool { return a.tier.admits(a.random.Float64()) }

// admitsClass reports whether the limit of a class admits one more attempt.
func (a *admission) admitsClass(class int) bool {
	return a.classes[class].admission.limit.admits(a.random.Float64())
}

// admitsRetry reports whether the limits of both the tier and the class admit a retry. The caller draws
// chance uniformly from [0, 1).
func (a *admission) admitsRetry(class int, chance float64) bool {
	return a.tier.admits(chance) && a.classes[class].admission.limit.admits(chance)
}

// acquire counts an attempt as in flight: its server is working on it, or will be as soon as it arrives. An
// attempt whose request body is still being received is not counted yet, since the client determines how long
// that takes.
func (a *admission) acquire(class int, attempt *attempt) {
	attempt.admission.counted = true
	attempt.server.inFlight++
	a.tier.acquire()
	state := &a.classes[class].admission
	state.limit.acquire()
	if a.settings.Tier == 0 {
		state.unchecked = append(state.unchecked, attempt)
	}
}

// release stops counting an attempt as in flight, if it was counted.
func (a *admission) release(class int, attempt *attempt) {
	if !attempt.admission.counted {
		return
	}
	attempt.admission.counted = false
	attempt.server.inFlight--
	a.tier.inFlight--
	a.classes[class].admission.limit.inFlight--
}

// recordCall records the end of an attempt, late or timely, in the limits of the tier and of its class.
func (a *admission) recordCall(now moment, class int, sentAt moment, late bool) {
	a.tier.recordCall(&a.tier.feedback, now, sentAt, late)
	limit := &a.classes[class].admission.limit
	limit.recordCall(&limit.feedback, now, sentAt, late)
}

// preempt records a call of a class, slow or not, against the limits of all classes with a clearly lower
// priority, which are cut while such calls are slow. A class without a call in flight since its limit last
// changed is left out: there is no load to reduce, and its limit would only fall to the minimum.
func (a *admission) preempt(now moment, class int, sentAt moment, slow bool) {
	for i := range a.classes {
		other := &a.classes[i].admission
		if other.limit.peakInFlight > 0 && a.priority(class) > preemptionRatio*a.priority(i) {
			other.limit.recordCall(&other.preemption, now, sentAt, slow)
		}
	}
}

// priority returns the priority weight of a class per unit of work. Where the settings give the weight per
// request, the unloaded latency stands for the work of a request.
func (a *admission) priority(class int) float64 {
	if a.settings.WeightPerWork {
		return a.settings.Classes[class].PriorityWeight
	}
	return a.settings.Classes[class].PriorityWeight / a.classes[class].latency.unloaded
}

// slowInFlight returns the attempts of a class that have been in flight for longer than threshold, each
// attempt only once. Without this, an overload would show only when these attempts end, seconds later.
func (a *admission) slowInFlight(now moment, class int, threshold span) (slow []*attempt) {
	state := &a.classes[class].admission
	for len(state.unchecked) > 0 && now.since(state.unchecked[0].sentAt) > threshold {
		attempt := state.unchecked[0]
		state.unchecked = state.unchecked[1:]
		if attempt.pending && !attempt.responseStarted {
			attempt.admission.countedSlow = true
			slow = append(slow, attempt)
		}
	}
	return slow
}

// reject counts a rejection and returns its Retry-After in µs. The Retry-After is at most half of the
// latency objective, so that the next attempt of the client can still be in time, and it is spread over the
// upper half of that range, so that clients do not all come back at once.
func (a *admission) reject(request *request, reason RejectReason) (retryAfter int64) {
	a.rejections[reason]++
	objective := request.classRules().LatencyObjective
	longest := min(request.Settings.MaxRetryAfter, int64(retryAfterFraction*float64(objective)))
	return longest/2 + a.random.Int64N(longest/2+1)
}
