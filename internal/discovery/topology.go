package discovery

// Topology is what a proxy knows of the other proxies that call the same discovery.
type Topology struct {
	Tier      int // index of the tier that this proxy forwards to
	TierCount int
	Replicas  int // proxies of the same tier, this one included
}

// firstTierRatio is the number of first-tier proxies for each proxy of a later tier, whose settings do not give it.
const firstTierRatio = 0.25

// EstimateCallers returns the approximate number of proxies that share discovery's queue. A first-tier proxy assumes as
// many in each tier as in its own: there are few of them and each carries many requests, so they may poll sooner. A proxy
// of a later tier assumes as many in each later tier as in its own, and some in the first.
func EstimateCallers(t Topology) int {
	if t.Tier == 0 {
		return t.Replicas * max(1, t.TierCount)
	}
	return t.Replicas*max(1, t.TierCount-1) + int(firstTierRatio*float64(t.Replicas))
}
