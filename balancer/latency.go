package balancer

// slowBar is the time at which a call counts as slow: well before its aim, and clearly over the time of calls
// when little waits, since servers that hold too many turn slower for long.
func (b *Balancer) slowBar(class int) float64 {
	bar := slowFraction * float64(b.s.Classes[class].LatencyObjective)
	if b.s.Tier > 0 || b.share <= overloadedQuotaMultiple {
		return bar
	}
	return min(bar, saturatedLatencyRatio*b.classes[class].base)
}

// gainAfter is the gain of a running mean: that of a plain mean over what was seen, but no less than least.
func runningGain(seen, least float64) float64 { return max(least, 1/(initialGuessCalls+seen)) }

// reward moves the weight of a server towards its speed: the mean time of all over its own. The time sets the
// aim of a step: steps alone would add up to all calls at one server where load does not slow it down.
func (b *Balancer) reward(c *classState, s *server, took float64) {
	ratio := min(took/max(c.mean, 1), maxLatencyRatio)
	s.slowness += (ratio - s.slowness) * slownessGain
	s.told = 1 // until others tell again that it is bad
	c.seen++
	c.mean += (took - c.mean) * runningGain(c.seen, minMeanGain)
	c.base = min(c.mean, c.base+(c.mean-c.base)*runningGain(c.seen, minUnloadedGain))
}
