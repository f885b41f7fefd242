package discovery

// Fleet is what a proxy knows of the others that call the same discovery.
type Topology struct {
	Tier      int // of the tiers: which one this proxy sends to
	TierCount int
	Replicas  int // proxies of this stage, this one included
}

// frontPart is how many proxies the first stage has for each of the next, of which a proxy of a later stage is told nothing.
const firstTierRatio = 0.25

// Callers is about how many proxies a proxy shares discovery's turns with. One of the first stage carries far more calls than one
// of the next, and there are few of them: they reckon with as many for each tier as there are in their own, and so call
// sooner. One of a later stage reckons with as many in each of these as in its own, and with some in the first.
func EstimateCallers(f Topology) int {
	if f.Tier == 0 {
		return f.Replicas * max(1, f.TierCount)
	}
	return f.Replicas*max(1, f.TierCount-1) + int(firstTierRatio*float64(f.Replicas))
}
