package balancer

import "cmp"

// Feedback rounds: determine when a limit, the quotas or the spillover weight is adjusted, and by how much. A
// round counts only calls that were sent after the previous adjustment, so that the effect of one adjustment
// is seen before the next one. It lasts for a number of calls, or ends with fewer after its maximum duration,
// so that replicas with few calls adjust, too.

const (
	feedbackRoundCalls      = 12 // finished calls that complete a round
	feedbackRoundObjectives = 2  // latency objectives after which a round with fewer calls may end

	// cutPerBadFraction: a bad round cuts by the fraction of its calls that were bad, times this.
	cutPerBadFraction = 0.6

	// maxSlowFraction is the fraction of slow calls above which a round is bad for quotas, preemption and the
	// local zone.
	maxSlowFraction = 0.3
)

// feedbackRound is the round in progress.
type feedbackRound struct {
	startedAt      moment  // calls sent earlier don't count; 0: the next call starts the round
	finished, bad  int     // numbers of calls
	maxBadFraction float64 // highest fraction of bad calls in a good round, 0 to 1
	maxDuration    span    // time after which a round with few calls may end as a good one
}

// record records the end of a call that was sent at sentAt. It returns 0 while the round is in progress. When
// the round ends, it returns 1 for a good round, or else the factor to cut by, which is lower the more calls
// were bad. A round ends early, as a bad one, as soon as no further call could make it good.
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
