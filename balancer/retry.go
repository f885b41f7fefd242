package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Retry: decides whether a request gets another attempt, to which servers it may be sent, when an attempt
// times out, and whether a request whose attempts failed is rejected or failed.
//
// Input: the request's class and attempts, and the times of requests and retries. Output: a deadline, an
// attempt timeout, a send window, and whether the retry budget allows one more retry.

// The retry budget for settings that do not state one.
const (
	defaultBudgetWindow = 10 * seconds
	defaultBudgetMin    = 5.0 // retries that are always allowed per window
	defaultBudgetRatio  = 0.1 // further retries per request received in the window
)

const (
	// attemptTimeoutMeanLatencies is the number of mean latencies of its class after which an attempt times
	// out where a retry may follow.
	attemptTimeoutMeanLatencies = 12.0

	// minRemainingMeanLatencies is the number of mean latencies of its class that a request needs to be
	// answered before its deadline.
	minRemainingMeanLatencies = 0.5
)

// retryPolicy holds the requests and retries that count towards the retry budget.
type retryPolicy struct {
	*shared
	requests eventTimes // requests received within the budget window
	retries  eventTimes // retries sent within the budget window

	// RetryBudgetMin is available only from this time on: another process of this proxy may have used it
	// before.
	minAvailableFrom moment
}

func newRetryPolicy(common *shared) *retryPolicy { return &retryPolicy{shared: common} }

// withDefaultBudget sets the default retry budget in settings that do not state one.
func withDefaultBudget(settings *Settings) {
	if settings.RetryBudgetWindow == 0 {
		settings.RetryBudgetWindow = int64(defaultBudgetWindow)
		settings.RetryBudgetMin, settings.RetryBudgetRatio = defaultBudgetMin, defaultBudgetRatio
	}
}

// deadline returns the time after which an answer has no value: the client's deadline or, at the front tier,
// the latency objective of a class whose late answers have no weight.
func (p *retryPolicy) deadline(request *request) moment {
	switch rules := request.classRules(); {
	case request.BodyPending:
		return math.MaxInt64 / 2
	case p.settings.Tier == 0 && rules.LateWeight == 0:
		return min(moment(request.Deadline), request.receivedAt.add(span(rules.LatencyObjective)))
	}
	return moment(request.Deadline)
}

// latestStart returns the time from now, in µs, by which a request must be sent to be answered before its
// deadline.
func (p *retryPolicy) latestStart(now moment, request *request) float64 {
	return float64(p.deadline(request).since(now)) -
		minRemainingMeanLatencies*p.classes[request.Class].latency.mean
}

// canMeetDeadline reports whether a request that is sent now can still be answered before its deadline.
func (p *retryPolicy) canMeetDeadline(now moment, request *request) bool {
	left := p.deadline(request).since(now)
	if request.BodyPending && request.Timeout > 0 {
		left = span(request.Timeout) // runs only from the end of the body
	}
	return float64(left) > minRemainingMeanLatencies*p.classes[request.Class].latency.mean
}

// attemptTimeout returns the timeout of an attempt that is sent now. The attempt is given up at the deadline,
// and earlier where a retry may follow, so that attempts do not stay in flight at a server that hangs. The
// timeout is 0 while the body is still being received.
func (p *retryPolicy) attemptTimeout(now moment, request *request) span {
	if request.BodyPending {
		return 0
	}
	left := p.deadline(request).since(now)
	rules := request.classRules()
	if rules.Idempotency != NonIdempotent && len(request.attempts) < request.Settings.MaxAttempts {
		left = min(left, span(attemptTimeoutMeanLatencies*p.classes[request.Class].latency.mean))
	}
	return max(left, 1)
}

// sendForbidden is the send window of a server that must not get the request.
const sendForbidden = -1

// sendWindow returns the time within which the last byte of a request has to be sent to a server; 0 is no
// limit. Once an attempt may have been executed, a non-idempotent request must not be sent to any server
// (sendForbidden). A request with an idempotency key may then be sent only to servers that share
// deduplication with the server of that attempt, and only until they forget the key.
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
		left = cmp.Or(left, attempt.sentAt.add(window).since(now)) // first attempt's window ends first
	}
	return left
}

// sharesDedup reports whether a server recognizes the idempotency key of an earlier attempt.
func sharesDedup(scope DedupScope, earlier *attempt, server *server) bool {
	switch scope {
	case DedupScopeZone:
		return earlier.zone == server.Zone
	case DedupScopeCell:
		return earlier.cell == server.Cell
	}
	return true
}

// mayReject reports whether a request may be rejected, which promises the client that sending it again is
// safe.
func (p *retryPolicy) mayReject(request *request) bool {
	rules := request.classRules()
	return rules.Idempotency == Idempotent ||
		rules.Idempotency == IdempotentWithKey && rules.DedupScope == DedupScopeAll ||
		!slices.ContainsFunc(request.attempts, func(a *attempt) bool { return a.mayHaveExecuted })
}

// mayHaveExecuted reports whether the server may have executed an attempt that ended with status.
func mayHaveExecuted(status Status, settings *Settings) bool {
	switch status {
	case StatusConnectFailed, StatusNotSent:
		return false
	case StatusRejected:
		return settings.RejectedMayHaveExecuted
	}
	return true
}

// window returns the length of the retry budget window.
func (p *retryPolicy) window() span { return span(p.settings.RetryBudgetWindow) }

// recordRequest counts a request towards the retry budget.
func (p *retryPolicy) recordRequest(now moment) { p.requests.add(now, p.window()) }

// recordRetry counts a retry towards the retry budget.
func (p *retryPolicy) recordRetry(now moment) { p.retries.add(now, p.window()) }

// budgetAllows reports whether the budget allows one more retry. The window ends now. At the moment when it
// begins, a retry still counts but a request does not.
func (p *retryPolicy) budgetAllows(now moment) bool {
	from, least := now.add(-p.window()), p.settings.RetryBudgetMin
	if now < p.minAvailableFrom {
		least = 0
	}
	allowed := least + p.settings.RetryBudgetRatio*p.requests.countSince(from+1)
	return p.retries.countSince(from)+1 <= allowed
}

// windowClearsAt returns the time from which no budget window contains a retry that this or another process
// has made up to now.
func (p *retryPolicy) windowClearsAt(now moment) moment { return now.add(p.window()) }

// extendWindow handles a longer budget window. Retries before the start of the former window are no longer
// known, so RetryBudgetMin is available again only when the new window contains none of them.
func (p *retryPolicy) extendWindow(now moment) {
	p.minAvailableFrom = max(p.minAvailableFrom, p.windowClearsAt(now))
}

// exportUsage hands the budget over to a successor: both its past usage and RetryBudgetMin. Retries that
// later requests earn stay with this process, so that the two processes together keep to the budget in every
// window.
func (p *retryPolicy) exportUsage(now moment) RetryBudgetUsage {
	p.requests.countSince(now.add(-p.window()))
	p.retries.countSince(now.add(-p.window()))
	usage := RetryBudgetUsage{Requests: p.requests, Retries: p.retries}
	p.requests, p.retries, p.minAvailableFrom = nil, nil, math.MaxInt64
	return usage
}

// importUsage imports the budget usage of a predecessor.
func (p *retryPolicy) importUsage(usage RetryBudgetUsage) {
	p.requests, p.retries = usage.Requests, usage.Retries
}

// reclaimMinimum makes RetryBudgetMin available again after the successor has ended, once no budget window
// contains a retry that it may have made.
func (p *retryPolicy) reclaimMinimum(now moment) {
	if p.minAvailableFrom == math.MaxInt64 {
		p.minAvailableFrom = p.windowClearsAt(now)
	}
}
