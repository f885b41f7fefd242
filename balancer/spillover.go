package balancer

// Spillover: sets the weight of servers in other zones while the local zone is slow or fails.
//
// Input: calls to the local zone, as bad or not. Output: the weight of each server of another zone, from 0 to
// 1, where a local server has 1. locality.remoteWeight applies it.

const (
	minSpillover     = 0.02 // lowest weight
	initialSpillover = 0.3  // initial weight at a replica of the front tier

	spilloverIncrease = 0.15 // added to the weight after a bad round
	spilloverDecay    = 0.9  // factor of the weight after a good round
)

// spillover holds the weight that follows from this replica's own calls.
type spillover struct {
	weight   float64 // minSpillover to 1
	feedback feedbackRound
}

// newSpillover returns the spillover with the initial weight for the tier.
func newSpillover(settings *Settings) *spillover {
	if settings.Tier > 0 {
		return &spillover{weight: minSpillover}
	}
	return &spillover{weight: initialSpillover}
}

// configure sets the maximum duration of a feedback round.
func (s *spillover) configure(roundDuration span) {
	s.feedback.maxBadFraction, s.feedback.maxDuration = maxSlowFraction, roundDuration
}

// recordCall records a call to the local zone, where bad is slow or failed, and adjusts the weight when the
// feedback round ends.
func (s *spillover) recordCall(now, sentAt moment, bad bool) {
	if factor := s.feedback.record(now, sentAt, bad); factor == 1 {
		s.weight = max(minSpillover, s.weight*spilloverDecay)
	} else if factor > 0 {
		s.weight = min(1, s.weight+spilloverIncrease)
	}
}

// reset lowers the weight to the initial one at most, once the local zone has recovered.
func (s *spillover) reset() { s.weight = min(s.weight, initialSpillover) }
