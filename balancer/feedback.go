package balancer

import "cmp"

// round gathers finishes of calls sent since the last change, and judges them once they are enough, so
// that sparse copies learn by evidence and one trouble is answered by one cut.
type feedbackRound struct {
	startedAt      int64
	finished, bad  int
	maxBadFraction float64
	maxDuration    int64 // after this long a few finishes make a round
}

// add takes one finish. It returns 0 until the round can be judged, then 1 if it was good, or else the factor
// to cut by, lower the more of it was bad: a false alarm costs little and a jam is answered at once.
func (r *feedbackRound) record(now, sent int64, bad bool) (factor float64) {
	if r.startedAt = cmp.Or(r.startedAt, sent); sent < r.startedAt {
		return 0
	}
	r.finished++
	if bad {
		r.bad++
	}
	part := float64(r.bad) / float64(max(r.finished, feedbackRoundCalls/2))
	short := now-r.startedAt < r.maxDuration || float64(r.bad) > r.maxBadFraction*float64(r.finished)
	if float64(r.bad) <= r.maxBadFraction*feedbackRoundCalls && r.finished < feedbackRoundCalls && short {
		return 0
	}
	r.startedAt, r.finished, r.bad = now, 0, 0
	if part <= r.maxBadFraction {
		return 1
	}
	return 1 - cutPerBadFraction*part
}
