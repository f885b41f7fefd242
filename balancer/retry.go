package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Retry: whether a request gets another attempt, where this may go, when an attempt is given up, and
// whether a failed request may be rejected instead of failed.
//
// Input: the request's class and attempts, and the times of requests and retries. Output: a deadline, an
// attempt timeout, a send window, and whether the retry budget allows one more.

// The retry budget where the settings state none.
const (
	defaultBudgetWindow = 10 * seconds
	defaultBudgetMin    = 5.0 // retries in any window
	defaultBudgetRatio  = 0.1 // and so many for each request received in it
)

const (
	attemptTimeoutMeans = 12.0 // mean latencies after which an attempt is given up where a retry may follow
	minRemainingMeans   = 0.5  // mean latencies: a request with less time left can't be answered
)

// retryPolicy holds what the retry budget counts.
type retryPolicy struct {
	*shared
	requests eventTimes // received within the budget window
	retries  eventTimes // attempts beyond each request's first, within the budget window

	// RetryBudgetMin counts from then on: another process of this proxy may have used it before.
	minAvailableFrom moment
}

func newRetryPolicy(common *shared) *retryPolicy { return &retryPolicy{shared: common} }

// withDefaultBudget completes settings that state no retry budget.
func withDefaultBudget(settings *Settings) {
	if settings.RetryBudgetWindow == 0 {
		settings.RetryBudgetWindow = int64(defaultBudgetWindow)
		settings.RetryBudgetMin, settings.RetryBudgetRatio = defaultBudgetMin, defaultBudgetRatio
	}
}

// deadline is the time from which an answer is worth nothing: the client's deadline or, at the front
// tier, the latency objective of a class whose late answers have no weight.
func (p *retryPolicy) deadline(request *request) moment {
	switch rules := request.classRules(); {
	case request.BodyPending:
		return math.MaxInt64 / 2
	case p.settings.Tier == 0 && rules.LateWeight == 0:
		return min(moment(request.Deadline), request.receivedAt.add(span(rules.LatencyObjective)))
	}
	return moment(request.Deadline)
}

// latestStart is the time from now, in µs, by which a request has to be sent to be answered by its deadline.
func (p *retryPolicy) latestStart(now moment, request *request) float64 {
	return float64(p.deadline(request).since(now)) - minRemainingMeans*p.classes[request.Class].latency.mean
}

// canMeetDeadline reports whether a request that is sent now can still be answered by its deadline.
func (p *retryPolicy) canMeetDeadline(now moment, request *request) bool {
	left := p.deadline(request).since(now)
	if request.BodyPending && request.Timeout > 0 {
		left = span(request.Timeout) // from a moment on that is yet to come
	}
	return float64(left) > minRemainingMeans*p.classes[request.Class].latency.mean
}

// attemptTimeout is the time after which an attempt that is sent now is given up: at the deadline,
// and before that where a retry may follow, so that a server that hangs frees its slot. 0 while the body is
// pending.
func (p *retryPolicy) attemptTimeout(now moment, request *request) span {
	if request.BodyPending {
		return 0
	}
	left := p.deadline(request).since(now)
	rules := request.classRules()
	if rules.Idempotency != NonIdempotent && len(request.attempts) < request.Settings.MaxAttempts {
		left = min(left, span(attemptTimeoutMeans*p.classes[request.Class].latency.mean))
	}
	return max(left, 1)
}

// sendForbidden is the send window of a server that must not get the request.
const sendForbidden = -1

// sendWindow is the time within which a request's last byte has to reach the server; 0: no limit.
// Once an attempt may have been executed, a non-idempotent request may go nowhere (sendForbidden), and one
// with an idempotency key only to servers that share the key's memory, while these remember it.
func (p *retryPolicy) sendWindow(now moment, request *request, server *server) (left span) {
	rules := request.classRules()
	window := span(rules.DedupWindow)
	for _, attempt := range request.attempts {
		if !attempt.mayHaveExecuted || rules.Idempotency == Idempotent {
			continue
		}
		if rules.Idempotency == NonIdempotent || now.since(attempt.sentAt) >= window ||
			!sharesDedup(rules.DedupScope, attempt, server) {
			return sendForbidden
		}
		left = cmp.Or(left, attempt.sentAt.add(window).since(now)) // the first attempt's window ends first
	}
	return left
}

// sharesDedup reports whether a server recognises the idempotency key of an earlier attempt.
func sharesDedup(scope DedupScope, earlier *attempt, server *server) bool {
	switch scope {
	case DedupScopeZone:
		return earlier.zone == server.Zone
	case DedupScopeCell:
		return earlier.cell == server.Cell
	}
	return true
}

// mayReject reports whether a request may be rejected, which is a promise to the client that it may safely
// come again.
func (p *retryPolicy) mayReject(request *request) bool {
	rules := request.classRules()
	return rules.Idempotency == Idempotent ||
		rules.Idempotency == IdempotentWithKey && rules.DedupScope == DedupScopeAll ||
		!slices.ContainsFunc(request.attempts, func(a *attempt) bool { return a.mayHaveExecuted })
}

// mayHaveExecuted reports whether an attempt that ended so may have been executed by its server.
func mayHaveExecuted(status Status, settings *Settings) bool {
	switch status {
	case StatusConnectFailed, StatusNotSent:
		return false
	case StatusRejected:
		return settings.RejectedMayHaveExecuted
	}
	return true
}

// window is the span in which the budget counts.
func (p *retryPolicy) window() span { return span(p.settings.RetryBudgetWindow) }

// recordRequest counts a request for the budget.
func (p *retryPolicy) recordRequest(now moment) { p.requests.add(now, p.window()) }

// recordRetry counts a retry for the budget.
func (p *retryPolicy) recordRetry(now moment) { p.retries.add(now, p.window()) }

// budgetAllows reports whether one more retry is within the budget. The window ends now: a retry at its far
// edge counts, a request received there doesn't.
func (p *retryPolicy) budgetAllows(now moment) bool {
	from, least := now.add(-p.window()), p.settings.RetryBudgetMin
	if now < p.minAvailableFrom {
		least = 0
	}
	allowed := least + p.settings.RetryBudgetRatio*p.requests.countSince(from+1)
	return p.retries.countSince(from)+1 <= allowed
}

// windowClear is the time from which no budget window holds a retry made until now, here or
// elsewhere.
func (p *retryPolicy) windowClear(now moment) moment { return now.add(p.window()) }

// extendWindow handles a longer budget window: retries before the former one are
// forgotten, so that the minimum counts again only when the new window holds none of them.
func (p *retryPolicy) extendWindow(now moment) {
	p.minAvailableFrom = max(p.minAvailableFrom, p.windowClear(now))
}

// exportUsage hands the budget over: what was used of it and its minimum are the successor's. What further
// requests earn stays here, so that the two together keep to the budget in every window.
func (p *retryPolicy) exportUsage(now moment) RetryBudgetUsage {
	p.requests.countSince(now.add(-p.window()))
	p.retries.countSince(now.add(-p.window()))
	usage := RetryBudgetUsage{Requests: p.requests, Retries: p.retries}
	p.requests, p.retries, p.minAvailableFrom = nil, nil, math.MaxInt64
	return usage
}

// importUsage takes what a predecessor has used of the budget.
func (p *retryPolicy) importUsage(usage RetryBudgetUsage) {
	p.requests, p.retries = usage.Requests, usage.Retries
}

// reclaimMinimum takes the minimum back from a successor that has ended, once no window holds what that may have
// used.
func (p *retryPolicy) reclaimMinimum(now moment) {
	if p.minAvailableFrom == math.MaxInt64 {
		p.minAvailableFrom = p.windowClear(now)
	}
}
