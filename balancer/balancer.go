// The decisions of the balancer; its interface is in api.go. Before each send the rules are checked in order,
// as Sentinel's FlowSlot does: the tier's (thread grade, cluster node), the tenant's (QPS grade, origin
// node), the class's (thread grade, default node). A call over a count fails fast, unsent. Counts start high,
// rise after timely rounds, are cut after bad ones. What passes goes to a server by a weighted random draw.
package balancer

import "math/rand/v2"

// Without a stated budget: its span, the further attempts in it, and those for each request taken.
const defaultBudgetWindow, defaultBudgetMin, defaultBudgetRatio = 10 * second, 5.0, 0.1

// New returns a Balancer for the settings; all its random draws come from the seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{s: &s, rnd: rand.New(rand.NewPCG(seed, seed)), byID: map[string]*server{},
		reqs: map[string]*request{}, turns: map[string]*keyQueue{}, backoff: minWatchBackoff,
		tenants: make([]tenantQuota, len(s.Tenants)), classes: make([]classState, len(s.Classes))}
	b.share, b.shareMost, b.shareBad, b.spill = maxQuotaMultiple, maxQuotaMultiple, overloadQuotaMultiple, startSpillover
	if s.Tier > 0 {
		b.share, b.shareMost, b.shareBad, b.spill = innerTierQuotaMultiple, innerTierQuotaMultiple, innerTierQuotaMultiple, minSpillover
	}
	for i, c := range s.Classes {
		b.classes[i] = b.freshClass(c)
	}
	b.derive()
	b.tier = b.freshRule(b.shareEv.maxDuration)
	return b, nil
}

// derive takes what follows from the settings in force.
func (b *Balancer) derive() {
	if b.s.RetryBudgetWindow == 0 {
		b.s.RetryBudgetWindow, b.s.RetryBudgetMin, b.s.RetryBudgetRatio = defaultBudgetWindow, defaultBudgetMin, defaultBudgetRatio
	}
	b.fair = 0
	for _, t := range b.s.Tenants { // a copy that carries more than its part learns a higher multiple
		b.fair += t.Quota / float64(b.s.Replicas)
	}
	span := int64(0)
	for i, c := range b.s.Classes {
		if !b.classes[i].retired {
			span = max(span, feedbackRoundObjectives*c.LatencyObjective)
		}
	}
	b.shareEv.maxBadFraction, b.shareEv.maxDuration = maxSlowFraction, span
	b.spillEv.maxBadFraction, b.spillEv.maxDuration = maxSlowFraction, span
	b.tier.feedback.maxDuration = span
}
