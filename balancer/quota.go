package balancer

import (
	"math"
	"slices"
)

// originRule limits the calls passed per second for one tenant.
type tenantQuota struct {
	node
	requests decayingCount // its requests
}

// canPass stretches the one-second window of a small count, so that fractions work, but not beyond a fresh
// copy's life: that would pass a long window's worth at once. Room for chance guards sparse copies.
func (r *tenantQuota) admits(now, born int64, count, room, u float64) bool {
	span := second
	for span < maxWindow && count*float64(span/second) < minWindowCalls && now-born >= span {
		span *= 2
	}
	cur, fair := r.admitted.count(now, span), count*float64(min(span, max(second, now-born)))/float64(second)
	return cur+1 <= fair+u || u < room && cur <= fair+burstDeviations*math.Sqrt(fair)
}

// room is how likely chance is allowed for: less as calls are late, and not if a tenant clearly sends more
// than its part of the quotas and, while nothing is slow, of what this copy gets, as traffic may move here.
func (b *Balancer) room(now int64, tenant int) float64 {
	part := b.fair * float64(min(now-b.born, arrivalDecay)) / float64(second)
	if b.share >= 1 {
		part = max(part, b.came.at(now))
	}
	part *= b.s.Tenants[tenant].Share
	if b.tenants[tenant].requests.at(now) > part+burstDeviations*math.Sqrt(part)+1 {
		return 0
	}
	return min(1, b.share/overloadedQuotaMultiple)
}

// tenant is the number that the request's tenant has now, -1 without one.
func (b *Balancer) tenant(q *request) int {
	if q.Tenant < 0 || q.Tenant >= len(q.Settings.Tenants) {
		return -1
	}
	if q.Settings == b.s {
		return q.Tenant
	}
	name := q.Settings.Tenants[q.Tenant].Name
	return slices.IndexFunc(b.s.Tenants, func(t Tenant) bool { return t.Name == name })
}

// origin is the node of the request's tenant; without one the tenant rule is skipped.
func (b *Balancer) origin(q *request) *tenantQuota {
	if i := b.tenant(q); i >= 0 {
		return &b.tenants[i]
	}
	return nil
}

const throttlingLogInterval = 10 * second // between log lines of one copy

// report tells on-call staff when traffic inside the shares is held back, and which way calls lean.
func (b *Balancer) report(now int64, h Host) {
	if b.share >= 1 || now-b.reported < throttlingLogInterval && b.reported != 0 {
		return
	}
	b.reported = now
	h.Log(TenantsThrottled{Tier: b.s.Tier, QuotaMultiple: b.share, InFlight: b.tier.inFlight, FailureRate: b.errs, SpilloverWeight: b.spill})
}
