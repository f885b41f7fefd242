package discovery

// Topology describes the proxies that call the same discovery, as far as one of them knows.
type Topology struct {
	Tier      int // index of the tier that this proxy forwards to
	TierCount int // tiers of proxies
	Replicas  int // proxies of the same tier, this one included
}

// firstTierRatio is the assumed number of first-tier proxies for each proxy of a later tier, since the
// settings of a later tier do not say how many there are.
const firstTierRatio = 0.25

// EstimateCallers returns the approximate number of proxies that share discovery's queue. A first-tier proxy
// assumes as many proxies in each tier as in its own. That may be too low, so these proxies poll sooner,
// which is intended: there are few of them and each carries many requests. A proxy of a later tier assumes as
// many in each later tier as in its own, and firstTierRatio times as many in the first.
func EstimateCallers(t Topology) int {
	if t.Tier == 0 {
		return t.Replicas * max(1, t.TierCount)
	}
	return t.Replicas*max(1, t.TierCount-1) + int(firstTierRatio*float64(t.Replicas))
}
