package balancer

import (
	"math"
	"slices"
)

// Tenant quotas: limit how many requests per second of each tenant are admitted while the tier is short of
// capacity.
//
// Input: each request with its tenant, and the ends of attempts as slow or not. Output: whether a request is
// within its tenant's quota. Each tenant gets its share of the rate that all quotas together allow this
// replica, times a multiple that is the same for all tenants. The multiple rises while calls are fast and is
// cut when they are slow.

const (
	maxQuotaMultiple              = 2.0  // initial and highest multiple
	maxQuotaMultipleAfterBadRound = 1.0  // after a bad round: what exceeds the quotas is shed first
	minQuotaMultiple              = 0.2  // lowest multiple
	innerTierQuotaMultiple        = 20.0 // initial and highest at an inner tier: the front tier has shed load

	quotaIncreaseAboveShare = 0.1  // added to a multiple of 1 or more after a good round
	quotaIncreaseBelowShare = 0.15 // added to a multiple below 1 after a good round

	// overloadedQuotaThreshold is the multiple at which, and below which, the tier counts as overloaded:
	// fewer random bursts are admitted, and only the latency objective decides which calls are slow.
	overloadedQuotaThreshold = 0.8

	// burstDeviations is the number of standard deviations above the mean of a Poisson distribution up to
	// which a count is put down to random variation.
	burstDeviations = 2.0

	minWindowCalls = 24.0 // the window of a tenant grows until its quota allows this many calls in it

	// throttlingLogInterval is the minimum time between two log events about throttling.
	throttlingLogInterval = 10 * seconds
)

// tenantQuota counts the requests of one tenant.
type tenantQuota struct {
	admitted window        // requests that were sent to a server
	requests decayingCount // requests received
}

// admits reports whether a rate, in requests per second, leaves room for one more request. chance is drawn
// uniformly from [0, 1), and burstChance is the probability with which a count above the rate is admitted as
// random variation. The window is longer for a small rate, so that fractions of a request count, but no
// longer than the time since the first request: a new replica would otherwise admit the requests of a long
// window at once.
func (t *tenantQuota) admits(now, firstRequestAt moment, rate, burstChance, chance float64) bool {
	length := 1 * seconds
	for length < maxWindow && rate*float64(length/seconds) < minWindowCalls &&
		now.since(firstRequestAt) >= length {
		length *= 2
	}
	admitted := t.admitted.count(now, length)
	quota := rate * float64(min(length, max(seconds, now.since(firstRequestAt)))) / float64(seconds)
	return admitted+1 <= quota+chance ||
		chance < burstChance && admitted <= quota+burstDeviations*math.Sqrt(quota)
}

// quotas holds the multiple and the counts of the tenants.
type quotas struct {
	*shared
	tenants                  []tenantQuota // indexed as Settings.Tenants
	fairRate                 float64       // requests per second: this replica's part of all quotas
	multiple                 float64       // factor of the rate that each tenant's share allows
	maxMultiple              float64       // initial and highest value of multiple
	maxMultipleAfterBadRound float64       // upper bound of multiple after a bad round
	feedback                 feedbackRound
	loggedAt                 moment // time of the latest log event about throttling; 0: never
}

// newQuotas returns the quota rule with the initial multiple for the tier.
func newQuotas(common *shared) *quotas {
	q := &quotas{shared: common, tenants: make([]tenantQuota, len(common.settings.Tenants)),
		multiple: maxQuotaMultiple, maxMultiple: maxQuotaMultiple,
		maxMultipleAfterBadRound: maxQuotaMultipleAfterBadRound}
	if common.settings.Tier > 0 {
		q.multiple = innerTierQuotaMultiple
		q.maxMultiple, q.maxMultipleAfterBadRound = innerTierQuotaMultiple, innerTierQuotaMultiple
	}
	return q
}

// configure derives the replica's rate from the settings in force. roundDuration is the maximum duration of a
// feedback round. All replicas are assumed to get equal parts of the traffic; the multiple of a replica that
// gets more rises accordingly.
func (q *quotas) configure(roundDuration span) {
	q.fairRate = 0
	for _, tenant := range q.settings.Tenants {
		q.fairRate += tenant.Quota / float64(q.settings.Replicas)
	}
	q.feedback.maxBadFraction, q.feedback.maxDuration = maxSlowFraction, roundDuration
}

// replaceTenants replaces the tenants of the previous settings, before, by those of the settings in force. A
// tenant that both contain, by name, keeps its counts.
func (q *quotas) replaceTenants(before *Settings) {
	tenants := make([]tenantQuota, len(q.settings.Tenants))
	for i, tenant := range q.settings.Tenants {
		former := slices.IndexFunc(before.Tenants, func(t Tenant) bool { return t.Name == tenant.Name })
		if former >= 0 {
			tenants[i] = q.tenants[former]
		}
	}
	q.tenants = tenants
}

// tenantIndex returns the index of the request's tenant in the settings in force, or -1 if it has none.
func (q *quotas) tenantIndex(request *request) int {
	if request.Tenant < 0 || request.Tenant >= len(request.Settings.Tenants) {
		return -1
	}
	if request.Settings == q.settings {
		return request.Tenant
	}
	name := request.Settings.Tenants[request.Tenant].Name
	return slices.IndexFunc(q.settings.Tenants, func(t Tenant) bool { return t.Name == name })
}

// recordRequest counts a request that was received from its tenant.
func (q *quotas) recordRequest(now moment, request *request) {
	if i := q.tenantIndex(request); i >= 0 {
		q.tenants[i].requests.add(now)
	}
}

// recordAdmitted counts a request that was sent to a server.
func (q *quotas) recordAdmitted(now moment, request *request) {
	if i := q.tenantIndex(request); i >= 0 {
		q.tenants[i].admitted.add(now)
	}
}

// admits reports whether a request is within its tenant's quota. A request without a tenant always is.
func (q *quotas) admits(now moment, request *request) bool {
	i := q.tenantIndex(request)
	if i < 0 {
		return true
	}
	rate := q.multiple * q.fairRate * q.settings.Tenants[i].Share
	burst := q.burstChance(now, i)
	return q.tenants[i].admits(now, q.arrivals.firstAt, rate, burst, q.random.Float64())
}

// burstChance returns the probability, from 0 to 1, with which a count above the quota is admitted as random
// variation, which is considerable at replicas with few calls. It is lower while calls are slow. It is 0 for
// a tenant that clearly sends more than its share of the quotas and, while calls are fast, also more than its
// share of the requests that this replica gets: traffic may have moved here from other replicas.
func (q *quotas) burstChance(now moment, tenant int) float64 {
	expected := q.fairRate * float64(min(now.since(q.arrivals.firstAt), arrivalDecay)) / float64(seconds)
	if q.multiple >= 1 {
		expected = max(expected, q.arrivals.recent.at(now))
	}
	expected *= q.settings.Tenants[tenant].Share
	if q.tenants[tenant].requests.at(now) > expected+burstDeviations*math.Sqrt(expected)+1 {
		return 0
	}
	return min(1, q.multiple/overloadedQuotaThreshold)
}

// recordCall records a call as slow or not and adjusts the multiple when the feedback round ends.
func (q *quotas) recordCall(now, sentAt moment, slow bool) {
	switch factor := q.feedback.record(now, sentAt, slow); {
	case factor == 1 && q.multiple < 1:
		q.multiple = min(1, q.multiple+quotaIncreaseBelowShare)
	case factor == 1:
		q.multiple = min(q.maxMultiple, q.multiple+quotaIncreaseAboveShare)
	case factor > 0:
		q.multiple = max(minQuotaMultiple, min(q.multiple, q.maxMultipleAfterBadRound)*factor)
	}
}

// logThrottling completes and logs event while traffic within the tenants' shares is rejected, at most once
// per throttlingLogInterval.
func (q *quotas) logThrottling(now moment, host Host, event TenantsThrottled) {
	if q.multiple >= 1 || now.since(q.loggedAt) < throttlingLogInterval && q.loggedAt != 0 {
		return
	}
	q.loggedAt = now
	event.Tier, event.QuotaMultiple = q.settings.Tier, q.multiple
	host.Log(event)
}
