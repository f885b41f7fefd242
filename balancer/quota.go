package balancer

import (
	"math"
	"slices"
)

// Tenant quotas: how many requests a second each tenant may have admitted while the tier is short of
// capacity.
//
// Input: each request with its tenant, and the ends of attempts as slow or not. Output: whether a request
// is within its tenant's quota. A tenant gets its share of the rate that all quotas together give this
// replica, times a multiple that all tenants have in common: it rises while calls are fast and is cut when
// they are slow.

const (
	maxQuotaMultiple       = 2.0  // at the start and at most
	overloadQuotaMultiple  = 1.0  // at most after a bad round: what is over the quotas goes first
	minQuotaMultiple       = 0.2  // at least
	innerTierQuotaMultiple = 20.0 // at an inner tier: the front tier has shed already

	quotaIncreaseAboveShare = 0.1  // added to the multiple after a good round from 1 on
	quotaIncreaseBelowShare = 0.15 // and below 1

	// From this multiple down the tier is overloaded: chance is allowed for less, and only the latency
	// objective says what is slow.
	overloadedQuotaMultiple = 0.8

	burstDeviations = 2.0  // standard deviations above the mean of a Poisson count that are taken for chance
	minWindowCalls  = 24.0 // a tenant's window grows until the quota allows this many calls in it

	throttlingLogInterval = 10 * seconds
)

// tenantQuota is what one tenant has sent.
type tenantQuota struct {
	admitted window
	requests decayingCount
}

// admits reports whether a rate, in requests a second, has room for one more; chance is drawn evenly from 0
// to 1 and burstChance is the probability that a count above the rate is taken for chance. The window grows
// for a small rate, so that fractions work, but not beyond the time since the first request: that would
// admit a long window's worth at once.
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

// quotas holds the multiple and the tenants' counts.
type quotas struct {
	*shared
	tenants          []tenantQuota // by Settings.Tenants
	fairRate         float64       // requests a second: this replica's part of all quotas
	multiple         float64       // of its share that each tenant may have admitted
	maxMultiple      float64
	overloadMultiple float64 // after a bad round, at most
	feedback         feedbackRound
	loggedAt         moment // when throttling was last logged; 0: never
}

func newQuotas(common *shared) *quotas {
	q := &quotas{shared: common, tenants: make([]tenantQuota, len(common.settings.Tenants)),
		multiple: maxQuotaMultiple, maxMultiple: maxQuotaMultiple, overloadMultiple: overloadQuotaMultiple}
	if common.settings.Tier > 0 {
		q.multiple = innerTierQuotaMultiple
		q.maxMultiple, q.overloadMultiple = innerTierQuotaMultiple, innerTierQuotaMultiple
	}
	return q
}

// configure takes what follows from the settings in force; roundDuration is that of a feedback
// round. All replicas are taken to get equal parts; one that carries more learns a higher multiple.
func (q *quotas) configure(roundDuration span) {
	q.fairRate = 0
	for _, tenant := range q.settings.Tenants {
		q.fairRate += tenant.Quota / float64(q.settings.Replicas)
	}
	q.feedback.maxBadFraction, q.feedback.maxDuration = maxSlowFraction, roundDuration
}

// replaceTenants takes the tenants of the settings in force. A tenant of the same name keeps its counts.
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

// tenantOf is the number that the request's tenant has now, -1 without one.
func (q *quotas) tenantOf(request *request) int {
	if request.Tenant < 0 || request.Tenant >= len(request.Settings.Tenants) {
		return -1
	}
	if request.Settings == q.settings {
		return request.Tenant
	}
	name := request.Settings.Tenants[request.Tenant].Name
	return slices.IndexFunc(q.settings.Tenants, func(t Tenant) bool { return t.Name == name })
}

// recordRequest counts a request that its tenant has sent.
func (q *quotas) recordRequest(now moment, request *request) {
	if i := q.tenantOf(request); i >= 0 {
		q.tenants[i].requests.add(now)
	}
}

// recordAdmitted counts a request that was sent.
func (q *quotas) recordAdmitted(now moment, request *request) {
	if i := q.tenantOf(request); i >= 0 {
		q.tenants[i].admitted.add(now)
	}
}

// admits reports whether a request is within its tenant's quota; one without a tenant always is.
func (q *quotas) admits(now moment, request *request) bool {
	i := q.tenantOf(request)
	if i < 0 {
		return true
	}
	rate := q.multiple * q.fairRate * q.settings.Tenants[i].Share
	burst := q.burstChance(now, i)
	return q.tenants[i].admits(now, q.arrivals.firstAt, rate, burst, q.random.Float64())
}

// burstChance is the probability, 0 to 1, that a count above the quota is taken for chance, as replicas
// with few calls have it by itself. It is less while calls are slow, and 0 for a tenant that clearly sends
// more than its share of the quotas and, while nothing is slow, of what this replica gets: traffic may have
// moved here.
func (q *quotas) burstChance(now moment, tenant int) float64 {
	expected := q.fairRate * float64(min(now.since(q.arrivals.firstAt), arrivalDecay)) / float64(seconds)
	if q.multiple >= 1 {
		expected = max(expected, q.arrivals.recent.at(now))
	}
	expected *= q.settings.Tenants[tenant].Share
	if q.tenants[tenant].requests.at(now) > expected+burstDeviations*math.Sqrt(expected)+1 {
		return 0
	}
	return min(1, q.multiple/overloadedQuotaMultiple)
}

// learn takes a call, slow or not, and adjusts the multiple when its feedback round ends.
func (q *quotas) learn(now, sentAt moment, slow bool) {
	switch factor := q.feedback.record(now, sentAt, slow); {
	case factor == 1 && q.multiple < 1:
		q.multiple = min(1, q.multiple+quotaIncreaseBelowShare)
	case factor == 1:
		q.multiple = min(q.maxMultiple, q.multiple+quotaIncreaseAboveShare)
	case factor > 0:
		q.multiple = max(minQuotaMultiple, min(q.multiple, q.overloadMultiple)*factor)
	}
}

// logThrottling logs event, at most once in throttlingLogInterval, while traffic within the shares is
// rejected.
func (q *quotas) logThrottling(now moment, host Host, event TenantsThrottled) {
	if q.multiple >= 1 || now.since(q.loggedAt) < throttlingLogInterval && q.loggedAt != 0 {
		return
	}
	q.loggedAt = now
	event.Tier, event.QuotaMultiple = q.settings.Tier, q.multiple
	host.Log(event)
}
