package balancer

import "math"

// How the allowance for further attempts passes to a successor and back: docs/policy.md says why that is no decision.

// HandOver tells a successor, which serves beside this Balancer from now on, what has been used of the
// allowance for further attempts. The free part of it and what was earned are the successor's then; this one
// keeps what further requests earn it, so that the two together stay within the rule in every window.
func (b *Balancer) ExportRetryBudget(now int64) RetryBudgetUsage {
	b.taken.countSince(now - b.s.RetryBudgetWindow)
	b.further.countSince(now - b.s.RetryBudgetWindow)
	s := RetryBudgetUsage{Requests: b.taken, Retries: b.further}
	b.taken, b.further, b.free, b.shared = nil, nil, math.MaxInt64, true
	return s
}

// Inherit takes what a predecessor handed over, before the first request. It may send on for a while.
func (b *Balancer) ImportRetryBudget(s RetryBudgetUsage) {
	b.taken, b.further, b.shared = s.Requests, s.Retries, true
}

// Alone takes the news that the other process has ended. A predecessor that outlives its successor has the
// free part of the allowance again when no window holds what that one may have used of it.
func (b *Balancer) HandleOtherProcessExit(now int64) {
	b.shared = false
	if b.free == math.MaxInt64 {
		b.free = b.unspent(now)
	}
}
