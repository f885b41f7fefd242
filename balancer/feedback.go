package balancer

import "cmp"

// Feedback rounds: how often a limit, a quota or the spillover is adjusted, and how strongly. A round gathers
// the calls that were sent since the last adjustment, so that the effect of one adjustment is seen before the
// next one and replicas with few calls still adjust.

const (
	feedbackRoundCalls      = 12 // finished calls that complete a round
	feedbackRoundObjectives = 2  // latency objectives after which a round with fewer calls may end

	cutPerBadFraction = 0.6 // a bad round cuts by this times its bad fraction

	maxSlowFraction = 0.3 // of a round: more slow calls make it bad for quotas, preemption and the local zone
)

// feedbackRound is one round in progress.
type feedbackRound struct {
	startedAt      moment  // calls sent earlier don't count; 0: with the next call
	finished, bad  int     // calls
	maxBadFraction float64 // of a good round, 0 to 1
	maxDuration    span    // after which a round with few calls may end as a good one
}

// record takes the end of a call that was sent at sentAt. It returns 0 while the round is open. When the
// round ends it returns 1 if it was good, or else the factor to cut by, which is lower the more calls were
// bad. A round ends early, as a bad one, when no further call could make it good.
func (r *feedbackRound) record(now, sentAt moment, bad bool) (factor float64) {
	if r.startedAt = cmp.Or(r.startedAt, sentAt); sentAt < r.startedAt {
		return 0
	}
	r.finished++
	if bad {
		r.bad++
	}
	badFraction := float64(r.bad) / float64(max(r.finished, feedbackRoundCalls/2))
	open := now.since(r.startedAt) < r.maxDuration || float64(r.bad) > r.maxBadFraction*float64(r.finished)
	if float64(r.bad) <= r.maxBadFraction*feedbackRoundCalls && r.finished < feedbackRoundCalls && open {
		return 0
	}
	r.startedAt, r.finished, r.bad = now, 0, 0
	if badFraction <= r.maxBadFraction {
		return 1
	}
	return 1 - cutPerBadFraction*badFraction
}
