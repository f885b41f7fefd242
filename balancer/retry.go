package balancer

import (
	"cmp"
	"math"
	"slices"
)

// What becomes of a request: sent, refused, sent again, answered. Rules 1, 2, 5 and 6 are kept here.

const (
	retryAfterFraction = 0.5 // of the aim: the longest hint

	attemptTimeoutMeans = 12.0 // an attempt is given up after this many mean times
	minRemainingMeans   = 0.5  // a request with less time left than this many mean times cannot make it

	queueTimeoutTimer, cooldownTimer = "held ", "turn " // and a request, and a key
)

// deadline is when an answer stops being worth anything.
func (b *Balancer) deadline(q *request) int64 {
	switch k := q.Settings.Classes[q.Class]; {
	case q.BodyPending:
		return math.MaxInt64 / 2
	case b.s.Tier == 0 && k.LateWeight == 0:
		return min(q.Deadline, q.receivedAt+k.LatencyObjective)
	}
	return q.Deadline
}

// inTime tells whether a request can still be answered while that is worth something.
func (b *Balancer) inTime(now int64, q *request) bool {
	return float64(b.deadline(q)-now) > minRemainingMeans*b.classes[q.Class].mean
}

// timeout gives an attempt up when its answer would be worth nothing, and before that where another may
// follow, so that a hung server frees its slot.
func (b *Balancer) timeout(now int64, q *request) int64 {
	if q.BodyPending {
		return 0
	}
	left := b.deadline(q) - now
	if q.Settings.Classes[q.Class].Idempotency != NonIdempotent && len(q.attempts) < q.Settings.MaxAttempts {
		left = min(left, int64(attemptTimeoutMeans*b.classes[q.Class].mean))
	}
	return max(left, 1)
}

// within keeps rule 2 for a further attempt: once one may have run, an unsafe request goes nowhere (-1), a
// keyed one only to the group that drops its repeats, while that remembers it: for so long; 0 for no limit.
func (b *Balancer) within(now int64, q *request, s *server) (left int64) {
	k := q.Settings.Classes[q.Class]
	for _, a := range q.attempts {
		if !a.mayHaveExecuted || k.Idempotency == Idempotent {
			continue
		}
		if k.Idempotency == NonIdempotent || now-a.sentAt >= k.DedupWindow ||
			k.DedupScope == DedupScopeZone && a.zone != s.Zone || k.DedupScope == DedupScopeCell && a.cell != s.Cell {
			return -1
		}
		left = cmp.Or(left, a.sentAt+k.DedupWindow-now) // the first one's ends first
	}
	return left
}

// mayRefuse keeps rule 2 for a refusal, which tells the client that trying again is harmless.
func (b *Balancer) mayRefuse(q *request) bool {
	k := q.Settings.Classes[q.Class]
	return k.Idempotency == Idempotent || k.Idempotency == IdempotentWithKey && k.DedupScope == DedupScopeAll ||
		!slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.mayHaveExecuted })
}

// unspent is from when on no window holds what was spent of the budget until now, here or elsewhere.
func (b *Balancer) unspent(now int64) int64 { return now + b.s.RetryBudgetWindow }

// Without a stated budget: its span, the further attempts in it, and those for each request taken.
const defaultBudgetWindow, defaultBudgetMin, defaultBudgetRatio = 10 * second, 5.0, 0.1
